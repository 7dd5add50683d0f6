import {expect} from 'chai';
import {CallerTask} from '../../tools/scenario/caller_task.js';
import type {SubmissionRequest} from '../../tools/scenario/caller_task.js';
import type {Submission} from '../../tools/scenario/evidence.js';
import type {CallHttp, HttpCall} from '../../tools/scenario/http_call.js';
import {isRetryAllowed} from '../../tools/scenario/load_runner.js';
import {ScenarioError} from '../../tools/scenario/scenario_error.js';
import {createSubmission} from './evidence_builder.js';

const REQUEST: SubmissionRequest = {
  name: 'one',
  group: 'one',
  job: 'one',
  keyName: 'one/1',
  via: 'entry-1',
  sessionFrom: 'entry-1',
  body: {taskIds: ['one/0'], body: {}},
  team: 'listings',
};

function createCaller(answerJob: CallHttp): [CallerTask, HttpCall[]] {
  const calls: HttpCall[] = [];
  const call: CallHttp = request => {
    calls.push(request);
    if (request.url.endsWith('/v1/jobs')) return answerJob(request);
    const text = JSON.stringify({session: `s${calls.length}`});
    return Promise.resolve({status: 201, headers: {}, text});
  };
  const caller = CallerTask.create({
    call,
    readMs: () => 0,
    findAddress: name => `http://${name}`,
    report: () => undefined,
  });
  return [caller, calls];
}

function createReply(status: number, body: object): CallHttp {
  const text = JSON.stringify(body);
  return () => Promise.resolve({status, headers: {}, text});
}

describe('CallerTask', () => {
  it('opens one session and creates its keys in it', async () => {
    const [caller, calls] = createCaller(createReply(200, {}));
    await caller.submit(REQUEST);
    await caller.submit({...REQUEST, name: 'two', keyName: 'two'});
    const keys = calls.flatMap(({headers}) => headers?.['idempotency-key']);
    expect(keys.filter(key => key !== undefined)).to.deep.equal([
      's1.one-1',
      's1.two',
    ]);
  });

  it('opens a new session after the answer `session-ended`', async () => {
    const [caller] = createCaller(createReply(409, {code: 'session-ended'}));
    await caller.submit(REQUEST);
    await caller.submit({...REQUEST, name: 'two'});
    expect(caller.findKey('two')).to.equal('s3.one-1');
  });

  it('reports a request as cut only if it was sent', async () => {
    const fail = () => Promise.reject(new ScenarioError('reset'));
    const [caller] = createCaller(fail);
    expect((await caller.submit(REQUEST)).isCut).to.equal(true);
    const unsent = CallerTask.create({
      call: fail,
      readMs: () => 0,
      findAddress: () => '',
      report: () => undefined,
    });
    expect((await unsent.submit(REQUEST)).isCut).to.equal(false);
  });

  it('reports no answer body if the JSON is truncated', async () => {
    const [caller] = createCaller(() =>
      Promise.resolve({status: 200, headers: {}, text: '{"outcome":"comp'}),
    );
    expect((await caller.submit(REQUEST)).answer?.body).to.equal(undefined);
  });
});

describe('isRetryAllowed', () => {
  const cases: Array<[string, Partial<Submission>, boolean]> = [
    ['a complete answer', {}, false],
    ['a cut request', {answer: undefined, isCut: true}, false],
    ['a request that was not sent', {answer: undefined}, true],
    [
      'an unknown outcome',
      {answer: {status: 502, body: {outcome: 'unknown'}}},
      false,
    ],
    [
      'a refusal with `did-not-run`',
      {answer: {status: 503, body: {outcome: 'did-not-run'}}},
      true,
    ],
  ];
  for (const [text, over, isAllowed] of cases) {
    it(`is ${isAllowed} after ${text}`, () => {
      expect(isRetryAllowed(createSubmission(over))).to.equal(isAllowed);
    });
  }
});
