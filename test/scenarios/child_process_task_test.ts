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

const PRINT_READY = `console.log(JSON.stringify({event: 'ready'}));`;
// The handler is installed before the `ready` line is printed; otherwise a
// SIGTERM sent right after that line would kill the process.
const WAITING_PROGRAM = `process.on('SIGTERM', () => process.exit(0)); setInterval(() => 0, 1000); ${PRINT_READY}`;

function createProcess(program: string): [ChildProcessTask, string] {
  const folder = mkdtempSync(join(tmpdir(), 'foxtailbay-test-'));
  const path = join(folder, 'program.mjs');
  writeFileSync(path, program);
  const outputFile = join(folder, 'output.log');
  const task = ChildProcessTask.create({
    name: 'test',
    program: path,
    programArguments: [],
    outputFile,
    startTimer,
  });
  return [task, outputFile];
}

describe('ChildProcessTask', () => {
  it('starts, freezes, thaws and stops a process', async () => {
    const [task, outputFile] = createProcess(WAITING_PROGRAM);
    await task.start();
    expect(task.state).to.equal(ProcessState.SERVING);
    await task.send(ProcessEvent.FREEZE);
    expect(task.state).to.equal(ProcessState.FROZEN);
    await task.send(ProcessEvent.THAW);
    await task.send(ProcessEvent.STOP);
    await task.dispose();
    expect(task.state).to.equal(ProcessState.ENDED);
    expect(readFileSync(outputFile, 'utf8')).to.contain('ready');
  });

  it('reports the exit code of a graceful stop', async () => {
    const [task] = createProcess(WAITING_PROGRAM);
    await task.start();
    await task.send(ProcessEvent.STOP);
    expect(await task.awaitEnd()).to.deep.equal({code: 0, signal: null});
    await task.dispose();
  });

  it('kills and restarts a frozen process', async () => {
    const [task] = createProcess(WAITING_PROGRAM);
    await task.start();
    const before = task.pid;
    await task.send(ProcessEvent.FREEZE);
    await task.send(ProcessEvent.KILL);
    expect((await task.awaitEnd()).signal).to.equal('SIGKILL');
    await task.start();
    expect(task.pid).to.not.equal(before);
    await task.dispose();
  });

  it('rejects an event that the current state does not handle', async () => {
    const [task] = createProcess(WAITING_PROGRAM);
    const failure = await task.send(ProcessEvent.THAW).then(
      () => undefined,
      (reason: unknown) => reason,
    );
    expect(failure).to.be.instanceOf(ScenarioError);
  });

  it('fails to start a process that exits before it is ready', async () => {
    const [task] = createProcess('process.exit(3);');
    const failure = await task.start().then(
      () => undefined,
      (reason: Error) => reason,
    );
    expect(failure?.message).to.contain('code 3');
    await task.dispose();
  });
});
