import {expect} from 'chai';
import type {StartTimer} from '../../src/lib/core/clock.js';
import {Gauge} from '../../src/lib/observe/metrics.js';
import {reportProcessHealth} from '../../src/lib/observe/process_health.js';
import type {LoopDelay} from '../../src/lib/observe/process_health.js';

function startReport(delay: LoopDelay | undefined) {
  const gauges = new Map<Gauge, number>();
  const stopped: string[] = [];
  let fire = () => {};
  const startTimer: StartTimer = (_delayMs, callback) => {
    fire = callback;
    return () => stopped.push('timer');
  };
  const stop = reportProcessHealth({
    reportGauge: (name, value) => gauges.set(name, value),
    startTimer,
    monitor: {read: () => delay, stop: () => stopped.push('monitor')},
    readResidentBytes: () => 1000,
    readGauges: () => ({[Gauge.JOBS]: 3}),
  });
  return {gauges, stopped, stop, fireTimer: () => fire()};
}

describe('reportProcessHealth', () => {
  it('reports memory and event-loop delay when its timer fires', () => {
    const report = startReport({p50Ms: 1, p99Ms: 7, maxMs: 9});
    report.fireTimer();
    expect([...report.gauges]).to.have.deep.members([
      [Gauge.RESIDENT_BYTES, 1000],
      [Gauge.JOBS, 3],
      [Gauge.LOOP_DELAY_P50, 1],
      [Gauge.LOOP_DELAY_P99, 7],
      [Gauge.LOOP_DELAY_MAX, 9],
    ]);
  });

  it('reports no delay without samples', () => {
    const report = startReport(undefined);
    report.fireTimer();
    expect([...report.gauges.keys()]).to.deep.equal([
      Gauge.RESIDENT_BYTES,
      Gauge.JOBS,
    ]);
  });

  it('stops its timer and the monitor', () => {
    const report = startReport(undefined);
    report.stop();
    expect(report.stopped).to.have.members(['timer', 'monitor']);
  });
});
