import {expect} from 'chai';
import {ExitCode} from '../../../src/lib/cli/exit_code.js';
import {ReplyKind} from '../../../src/lib/cli/http_exchange.js';
import {createResponse, createFailure, runFoxtailbay} from '../fake_context.js';

const FILES = {
  'job.json': JSON.stringify({
    team: 'search',
    tasks: [{payload: 1}, {payload: 2}],
  }),
  'job.yaml': 'team: search\ntasks: [{payload: 1}, {payload: 2}]\n',
  'broken.json': '{"team": "search"}',
};
const SESSION = createResponse(201, {session: 'token', expiresInMs: 1000});
const COMPLETE = createResponse(200, {
  key: 'token.drawn',
  outcome: 'complete',
  results: ['a', 'b'],
});

function submit(words: readonly string[], reply = COMPLETE) {
  return runFoxtailbay(['submit', ...words], {
    files: FILES,
    replies: {
      'POST /v1/sessions': SESSION,
      'POST /v1/jobs': reply,
      'GET /v1/jobs/token.drawn': createResponse(200, {
        key: 'token.drawn',
        state: 'running',
        done: 1,
        total: 2,
      }),
    },
  });
}

describe('foxtailbay submit', () => {
  for (const file of ['job.json', 'job.yaml']) {
    it(`submits ${file} under a new session and prints the results`, async () => {
      const run = await submit([file]);
      expect(run.exitCode).to.equal(ExitCode.OK);
      expect(JSON.parse(run.output)).to.deep.equal(['a', 'b']);
      expect(run.requests[1].headers).to.deep.equal({
        'idempotency-key': 'token.drawn',
      });
    });
  }

  it('resubmits under a full key without a new session', async () => {
    const run = await submit(['job.json', '--key', 'old.mine']);
    expect(run.requests).to.have.length(1);
    expect(run.requests[0].headers).to.deep.equal({
      'idempotency-key': 'old.mine',
    });
  });

  it('uses the given session', async () => {
    const run = await submit(['job.json', '--session', 's', '--key', 'n']);
    expect(run.requests[0].headers).to.deep.equal({'idempotency-key': 's.n'});
  });

  it('shows no progress without a terminal, and prints only the results', async () => {
    const run = await submit(['job.json', '--progress']);
    expect(run.messages).to.equal('');
    expect(JSON.parse(run.output)).to.deep.equal(['a', 'b']);
  });

  it('reports an unknown outcome if a result is missing in the response', async () => {
    const run = await submit(
      ['job.json'],
      createResponse(200, {key: 'k', outcome: 'complete', results: ['a']}),
    );
    expect(run.exitCode).to.equal(ExitCode.UNKNOWN);
    expect(run.messages).to.contain('1 results for 2 tasks');
  });

  for (const [outcome, exitCode] of [
    ['did-not-run', ExitCode.REFUSED],
    ['failed', ExitCode.FAILED],
    ['unknown', ExitCode.UNKNOWN],
  ] as const) {
    it(`reports outcome "${outcome}" with exit code ${exitCode}`, async () => {
      const problem = {
        title: 'No.',
        status: 503,
        detail: 'So it is.',
        code: 'overloaded',
        outcome,
        retryAfterMs: 200,
      };
      const run = await submit(['job.json'], createResponse(503, problem));
      expect(run.exitCode).to.equal(exitCode);
      expect(run.output).to.equal('');
      expect(run.messages).to.contain('[overloaded]: So it is.');
      expect(run.messages).to.contain('Try again in 200 ms.');
    });
  }

  it('reports an unknown outcome and how to query the job if the response is lost', async () => {
    const run = await submit(['job.json'], createFailure(ReplyKind.LOST));
    expect(run.exitCode).to.equal(ExitCode.UNKNOWN);
    expect(run.messages).to.contain('foxtailbay job get token.drawn');
  });

  it('ends as unreachable if no connection is established', async () => {
    const run = await submit(['job.json'], createFailure(ReplyKind.NOT_SENT));
    expect(run.exitCode).to.equal(ExitCode.UNREACHABLE);
  });

  it('sends no job if the file or the name is invalid', async () => {
    for (const words of [['broken.json'], ['job.json', '--key', 'a b']]) {
      const run = await submit(words);
      expect(run.exitCode).to.equal(ExitCode.USAGE);
      expect(
        run.requests.filter(({url}) => url.endsWith('/jobs')),
      ).to.deep.equal([]);
    }
  });
});

describe('foxtailbay job', () => {
  it('prints the progress of a running job', async () => {
    const progress = {key: 'k.n', state: 'running', done: 3, total: 9};
    const run = await runFoxtailbay(['job', 'get', 'k.n'], {
      replies: {'GET /v1/jobs/k.n': createResponse(200, progress)},
    });
    expect(run.output).to.equal('running: 3 of 9 tasks done\n');
  });

  it('prints results and failures as JSON documents', async () => {
    const problem = {code: 'not-found', outcome: 'unknown'};
    const run = await runFoxtailbay(['job', 'get', 'k.n', '--output', 'json'], {
      replies: {'GET /v1/jobs/k.n': createResponse(404, problem)},
    });
    expect(JSON.parse(run.output)).to.deep.equal(problem);
    expect(run.exitCode).to.equal(ExitCode.UNKNOWN);
  });

  it('cancels a job', async () => {
    const run = await runFoxtailbay(['job', 'cancel', 'k.n'], {
      replies: {'DELETE /v1/jobs/k.n': createResponse(202, {key: 'k.n'})},
    });
    expect(run.exitCode).to.equal(ExitCode.OK);
  });
});
