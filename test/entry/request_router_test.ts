import {expect} from 'chai';
import {Outcome, Problem} from '../../src/lib/core/job.js';
import {PostOutcome} from '../../src/lib/core/task.js';
import type {EncodedAnswer} from '../../src/lib/entry/answer_encoding.js';
import {
  HolderKind,
  RequestRouter,
  RequestKind,
  RequestOrigin,
} from '../../src/lib/entry/request_router.js';
import type {Holder} from '../../src/lib/entry/request_router.js';
import {composeKey, mintSession} from '../../src/lib/wire/session_key.js';

const SECRET = 'a secret of the tests';
const OWN = {id: 'x', incarnation: 'own-life', dataCentre: 'a'};
const BODY = Buffer.from('{"team":"t","tasks":[{"payload":1}]}');

interface Trial {
  readonly desk: RequestRouter;
  readonly taken: string[];
  readonly forwarded: string[];
}

function createTrial(
  outcome: PostOutcome,
  holder: Holder = {kind: HolderKind.NONE, address: ''},
): Trial {
  const taken: string[] = [];
  const forwarded: string[] = [];
  const desk = RequestRouter.create({
    identity: OWN,
    address: 'x:1',
    secret: SECRET,
    sessionLifetimeMs: 1000,
    postToDispatcher: message => {
      if (outcome === PostOutcome.QUEUED) taken.push(message.kind);
      return outcome;
    },
    forward: address => {
      if (outcome === PostOutcome.QUEUED) forwarded.push(address);
      return outcome;
    },
    findHolder: () => holder,
  });
  return {desk, taken, forwarded};
}

function createKey(ownerAddress: string, ownerIncarnation: string): string {
  const token = {ownerAddress, ownerIncarnation, serial: 1, team: 't'};
  return composeKey(mintSession(token, SECRET), 'a');
}

function submit(
  trial: Trial,
  key: string | undefined,
  origin = RequestOrigin.CALLER,
): Record<string, unknown> | undefined {
  let answer: EncodedAnswer | undefined;
  trial.desk.handle(
    {kind: RequestKind.SUBMIT, key, body: BODY, trace: '', isDetached: false},
    origin,
    encoded => (answer = encoded),
  );
  return answer && (JSON.parse(answer.body.toString()) as never);
}

describe('RequestDesk', () => {
  it('hands a key of its own life to the dispatcher', () => {
    const trial = createTrial(PostOutcome.QUEUED);
    submit(trial, createKey('x:1', OWN.incarnation));
    expect(trial.taken).to.deep.equal(['submit']);
  });

  it('hands a key of another life to its owner', () => {
    const trial = createTrial(PostOutcome.QUEUED);
    submit(trial, createKey('y:1', 'other-life'));
    expect(trial.forwarded).to.deep.equal(['y:1']);
  });

  it('hands a key of an ended life to whoever holds its sessions', () => {
    const holder = {kind: HolderKind.PEER, address: 'z:1'};
    const trial = createTrial(PostOutcome.QUEUED, holder);
    submit(trial, createKey('x:1', 'ended-life'));
    expect(trial.forwarded).to.deep.equal(['z:1']);
  });

  it('answers itself for a life whose sessions it holds', () => {
    const holder = {kind: HolderKind.SELF, address: 'x:1'};
    const trial = createTrial(PostOutcome.QUEUED, holder);
    submit(trial, createKey('y:1', 'ended-life'), RequestOrigin.PEER);
    expect(trial.taken).to.deep.equal(['submit']);
  });

  it('never hands a forwarded request on', () => {
    const trial = createTrial(PostOutcome.QUEUED);
    const key = createKey('y:1', 'other-life');
    const answer = submit(trial, key, RequestOrigin.PEER);
    expect(trial.forwarded).to.deep.equal([]);
    expect(answer?.code).to.equal(Problem.SESSION_ENDED);
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('says unknown for an earlier life at its own address', () => {
    const trial = createTrial(PostOutcome.QUEUED);
    const answer = submit(trial, createKey('x:1', 'earlier-life'));
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('does not say of a key that it did not run without asking the ledger', () => {
    const trial = createTrial(PostOutcome.FULL);
    const answer = submit(trial, createKey('x:1', OWN.incarnation));
    expect(answer?.code).to.equal(Problem.OVERLOADED);
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('says of a job without a key that it did not run when it is crowded', () => {
    const answer = submit(createTrial(PostOutcome.FULL), undefined);
    expect(answer?.outcome).to.equal(Outcome.DID_NOT_RUN);
  });

  it('answers when too many requests wait for the owner', () => {
    const trial = createTrial(PostOutcome.FULL);
    const answer = submit(trial, createKey('y:1', 'other-life'));
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });
});
