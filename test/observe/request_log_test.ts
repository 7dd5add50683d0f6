import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {
  createFleetLog,
  LineSink,
} from '../../src/lib/observe/fleet_log_writer.js';
import {createIdentity} from '../../src/lib/core/identity.js';
import {isSampled, RequestLog} from '../../src/lib/observe/request_log.js';

const UNSAMPLED_JOB = '0000000000000001';
const SAMPLED_JOB = '0000000000000040';

function createLog(linesPerSecond: number) {
  const written: Array<{event: FleetEvent; fields?: object}> = [];
  let nowMs = 0;
  const log = RequestLog.create({
    log: (event, _text, fields) => written.push({event, fields}),
    readMonotonicMs: () => nowMs,
    linesPerSecond,
  });
  return {log, written, advance: (ms: number) => (nowMs += ms)};
}

describe('RequestLog', () => {
  it('writes all lines of a notable request, with their age', () => {
    const {log, written, advance} = createLog(10);
    log.add('a', FleetEvent.JOB_ADMITTED, '', {});
    advance(70);
    log.add('a', FleetEvent.JOB_ENDED, '', {});
    log.finish('a', UNSAMPLED_JOB, true);
    expect(written).to.deep.equal([
      {event: FleetEvent.JOB_ADMITTED, fields: {agoMs: 70}},
      {event: FleetEvent.JOB_ENDED, fields: {agoMs: 0}},
    ]);
  });

  it('writes only a sample of the other requests, selected by job id', () => {
    expect(isSampled(UNSAMPLED_JOB)).to.equal(false);
    expect(isSampled(SAMPLED_JOB)).to.equal(true);
    const {log, written} = createLog(10);
    for (const job of [UNSAMPLED_JOB, SAMPLED_JOB]) {
      log.add(job, FleetEvent.JOB_ENDED, '', {});
      log.finish(job, job, false);
    }
    expect(
      written.filter(({event}) => event === FleetEvent.JOB_ENDED),
    ).to.have.length(1);
  });

  it('limits the lines per second and counts the dropped ones', () => {
    const {log, written, advance} = createLog(5);
    for (let job = 0; job < 1000; job += 1) {
      log.add('a', FleetEvent.JOB_REFUSED, '', {});
      log.finish('a', UNSAMPLED_JOB, true);
    }
    expect(written).to.have.length(5);
    advance(1000);
    log.add('a', FleetEvent.JOB_REFUSED, '', {});
    log.finish('a', UNSAMPLED_JOB, true);
    expect(written[5]).to.deep.equal({
      event: FleetEvent.LINES_DROPPED,
      fields: {counts: {[FleetEvent.JOB_REFUSED]: 995}},
    });
  });
});

describe('LineSink', () => {
  it('drops lines without blocking when the reader has stopped', () => {
    let calls = 0;
    const sink = LineSink.create(1, () => (calls += 1));
    const line = 'x'.repeat(1023) + '\n';
    for (let count = 0; count < 1000; count += 1) sink.write(line);
    expect(calls).to.equal(1);
    expect(sink.takeDroppedCount()).to.equal(1000 - 256);
  });

  it('continues after a partial write', () => {
    const parts: string[] = [];
    const sink = LineSink.create(1, (_descriptor, bytes, done) => {
      const part = bytes.subarray(0, 3);
      parts.push(part.toString());
      done(null, part.length);
    });
    sink.write('abcdefgh\n');
    expect(parts.join('')).to.equal('abcdefgh\n');
  });
});

describe('createFleetLog', () => {
  it('reports how many lines a slow reader has missed', async () => {
    const written: string[] = [];
    let finish: (() => void) | undefined;
    const sink = LineSink.create(1, (_descriptor, bytes, done) => {
      written.push(bytes.toString());
      finish = () => done(null, bytes.length);
    });
    const identity = createIdentity('entry-1', 'zone-a');
    const log = await createFleetLog({program: 'test', identity, sink});
    const detail = 'x'.repeat(1000);
    for (let line = 0; line < 400; line += 1) {
      log(FleetEvent.STATUS, 'Work.', {detail});
    }
    while (finish !== undefined) {
      const done: () => void = finish;
      finish = undefined;
      done();
    }
    log(FleetEvent.STATUS, 'The reader has caught up.');
    const lines = written
      .join('')
      .trim()
      .split('\n')
      .map(line => JSON.parse(line));
    const [dropped] = lines.filter(({event}) => event === 'lines-left-out');
    const received = lines.filter(({detail: text}) => text === detail);
    expect(dropped.counts.unread).to.equal(400 - received.length);
  });
});
