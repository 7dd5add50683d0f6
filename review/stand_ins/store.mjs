/** Stand-in of the platform's store: items, revisions, leases, watches. */
import {createServer} from 'node:http';

const TTL_MIN_MS = 1000;
const PAGE_ITEMS = 500;

export class Store {
  items = new Map();
  events = [];
  revision = 100;
  leases = new Map();
  lastLease = 0;
  watches = new Set();

  servers = [];
  /** Addresses at which calls are turned away with 503, waiting watches too. */
  turnedAway = new Set();

  /** Listens at an address; machines are told apart by the address they call. */
  async open(host, port) {
    const server = createServer((request, response) => {
      if (this.turnedAway.has(host)) {
        request.resume();
        answer(response, 503, {});
        return;
      }
      void this.receive(request, response, host);
    });
    server.keepAliveTimeout = 60_000;
    this.servers.push(server);
    await new Promise(resolve => server.listen(port, host, resolve));
  }

  /** Turns the calls to an address away from now on, and cuts waiting watches. */
  turnAway(host) {
    this.turnedAway.add(host);
    for (const watch of [...this.watches]) {
      if (watch.host !== host) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      answer(watch.response, 503, {});
    }
  }

  serve(host) {
    this.turnedAway.delete(host);
  }

  close() {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    for (const watch of this.watches) clearTimeout(watch.timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a key as the operator does; returns the revision. */
  put(key, value, lease = 0) {
    this.revision += 1;
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.items.set(key, item);
    this.publish(item);
    return revision;
  }

  putText(key, text) {
    return this.put(key, Buffer.from(text).toString('base64'));
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({key, revision: this.revision, deleted: true});
  }

  publish(event) {
    this.events.push(event);
    for (const watch of [...this.watches]) this.tryAnswer(watch);
  }

  tryAnswer(watch, isOver = false) {
    const events = this.events.filter(
      ({key, revision}) =>
        revision > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length === 0 && !isOver) return;
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    answer(watch.response, 200, {events, storeRevision: this.revision});
  }

  async receive(request, response, host) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const [, call, id] = /^\/v1\/([a-z-]+)(?:\/(\d+))?$/.exec(url.pathname);
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(query.get('key'));
        if (item === undefined) return answer(response, 404, {});
        return answer(response, 200, {...item, storeRevision: this.revision});
      }
      case 'kv-range': {
        const after = query.get('after') ?? '';
        const keys = [...this.items.keys()]
          .filter(key => key.startsWith(query.get('prefix')) && key > after)
          .sort();
        const items = keys.slice(0, PAGE_ITEMS).map(key => this.items.get(key));
        const hasMore = keys.length > items.length;
        const storeRevision = this.revision;
        return answer(response, 200, {items, hasMore, storeRevision});
      }
      case 'kv-watch': {
        const watch = {
          response,
          host,
          prefix: query.get('prefix'),
          after: Number(query.get('after')),
        };
        watch.timer = setTimeout(
          () => this.tryAnswer(watch, true),
          Number(query.get('waitMs')),
        );
        this.watches.add(watch);
        response.on('close', () => {
          clearTimeout(watch.timer);
          this.watches.delete(watch);
        });
        return this.tryAnswer(watch);
      }
      case 'kv-txn':
        return this.transact(body, response);
      case 'kv-lease': {
        this.lastLease += 1;
        const ttlMs = Math.max(TTL_MIN_MS, body.ttlMs);
        this.leases.set(this.lastLease, {ttlMs});
        this.renew(this.lastLease);
        return answer(response, 200, {lease: this.lastLease, ttlMs});
      }
      case 'kv-keep': {
        const lease = this.leases.get(Number(id));
        if (lease === undefined) return answer(response, 404, {});
        this.renew(Number(id));
        return answer(response, 200, {ttlMs: lease.ttlMs});
      }
      case 'kv-lease-end':
        this.endLease(Number(id));
        return answer(response, 200, {});
    }
    answer(response, 404, {});
  }

  transact({expect = [], puts = [], remove = []}, response) {
    const isExpected = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      const items = expect.flatMap(({key}) => this.items.get(key) ?? []);
      return answer(response, 412, {items});
    }
    if (puts.some(({lease = 0}) => lease > 0 && !this.leases.has(lease))) {
      return answer(response, 404, {});
    }
    for (const {key, value, lease} of puts) this.put(key, value, lease);
    for (const key of remove) this.remove(key);
    answer(response, 200, {revision: this.revision});
  }

  renew(id) {
    const lease = this.leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
  }

  endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    for (const item of [...this.items.values()]) {
      if (item.lease === id) this.remove(item.key);
    }
  }
}

function answer(response, status, fields) {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(fields));
}
