/**
 * Stand-in of the platform's store: keys with revisions, leases, watches and
 * transactions, as PROTOCOL.md describes them. It has no faults of its own.
 */
import {createServer} from 'node:http';
import {readJson, reply} from './http.mjs';

const HISTORY_EVENTS = 10_000;

/** A store in memory that listens on one loopback address. */
export class Store {
  items = new Map();
  events = [];
  leases = new Map();
  waiting = new Set();
  revision = 1;
  lastLease = 0;

  /** Starts the store. */
  static async start(host, port) {
    const store = new Store();
    store.server = createServer((request, response) => {
      store.serve(request, response).catch(() => reply(response, 400, {}));
    });
    store.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => store.server.listen(port, host, resolve));
    store.address = `${host}:${port}`;
    return store;
  }

  /** Writes a key as the operator does. */
  put(key, value, lease = 0) {
    this.revision += 1;
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = {
      key,
      value: Buffer.from(value).toString('base64'),
      revision,
      created,
      lease,
    };
    this.items.set(key, item);
    this.publish({event: item, key, revision});
    return revision;
  }

  /** Removes a key. */
  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    const {revision} = this;
    const event = {key, revision, deleted: true};
    this.publish({event, key, revision});
  }

  /** Stops the store. */
  stop() {
    for (const timer of this.leases.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  publish(entry) {
    this.events.push(entry);
    if (this.events.length > HISTORY_EVENTS) this.events.shift();
    for (const check of [...this.waiting]) check();
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readJson(request);
    const {pathname, searchParams} = url;
    if (pathname === '/v1/kv-key') {
      const item = this.items.get(searchParams.get('key') ?? '');
      const storeRevision = this.revision;
      if (item === undefined) reply(response, 404, {storeRevision});
      else reply(response, 200, {...item, storeRevision});
    } else if (pathname === '/v1/kv-range') {
      this.list(searchParams, response);
    } else if (pathname === '/v1/kv-watch') {
      this.watch(searchParams, response);
    } else if (pathname === '/v1/kv-txn') {
      this.execute(body, response);
    } else if (pathname === '/v1/kv-lease') {
      const ttlMs = Math.max(1000, Math.min(600_000, body.ttlMs));
      this.lastLease += 1;
      this.startLease(this.lastLease, ttlMs);
      reply(response, 200, {lease: this.lastLease, ttlMs});
    } else if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = Number(pathname.split('/').at(-1));
      const timer = this.leases.get(lease);
      timer?.refresh();
      reply(response, timer === undefined ? 404 : 200, {});
    } else if (pathname.startsWith('/v1/kv-lease-end/')) {
      this.endLease(Number(pathname.split('/').at(-1)));
      reply(response, 200, {});
    } else {
      reply(response, 404, {});
    }
  }

  list(searchParams, response) {
    const prefix = searchParams.get('prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = items.slice(0, 500);
    reply(response, 200, {
      items: page,
      hasMore: items.length > page.length,
      storeRevision: this.revision,
    });
  }

  watch(searchParams, response) {
    const prefix = searchParams.get('prefix') ?? '';
    const after = Number(searchParams.get('after'));
    const waitMs = Math.min(30_000, Number(searchParams.get('waitMs')));
    const listEvents = () =>
      this.events
        .filter(({key, revision}) => revision > after && key.startsWith(prefix))
        .map(({event}) => event);
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      const storeRevision = this.revision;
      reply(response, 200, {events: listEvents(), storeRevision});
    };
    const check = () => {
      if (listEvents().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    });
    this.waiting.add(check);
    check();
  }

  execute({expect = [], puts = [], remove = []}, response) {
    const isExpected = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      const items = expect.flatMap(({key}) => this.items.get(key) ?? []);
      reply(response, 412, {items});
    } else if (
      puts.some(({lease = 0}) => lease > 0 && !this.leases.has(lease))
    ) {
      reply(response, 404, {});
    } else {
      for (const {key, value, lease = 0} of puts) {
        this.put(key, Buffer.from(value, 'base64').toString('utf8'), lease);
      }
      for (const key of remove) this.remove(key);
      reply(response, 200, {revision: this.revision});
    }
  }

  startLease(lease, ttlMs) {
    this.leases.set(
      lease,
      setTimeout(() => this.endLease(lease), ttlMs),
    );
  }

  endLease(lease) {
    clearTimeout(this.leases.get(lease));
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}
