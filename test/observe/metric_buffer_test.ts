import {expect} from 'chai';
import {MetricBuffer} from '../../src/lib/observe/metric_buffer.js';
import type {CounterSeries} from '../../src/lib/observe/metric_buffer.js';
import {Counter, Histogram} from '../../src/lib/observe/metrics.js';

function flush(buffer: MetricBuffer): CounterSeries[] {
  const sent: CounterSeries[] = [];
  buffer.flush(series => sent.push(series));
  return sent;
}

describe('MetricBuffer', () => {
  it('sums counts by name and tags, and sends each sum once', () => {
    const buffer = MetricBuffer.create();
    buffer.add(Counter.JOB_ENDED, {team: 'a'}, 1);
    buffer.add(Counter.JOB_ENDED, {team: 'b'}, 1);
    buffer.add(Counter.JOB_ENDED, {team: 'a'}, 2);
    buffer.add(Counter.TASK_ENDED, {team: 'a'}, 5);
    expect(flush(buffer).map(({count}) => count)).to.deep.equal([3, 1, 5]);
    expect(flush(buffer)).to.deep.equal([]);
  });

  it('selects one value per period, separately for each histogram', () => {
    const buffer = MetricBuffer.create();
    const admitted = Array.from({length: 9}, () =>
      buffer.admit(Histogram.TASK_RUN, 3),
    );
    expect(admitted.filter(Boolean)).to.have.length(3);
    expect(buffer.admit(Histogram.TASK_WAIT, 3)).to.equal(false);
    expect(buffer.admit(Histogram.JOB_DURATION, 1)).to.equal(true);
  });
});
