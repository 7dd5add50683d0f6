/** Stand-in for the platform's metadata store: one HTTP server, all state in memory. */
import {createServer} from 'node:http';

/** Opens an empty store; `put` and `remove` act as the operator. */
export async function openStore(host) {
  const items = new Map();
  const leases = new Map();
  const waiting = new Set();
  const events = [];
  let revision = 1;
  let lastLease = 0;

  function publish(event) {
    events.push(event);
    for (const check of [...waiting]) check();
  }

  function put(key, text, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const value = Buffer.from(text).toString('base64');
    const item = {key, value, revision, created, lease};
    items.set(key, item);
    publish(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    publish({key, revision, deleted: true});
  }

  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const item of [...items.values()]) {
      if (item.lease === id) remove(item.key);
    }
  }

  function startLease(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    const timer = setTimeout(() => endLease(id), ttlMs);
    leases.set(id, {timer, ttlMs});
  }

  function watch(url, reply) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    const list = () =>
      events.filter(e => e.revision > after && e.key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(check);
      reply(200, {events: list(), storeRevision: revision});
    };
    const check = () => {
      if (list().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    waiting.add(check);
    check();
  }

  function transact({expect = [], puts = [], remove: keys = []}, reply) {
    const states = expect.map(({key}) => items.get(key)).filter(Boolean);
    const isExpected = expect.every(
      ({key, revision: r}) => (items.get(key)?.revision ?? 0) === r,
    );
    if (!isExpected) return reply(412, {items: states});
    if (puts.some(({lease = 0}) => lease > 0 && !leases.has(lease))) {
      return reply(404, {});
    }
    for (const {key, value, lease = 0} of puts) {
      put(key, Buffer.from(value, 'base64').toString('utf8'), lease);
    }
    for (const key of keys) remove(key);
    return reply(200, {revision});
  }

  function serve(request, body, reply) {
    const url = new URL(request.url, 'http://store');
    const id = Number(url.pathname.split('/').at(-1));
    const path = url.pathname.replace(/\/\d+$/, '');
    switch (path) {
      case '/v1/kv-key': {
        const item = items.get(url.searchParams.get('key'));
        if (item === undefined) return reply(404, {storeRevision: revision});
        return reply(200, {...item, storeRevision: revision});
      }
      case '/v1/kv-range': {
        const prefix = url.searchParams.get('prefix') ?? '';
        const after = url.searchParams.get('after') ?? '';
        const found = [...items.values()]
          .filter(({key}) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const page = found.slice(0, 500);
        const hasMore = found.length > page.length;
        return reply(200, {items: page, hasMore, storeRevision: revision});
      }
      case '/v1/kv-watch':
        return watch(url, reply);
      case '/v1/kv-txn':
        return transact(body, reply);
      case '/v1/kv-lease': {
        lastLease += 1;
        startLease(lastLease, body.ttlMs);
        return reply(200, {lease: lastLease, ttlMs: body.ttlMs});
      }
      case '/v1/kv-keep': {
        const lease = leases.get(id);
        if (lease === undefined) return reply(404, {});
        startLease(id, lease.ttlMs);
        return reply(200, {});
      }
      case '/v1/kv-lease-end':
        endLease(id);
        return reply(200, {});
      default:
        return reply(404, {});
    }
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const reply = (status, fields) => {
        if (response.destroyed) return;
        response.writeHead(status, {'content-type': 'application/json'});
        response.end(JSON.stringify(fields));
      };
      serve(request, text === '' ? {} : JSON.parse(text), reply);
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    close: () => {
      for (const {timer} of leases.values()) clearTimeout(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
