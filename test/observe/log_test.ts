import {PassThrough} from 'node:stream';
import {expect} from 'chai';
import {createLog, extendWithJob, LogEvent} from '../../src/lib/observe/log.js';
import {LogLevel} from '../../src/lib/settings/settings_schema.js';

async function createTestLog() {
  const stream = new PassThrough();
  const log = await createLog({
    program: 'foxtailbay-entry',
    identity: {id: 'entry-1', incarnation: 'i1', dataCentre: 'vn-south-a'},
    level: LogLevel.INFO,
    stream,
  });
  return {log, readLine: () => JSON.parse(stream.read().toString())};
}

describe('createLog', () => {
  it('writes process, incarnation and data centre in each line', async () => {
    const {log, readLine} = await createTestLog();
    log.write(LogLevel.INFO, LogEvent.READY, 'Serves.', {port: 1});
    expect(readLine()).to.include({
      name: 'foxtailbay-entry',
      process: 'entry-1',
      incarnation: 'i1',
      dataCentre: 'vn-south-a',
      event: 'ready',
      msg: 'Serves.',
      port: 1,
      level: 30,
    });
  });

  it('writes job and trace in the lines of an extended log', async () => {
    const {log, readLine} = await createTestLog();
    extendWithJob(log, 'key-1', '00-ab-cd-01').write(
      LogLevel.WARN,
      LogEvent.JOB_ENDED,
      'Ended.',
    );
    expect(readLine()).to.include({job: 'key-1', trace: '00-ab-cd-01'});
  });

  it('discards lines below its level', async () => {
    const {log, readLine} = await createTestLog();
    log.write(LogLevel.DEBUG, LogEvent.TARGET_PRESENT, 'Not seen.');
    log.write(LogLevel.ERROR, LogEvent.FAILURE, 'Seen.', {
      err: new RangeError('boom'),
    });
    const line = readLine();
    expect(line.event).to.equal('failure');
    expect(line.err).to.include({name: 'RangeError', message: 'boom'});
  });
});
