import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {readMonotonicMs} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {ErrorCode} from '../../src/lib/core/errors.js';
import {createIncarnation} from '../../src/lib/core/identity.js';
import {HttpPlatformStore} from '../../src/lib/store/http_platform_store.js';
import {StoreChangeKind} from '../../src/lib/store/platform_store.js';
import {PlatformStoreServer} from '../../stand_ins/platform_store_server.js';
import {LostReplies, StoreMode} from '../../stand_ins/store_control.js';
import type {StoreControl} from '../../stand_ins/store_control.js';
import {waitUntil} from '../wait_until.js';

const KEY = '/foxtailbay/records/team/tea dance';

async function readCode(call: Promise<unknown>): Promise<unknown> {
  try {
    return await call;
  } catch (failure) {
    return (failure as {code: ErrorCode}).code;
  }
}

describe('HttpPlatformStore', () => {
  let cleanUp: DisposableStore;
  let server: PlatformStoreServer;
  let store: HttpPlatformStore;

  async function createServerWith(
    writesPerSecond: number,
    readClock = readMonotonicMs,
  ) {
    const created = await PlatformStoreServer.create({
      port: 0,
      limits: {writesPerSecond, readsPerSecond: 2000},
      historyLimit: 100,
      leasesExpireInOutage: false,
      readMonotonicMs: readClock,
      createLeaseId: createIncarnation,
    });
    cleanUp.add(() => created.stop());
    return created;
  }

  function createClient(address: string, callTimeoutMs = 5000) {
    const created = HttpPlatformStore.create({address, callTimeoutMs});
    cleanUp.add(() => created.close());
    return created;
  }

  /** Listens on a free port and passes each connection to `accept`. */
  async function listenRaw(accept: (socket: Socket) => void): Promise<string> {
    const listener = createServer(accept);
    await new Promise<void>(resolve =>
      listener.listen(0, '127.0.0.1', () => resolve()),
    );
    cleanUp.add(() => void listener.close());
    return `http://127.0.0.1:${(listener.address() as AddressInfo).port}`;
  }

  async function control(change: StoreControl) {
    const reply = await fetch(`${server.origin}/control`, {
      method: 'POST',
      body: JSON.stringify(change),
    });
    expect(reply.status).to.equal(200);
    return (await reply.json()) as {revision: number; watches: number};
  }

  beforeEach(async () => {
    cleanUp = DisposableStore.create();
    server = await createServerWith(500);
    store = createClient(server.origin);
  });

  afterEach(() => cleanUp.dispose());

  it('writes by compare-and-swap, lists and removes', async () => {
    const write = {key: KEY, value: 'Đà Lạt', expectedRevision: 0};
    expect(await store.write(write)).to.equal(1);
    expect(await readCode(store.write(write))).to.equal(
      ErrorCode.STORE_CONFLICT,
    );
    expect(await store.list('/foxtailbay/')).to.deep.equal({
      revision: 1,
      values: [{key: KEY, value: 'Đà Lạt', revision: 1}],
    });
    expect(await store.remove(KEY, 1)).to.equal(2);
  });

  it('answers a watch when a change occurs, or at its time-out without one', async () => {
    expect(await store.watch('/foxtailbay/', 0, 1)).to.deep.equal({
      revision: 0,
      changes: [],
      isCompacted: false,
    });
    const watching = store.watch('/foxtailbay/', 0, 4000);
    await store.write({key: '/other', value: '', expectedRevision: 0});
    await store.write({key: KEY, value: 'v', expectedRevision: 0});
    expect((await watching).changes).to.deep.equal([
      {kind: StoreChangeKind.WRITTEN, key: KEY, value: 'v', revision: 2},
    ]);
  });

  it('deletes the keys of a closed lease and rejects its renewal', async () => {
    const lease = await store.openLease(60_000);
    await store.write({key: KEY, value: 'v', expectedRevision: 0, lease});
    await store.renewLease(lease);
    await store.closeLease(lease);
    expect((await store.list('/')).values).to.deep.equal([]);
    expect(await readCode(store.renewLease(lease))).to.equal(
      ErrorCode.STORE_CONFLICT,
    );
  });

  it('reports an unknown outcome when the reply to a write is lost', async () => {
    await control({loseReplies: LostReplies.NEXT_WRITE});
    const write = {key: KEY, value: 'v', expectedRevision: 0};
    expect(await readCode(store.write(write))).to.equal(
      ErrorCode.STORE_OUTCOME_UNKNOWN,
    );
    const {values} = await store.list('/');
    expect(values.map(value => value.revision)).to.deep.equal([1]);
    expect(server.getCounts().byKind.write).to.equal(1);
  });

  it('reports the store as unavailable when the connection is refused', async () => {
    const address = server.origin;
    await server.stop();
    const write = {key: KEY, value: 'v', expectedRevision: 0};
    expect(await readCode(createClient(address).write(write))).to.equal(
      ErrorCode.STORE_UNAVAILABLE,
    );
  });

  it('reports the store as unavailable over the rate limit, since the call had no effect', async () => {
    const limited = await createServerWith(0);
    const write = {key: KEY, value: 'v', expectedRevision: 0};
    const client = createClient(limited.origin);
    expect(await readCode(client.write(write))).to.equal(
      ErrorCode.STORE_UNAVAILABLE,
    );
    expect((await client.list('/')).revision).to.equal(0);
    expect(limited.getCounts().rateLimited).to.equal(1);
  });

  it('breaks waiting watches in an outage and serves calls after it', async () => {
    const watching = readCode(store.watch('/', 0, 4000));
    await waitUntil('the watch waits', async () => {
      return (await control({})).watches > 0;
    });
    await control({mode: StoreMode.DOWN});
    expect(await watching).to.equal(ErrorCode.STORE_UNAVAILABLE);
    expect(await readCode(store.list('/'))).to.equal(
      ErrorCode.STORE_UNAVAILABLE,
    );
    await control({mode: StoreMode.UP});
    expect((await store.list('/')).revision).to.equal(0);
  });

  it('keeps leases through an outage unless configured otherwise', async () => {
    let nowMs = 0;
    server = await createServerWith(500, () => nowMs);
    store = createClient(server.origin);
    const lease = await store.openLease(1000);
    await store.write({key: KEY, value: 'v', expectedRevision: 0, lease});
    await control({mode: StoreMode.DOWN});
    nowMs += 5000;
    await control({mode: StoreMode.UP});
    expect((await store.list('/')).values).to.have.length(1);
    await control({mode: StoreMode.DOWN, leasesExpireInOutage: true});
    nowMs += 5000;
    await control({mode: StoreMode.UP});
    expect((await store.list('/')).values).to.have.length(0);
  });

  it('reports an unknown outcome for a slow write that takes effect after its time-out', async () => {
    await control({slowMs: 60});
    const shortTimeoutClient = createClient(server.origin, 20);
    const write = {key: KEY, value: 'late', expectedRevision: 0};
    expect(await readCode(shortTimeoutClient.write(write))).to.equal(
      ErrorCode.STORE_OUTCOME_UNKNOWN,
    );
    const {changes} = await store.watch('/', 0, 4000);
    expect(changes.map(change => change.value)).to.deep.equal(['late']);
  });

  it('times out a call to a store that does not answer', async () => {
    await control({mode: StoreMode.HANG});
    const shortTimeoutClient = createClient(server.origin, 20);
    expect(await readCode(shortTimeoutClient.list('/'))).to.equal(
      ErrorCode.STORE_UNAVAILABLE,
    );
    const write = {key: KEY, value: 'v', expectedRevision: 0};
    expect(await readCode(shortTimeoutClient.write(write))).to.equal(
      ErrorCode.STORE_OUTCOME_UNKNOWN,
    );
  });

  it('returns a compacted history and stale revisions as the store reports them', async () => {
    await store.write({key: KEY, value: '1', expectedRevision: 0});
    await store.write({key: KEY, value: '2', expectedRevision: 1});
    await control({staleRevision: 1});
    expect((await store.list('/')).revision).to.equal(1);
    expect((await store.watch('/', 2, 1)).revision).to.equal(1);
    await control({staleRevision: null, compact: true});
    expect((await store.watch('/', 1, 1)).isCompacted).to.equal(true);
  });

  it('never sends a write twice when kept-alive connections are closed', async () => {
    let requests = 0;
    const address = await listenRaw(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        requests += 1;
        if (requests % 2 === 0) socket.destroy();
        else {
          const body = '{"revision":1}';
          socket.write(
            `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
          );
        }
      });
    });
    const client = createClient(address);
    const results: unknown[] = [];
    for (let i = 0; i < 10; i += 1) {
      const write = {key: KEY, value: '', expectedRevision: 0};
      results.push(await readCode(client.write(write)));
    }
    expect(requests).to.equal(10);
    expect(results.filter(result => result === 1)).to.have.length(5);
    expect(
      results.filter(result => result === ErrorCode.STORE_OUTCOME_UNKNOWN),
    ).to.have.length(5);
  });

  it('does not accept a truncated reply', async () => {
    const address = await listenRaw(socket =>
      socket.on('data', () =>
        socket.end(
          'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"revision":1}',
        ),
      ),
    );
    const client = createClient(address);
    const write = {key: KEY, value: '', expectedRevision: 0};
    expect(await readCode(client.write(write))).to.equal(
      ErrorCode.STORE_OUTCOME_UNKNOWN,
    );
    expect(await readCode(client.list('/'))).to.equal(
      ErrorCode.STORE_UNAVAILABLE,
    );
  });

  it('does not accept a reply that does not follow the protocol', async () => {
    const address = await listenRaw(socket =>
      socket.on('data', () =>
        socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'),
      ),
    );
    const client = createClient(address);
    expect(await readCode(client.list('/'))).to.equal(ErrorCode.STORE_PROTOCOL);
    const write = {key: KEY, value: '', expectedRevision: 0};
    expect(await readCode(client.write(write))).to.equal(
      ErrorCode.STORE_OUTCOME_UNKNOWN,
    );
  });
});
