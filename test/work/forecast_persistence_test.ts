import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  FIRST_WORK_FORECAST,
  recordWork,
} from '../../src/lib/decisions/work_forecast.js';
import type {QueueForecasts} from '../../src/lib/decisions/forecast_table.js';
import {
  decodeForecasts,
  encodeForecasts,
} from '../../src/lib/work/entry/forecast_codec.js';
import {ForecastPersistence} from '../../src/lib/work/entry/forecast_persistence.js';
import {StoreError} from '../../src/lib/core/errors.js';
import type {ConditionalWrite} from '../../src/lib/store/platform_store.js';

function learn(jobs: number): QueueForecasts {
  let forecast = FIRST_WORK_FORECAST;
  for (let job = 1; job <= jobs; job += 1) {
    const work = {estimateMs: 80 + job, deadlineMs: 2000 + 4 * job};
    forecast = recordWork(forecast, work, 90 + job);
  }
  return new Map([['searches', forecast]]);
}

/** A store with one key, and a clock that is turned by hand. */
function createFixture(stored: string | undefined) {
  const writes: ConditionalWrite[] = [];
  const published: QueueForecasts[] = [];
  const failures: unknown[] = [];
  const state = {isDown: false, fire: () => undefined as void};
  const keeper = ForecastPersistence.create({
    store: {
      list: async () => {
        if (state.isDown) throw new StoreError('The store is down.');
        const values =
          stored === undefined
            ? []
            : [{key: 'foxtailbay/forecasts', value: stored, revision: 7}];
        return {revision: 9, values};
      },
      write: async write => {
        writes.push(write);
        return 10;
      },
    },
    startTimer: (_delayMs, fire) => {
      state.fire = fire;
      return () => undefined;
    },
    runInTask: run => run(),
    publish: forecasts => published.push(forecasts),
    reportFailure: failure => failures.push(failure),
  });
  const settle = () => new Promise(resolve => setImmediate(resolve));
  return {keeper, writes, published, failures, state, settle};
}

describe('Forecasts in the store', () => {
  it('come back as they were written, but for digits that tell nothing', () => {
    const forecasts = learn(40);
    const back = decodeForecasts(encodeForecasts(forecasts));
    const [before] = forecasts.values();
    const [after] = back.values();
    expect(after.count).to.equal(before.count);
    after.matrix.forEach((value, at) =>
      expect(value).to.be.closeTo(before.matrix[at], 1e-6 * Math.abs(value)),
    );
  });

  it('are left out where another writer has spoilt them', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        expect(decodeForecasts(text).size).to.equal(0);
      }),
    );
    const [row] = JSON.parse(encodeForecasts(learn(3))).queues;
    for (const field of Object.keys(row)) {
      const spoilt = {...row, [field]: field === 'queue' ? 1 : 'x'};
      const text = JSON.stringify({schema: 1, queues: [spoilt, row]});
      expect(decodeForecasts(text).size, field).to.equal(1);
    }
  });
});

describe('The keeper of forecasts', () => {
  it('reads what the store holds at the start', async () => {
    const scene = createFixture(encodeForecasts(learn(30)));
    await scene.settle();
    expect(scene.published[0].get('searches')?.count).to.equal(30);
    expect(scene.writes).to.deep.equal([]);
  });

  it('writes what it has learned beyond that, over what it has read', async () => {
    const scene = createFixture(encodeForecasts(learn(30)));
    await scene.settle();
    scene.keeper.update(learn(50));
    scene.state.fire();
    await scene.settle();
    expect(scene.writes).to.have.length(1);
    expect(scene.writes[0].expectedRevision).to.equal(7);
  });

  it('reports a store that is away, and asks again', async () => {
    const scene = createFixture(undefined);
    scene.keeper.update(learn(5));
    scene.state.isDown = true;
    scene.state.fire();
    await scene.settle();
    expect(scene.failures).to.have.length(1);
    scene.state.isDown = false;
    scene.state.fire();
    await scene.settle();
    expect(scene.writes[0].expectedRevision).to.equal(0);
  });
});
