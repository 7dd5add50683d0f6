import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
  Counter,
  createMetrics,
  Gauge,
  Histogram,
  NO_OP_METRICS,
} from '../../src/lib/observe/metrics.js';

const IDENTITY = {id: 'entry-1', incarnation: 'i1', dataCentre: 'vn-south-a'};

describe('createMetrics', () => {
  it('sends counters, gauges and histograms split by team and class', async () => {
    const server = createSocket('udp4').bind(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const metrics = await createMetrics({
      settings: {host: '127.0.0.1', port},
      prefix: 'foxtailbay.entry.',
      identity: IDENTITY,
      reportFailure: failure => expect.fail(failure.message),
    });
    const packet = once(server, 'message');
    const tags = {team: 'search', class: 'quick'};
    metrics.countEvent(Counter.JOB_ENDED, tags);
    metrics.countEvent(Counter.JOB_ENDED, tags);
    metrics.recordDuration(Histogram.JOB_DURATION, 12.5, tags);
    metrics.reportGauge(Gauge.AGENTS, 4);
    await metrics.close();
    const lines = String((await packet)[0])
      .trim()
      .split('\n')
      .sort();
    server.close();
    expect(lines).to.have.length(3);
    expect(lines[0]).to.contain('agents:4|g|#').and.contain('process:entry-1');
    expect(lines[1]).to.match(/^foxtailbay\.entry\.job\.duration:12\.5\|h\|#/);
    expect(lines[1]).to.contain('team:search').and.contain('class:quick');
    expect(lines[2]).to.match(/^foxtailbay\.entry\.job\.ended:2\|c\|#/);
  });

  it('returns no-op metrics without settings', async () => {
    const metrics = await createMetrics({
      settings: undefined,
      prefix: '',
      identity: IDENTITY,
      reportFailure: failure => expect.fail(failure.message),
    });
    expect(metrics).to.equal(NO_OP_METRICS);
  });
});
