import {expect} from 'chai';
import {readMonotonicMs} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {ErrorCode} from '../../src/lib/core/errors.js';
import {createIncarnation} from '../../src/lib/core/identity.js';
import {HttpPlatformStore} from '../../src/lib/store/http_platform_store.js';
import {PlatformStoreServer} from '../../stand_ins/platform_store_server.js';
import {RelayServer} from '../../stand_ins/relay_server.js';
import {SEED, createRandom} from '../decisions/seeded_random.js';

const WRITERS = 8;
const WRITES_PER_WRITER = 60;

/**
 * Closes, holds, resets and restores a relay at random until `isOver` returns
 * true; returns the number of changes.
 */
async function changeLink(
  controlPort: number,
  drawRandom: () => number,
  isOver: () => boolean,
): Promise<number> {
  const changes = [
    {reset: true},
    {direction: 'backward', action: 'hold'},
    {direction: 'forward', action: 'hold'},
    {action: 'close'},
    {action: 'restore'},
    {action: 'restore'},
  ];
  let count = 0;
  const send = async (change: object) => {
    const url = `http://127.0.0.1:${controlPort}/control`;
    await (
      await fetch(url, {method: 'POST', body: JSON.stringify(change)})
    ).text();
    count += 1;
  };
  while (!isOver()) {
    await send(changes[Math.floor(drawRandom() * changes.length)]);
  }
  return count;
}

describe('HttpPlatformStore on an unreliable connection', () => {
  let cleanUp: DisposableStore;

  beforeEach(() => (cleanUp = DisposableStore.create()));
  afterEach(() => cleanUp.dispose());

  it(`reports every write correctly as written, not written or unknown (SEED=${SEED})`, async () => {
    const server = await PlatformStoreServer.create({
      port: 0,
      limits: {writesPerSecond: 100_000, readsPerSecond: 100_000},
      historyLimit: 100,
      leasesExpireInOutage: false,
      readMonotonicMs,
      createLeaseId: createIncarnation,
    });
    cleanUp.add(() => server.stop());
    const relay = await RelayServer.create({
      port: 0,
      controlPort: 0,
      to: {host: '127.0.0.1', port: server.port},
      delayMs: 0,
    });
    cleanUp.add(() => relay.stop());
    const store = HttpPlatformStore.create({
      address: `http://127.0.0.1:${relay.port}`,
      callTimeoutMs: 40,
    });
    cleanUp.add(() => store.close());

    const outcomes = new Map<string, ErrorCode | 'written'>();
    const write = async (key: string) => {
      try {
        await store.write({key, value: key, expectedRevision: 0});
        outcomes.set(key, 'written');
      } catch (failure) {
        outcomes.set(key, (failure as {code: ErrorCode}).code);
      }
    };
    const writeMany = async (writer: number) => {
      for (let i = 0; i < WRITES_PER_WRITER; i += 1) {
        await write(`/${writer}/${i}`);
      }
    };
    let isOver = false;
    const random = createRandom(SEED);
    const changingLink = changeLink(relay.controlPort, random, () => isOver);
    const writers = Array.from({length: WRITERS}, (_, i) => writeMany(i));
    await Promise.all(writers);
    isOver = true;
    expect(await changingLink).to.be.greaterThan(10);

    const direct = HttpPlatformStore.create({
      address: server.origin,
      callTimeoutMs: 5000,
    });
    cleanUp.add(() => direct.close());
    const {values} = await direct.list('/');
    const storedKeys = new Set(values.map(value => value.key));
    const total = WRITERS * WRITES_PER_WRITER;
    expect(outcomes.size).to.equal(total);
    for (const [key, outcome] of outcomes) {
      if (outcome === 'written') {
        expect(storedKeys.has(key), key).to.equal(true);
      }
      if (outcome === ErrorCode.STORE_UNAVAILABLE) {
        expect(storedKeys.has(key), key).to.equal(false);
      }
    }
    expect([...outcomes.values()]).to.include('written');
    expect([...outcomes.values()]).to.include(ErrorCode.STORE_OUTCOME_UNKNOWN);
    // A conflict would mean that a write was sent twice and its first attempt had
    // taken effect.
    expect([...outcomes.values()]).not.to.include(ErrorCode.STORE_CONFLICT);
    expect(server.getCounts().byKind.write).to.be.at.most(total);
  });
});
