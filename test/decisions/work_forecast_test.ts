import {expect} from 'chai';
import {
  FIRST_WORK_FORECAST,
  estimateWork,
  recordWork,
} from '../../src/lib/decisions/work_forecast.js';
import type {WorkForecast} from '../../src/lib/decisions/work_forecast.js';
import {createRandom, SEED} from './seeded_random.js';

const drawRandom = createRandom(SEED);

function drawNormal(): number {
  const radius = Math.sqrt(-2 * Math.log(1 - drawRandom()));
  return radius * Math.cos(2 * Math.PI * drawRandom());
}

/** Draws a job whose caller waits for 1,680 ms plus four times its run time. */
function drawJob(meanMs: number) {
  const runMs = meanMs * Math.exp(0.4 * drawNormal());
  const estimateMs = runMs * Math.exp(0.4 * drawNormal());
  return {runMs, estimateMs, deadlineMs: 1680 + 4 * runMs};
}

type DrawJob = () => ReturnType<typeof drawJob>;

function learn(jobs: number, draw: DrawJob): WorkForecast {
  let forecast = FIRST_WORK_FORECAST;
  for (let job = 0; job < jobs; job += 1) {
    const {runMs, ...work} = draw();
    const noise = Math.exp(0.05 * drawNormal());
    forecast = recordWork(forecast, work, runMs * noise);
  }
  return forecast;
}

function computeError(forecast: WorkForecast, draw: DrawJob): number {
  let sum = 0;
  for (let job = 0; job < 200; job += 1) {
    const {runMs, ...work} = draw();
    const expected = estimateWork(forecast, work);
    sum += Math.abs(Math.log(expected.runMs / runMs)) / 200;
  }
  return sum;
}

describe('The forecast of work', () => {
  it('learns within 30 jobs how deadlines predict run times', () => {
    const draw = () => drawJob(86);
    expect(computeError(learn(30, draw), draw)).to.be.below(0.1);
  });

  it('relies on estimates if deadlines are uninformative', () => {
    const draw = () => ({
      ...drawJob(86),
      deadlineMs: 1000 + 3000 * drawRandom(),
    });
    const plain = computeError(FIRST_WORK_FORECAST, draw);
    expect(computeError(learn(200, draw), draw)).to.be.below(plain * 1.1);
  });

  it('learns the mean error of estimates', () => {
    const draw = () => {
      const job = drawJob(86);
      return {...job, estimateMs: job.runMs / 3, deadlineMs: 4000};
    };
    expect(computeError(learn(50, draw), draw)).to.be.below(0.1);
  });

  // After a power loss, the callers of the last 1.5 s resubmit their jobs among
  // new ones, with the rest of their deadlines.
  it('distinguishes resubmitted jobs from new ones by their deadlines', () => {
    for (const meanMs of [86, 286]) {
      const forecast = learn(100, () => drawJob(meanMs));
      let detected = 0;
      let misclassified = 0;
      for (let job = 0; job < 200; job += 1) {
        const {runMs, ...work} = drawJob(meanMs);
        const late = {...work, deadlineMs: work.deadlineMs - 1500};
        if (estimateWork(forecast, late).elapsedMs > 0) detected += 1;
        if (estimateWork(forecast, work).elapsedMs > 0) misclassified += 1;
        expect(runMs).to.be.above(0);
      }
      expect(detected, `of ${meanMs} ms`).to.be.above(170);
      expect(misclassified, `of ${meanMs} ms`).to.be.below(6);
    }
  });

  it('forecasts finite times whatever was declared', () => {
    let forecast = FIRST_WORK_FORECAST;
    for (const estimateMs of [0, 1e9, 0, 5, 1e-9]) {
      for (const deadlineMs of [0, 1e9, 1]) {
        forecast = recordWork(forecast, {estimateMs, deadlineMs}, 50);
        const {runMs} = estimateWork(forecast, {estimateMs, deadlineMs});
        expect(runMs).to.be.above(0).and.below(Infinity);
      }
    }
  });
});
