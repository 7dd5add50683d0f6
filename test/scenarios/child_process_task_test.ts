import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {startTimer} from '../../src/lib/core/clock.js';
import {
  ChildProcessTask,
  ProcessEvent,
  ProcessState,
} from '../../tools/scenario/child_process_task.js';
import {ScenarioError} from '../../tools/scenario/scenario_error.js';

const READY = `console.log(JSON.stringify({event: 'ready'}));`;
// The handler stands before the process says that it is ready: a signal sent
// on that word would end it otherwise.
const WAITS = `process.on('SIGTERM', () => process.exit(0)); setInterval(() => 0, 1000); ${READY}`;

function createProcess(program: string): [ChildProcessTask, string] {
  const folder = mkdtempSync(join(tmpdir(), 'foxtailbay-test-'));
  const path = join(folder, 'program.mjs');
  writeFileSync(path, program);
  const outputFile = join(folder, 'output.log');
  const owner = ChildProcessTask.create({
    name: 'test',
    program: path,
    programArguments: [],
    outputFile,
    startTimer,
  });
  return [owner, outputFile];
}

describe('ChildProcessTask', () => {
  it('starts, freezes, thaws and stops a process', async () => {
    const [owner, outputFile] = createProcess(WAITS);
    await owner.start();
    expect(owner.state).to.equal(ProcessState.SERVING);
    await owner.send(ProcessEvent.FREEZE);
    expect(owner.state).to.equal(ProcessState.FROZEN);
    await owner.send(ProcessEvent.THAW);
    await owner.send(ProcessEvent.STOP);
    await owner.dispose();
    expect(owner.state).to.equal(ProcessState.ENDED);
    expect(readFileSync(outputFile, 'utf8')).to.contain('ready');
  });

  it('reports how a graceful stop ended', async () => {
    const [owner] = createProcess(WAITS);
    await owner.start();
    await owner.send(ProcessEvent.STOP);
    expect(await owner.awaitEnd()).to.deep.equal({code: 0, signal: null});
    await owner.dispose();
  });

  it('kills a frozen process and starts it anew', async () => {
    const [owner] = createProcess(WAITS);
    await owner.start();
    const before = owner.pid;
    await owner.send(ProcessEvent.FREEZE);
    await owner.send(ProcessEvent.KILL);
    expect((await owner.awaitEnd()).signal).to.equal('SIGKILL');
    await owner.start();
    expect(owner.pid).to.not.equal(before);
    await owner.dispose();
  });

  it('refuses an event that does not fit the state', async () => {
    const [owner] = createProcess(WAITS);
    const failure = await owner.send(ProcessEvent.THAW).then(
      () => undefined,
      (reason: unknown) => reason,
    );
    expect(failure).to.be.instanceOf(ScenarioError);
  });

  it('fails to start a process that ends before it is ready', async () => {
    const [owner] = createProcess('process.exit(3);');
    const failure = await owner.start().then(
      () => undefined,
      (reason: Error) => reason,
    );
    expect(failure?.message).to.contain('code 3');
    await owner.dispose();
  });
});
