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

function learnForecasts(jobs: number): QueueForecasts {
  let forecast = FIRST_WORK_FORECAST;
  for (let job = 1; job <= jobs; job += 1) {
    const work = {estimateMs: 80 + job, deadlineMs: 2000 + 4 * job};
    forecast = recordWork(forecast, work, 90 + job);
  }
  return new Map([['searches', forecast]]);
}

/** A store with one key, and a timer that the test fires. */
function createFixture(stored: string | undefined) {
  const writes: ConditionalWrite[] = [];
  const published: QueueForecasts[] = [];
  const failures: unknown[] = [];
  const state = {isDown: false, fire: () => undefined as void};
  const persistence = ForecastPersistence.create({
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
  return {persistence, writes, published, failures, state, settle};
}

describe('Forecasts in the store', () => {
  it('are decoded as they were encoded, up to insignificant digits', () => {
    const forecasts = learnForecasts(40);
    const decoded = decodeForecasts(encodeForecasts(forecasts));
    const [before] = forecasts.values();
    const [after] = decoded.values();
    expect(after.count).to.equal(before.count);
    after.matrix.forEach((value, at) =>
      expect(value).to.be.closeTo(before.matrix[at], 1e-6 * Math.abs(value)),
    );
  });

  it('are skipped where another writer has corrupted them', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        expect(decodeForecasts(text).size).to.equal(0);
      }),
    );
    const [row] = JSON.parse(encodeForecasts(learnForecasts(3))).queues;
    for (const field of Object.keys(row)) {
      const corrupted = {...row, [field]: field === 'queue' ? 1 : 'x'};
      const text = JSON.stringify({schema: 1, queues: [corrupted, row]});
      expect(decodeForecasts(text).size, field).to.equal(1);
    }
  });
});

describe('ForecastPersistence', () => {
  it('reads the stored forecasts at the start', async () => {
    const fixture = createFixture(encodeForecasts(learnForecasts(30)));
    await fixture.settle();
    expect(fixture.published[0].get('searches')?.count).to.equal(30);
    expect(fixture.writes).to.deep.equal([]);
  });

  it('replaces the stored forecasts by those learned from more jobs', async () => {
    const fixture = createFixture(encodeForecasts(learnForecasts(30)));
    await fixture.settle();
    fixture.persistence.update(learnForecasts(50));
    fixture.state.fire();
    await fixture.settle();
    expect(fixture.writes).to.have.length(1);
    expect(fixture.writes[0].expectedRevision).to.equal(7);
  });

  it('reports that the store is unavailable, and retries', async () => {
    const fixture = createFixture(undefined);
    fixture.persistence.update(learnForecasts(5));
    fixture.state.isDown = true;
    fixture.state.fire();
    await fixture.settle();
    expect(fixture.failures).to.have.length(1);
    fixture.state.isDown = false;
    fixture.state.fire();
    await fixture.settle();
    expect(fixture.writes[0].expectedRevision).to.equal(0);
  });
});
