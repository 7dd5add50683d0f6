import {expect} from 'chai';
import {ExitCode} from '../../../src/lib/cli/exit_code.js';
import {runFoxtailbay} from '../fake_context.js';

const JOB = 'b8ed7a1100000001';
const REQUEST = 'a1b2c3d4e5f60718';

function formatLine(
  process: string,
  event: string,
  atMs: number,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  const time = new Date(Date.UTC(2026, 5, 1) + atMs).toISOString();
  const common = {process, event, job: JOB, request: REQUEST, time};
  return JSON.stringify({...common, msg: 'As it was.', ...fields});
}

const RUN = {task: `${JOB}.0.0.0`, run: 1};

const ENTRY_LOG = [
  formatLine('entry-1', 'job-admitted', 500, {agoMs: 500, objectiveMs: 200}),
  formatLine('entry-1', 'task-placed', 500, {agoMs: 490, ...RUN}),
  formatLine('entry-1', 'job-ended', 500, {state: 'completed', tookMs: 500}),
  JSON.stringify({process: 'entry-1', event: 'status', msg: 'Other.'}),
  `{"cut off": "${JOB}`,
].join('\n');

/** The agent's clock is 300 ms behind. */
const AGENT_LOG = [
  ` 12.3 agent-1 ${formatLine('agent-1', 'run-started', -280, RUN)}`,
  formatLine('agent-1', 'run-ended', 150, {...RUN, end: 'done'}),
].join('\n');

describe('foxtailbay explain', () => {
  const files = {'entry.log': ENTRY_LOG, 'agent.log': AGENT_LOG};

  for (const id of [JOB, REQUEST]) {
    it(`shows the timeline of ${id} in order although clocks differ`, async () => {
      const words = ['explain', id, 'agent.log', 'entry.log'];
      const {exitCode, output} = await runFoxtailbay(words, {files});
      expect(exitCode).to.equal(ExitCode.OK);
      const events = output.trim().split('\n');
      const order = [
        'took the job',
        'gave a task',
        'run begin',
        'run end',
        'ended the job',
      ];
      expect(events).to.have.length(order.length);
      order.forEach((word, at) => expect(events[at]).to.include(word));
      expect(events[0]).to.include('0 ms').and.include('objectiveMs=200');
    });
  }

  it('fails with a message if no log line mentions the id', async () => {
    const words = ['explain', 'ffffffffffffffff', 'entry.log'];
    const {exitCode, messages} = await runFoxtailbay(words, {files});
    expect(exitCode).to.equal(ExitCode.FAILED);
    expect(messages).to.include('No log line mentions');
  });
});
