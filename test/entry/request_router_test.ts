import {expect} from 'chai';
import {Outcome, Problem} from '../../src/lib/core/job.js';
import {PostOutcome} from '../../src/lib/core/task.js';
import type {EncodedAnswer} from '../../src/lib/entry/answer_encoding.js';
import {HolderKind} from '../../src/lib/entry/holder.js';
import type {Holder} from '../../src/lib/entry/holder.js';
import {
  RequestRouter,
  RequestKind,
  RequestOrigin,
} from '../../src/lib/entry/request_router.js';
import {composeKey, mintSession} from '../../src/lib/wire/session_key.js';

const SECRET = 'a secret of the tests';
const OWN = {id: 'x', incarnation: 'own-incarnation', dataCentre: 'a'};
const BODY = Buffer.from('{"team":"t","tasks":[{"payload":1}]}');

interface Fixture {
  readonly router: RequestRouter;
  readonly posted: string[];
  readonly forwarded: string[];
}

function createFixture(
  outcome: PostOutcome,
  holder: Holder = {kind: HolderKind.NONE, address: ''},
  announced: Holder = holder,
): Fixture {
  let current = holder;
  const posted: string[] = [];
  const forwarded: string[] = [];
  const router = RequestRouter.create({
    identity: OWN,
    address: 'x:1',
    secret: SECRET,
    sessionLifetimeMs: 1000,
    postToDispatcher: message => {
      if (outcome === PostOutcome.QUEUED) posted.push(message.kind);
      return outcome;
    },
    forward: address => {
      if (outcome === PostOutcome.QUEUED) forwarded.push(address);
      return outcome;
    },
    findHolder: () => current,
    awaitHolder: (_incarnation, resume) => {
      current = announced;
      resume();
      return PostOutcome.QUEUED;
    },
  });
  return {router, posted, forwarded};
}

function createKey(ownerAddress: string, ownerIncarnation: string): string {
  const token = {ownerAddress, ownerIncarnation, serial: 1, team: 't'};
  return composeKey(mintSession(token, SECRET), 'a');
}

function submit(
  fixture: Fixture,
  key: string | undefined,
  origin = RequestOrigin.CALLER,
): Record<string, unknown> | undefined {
  let answer: EncodedAnswer | undefined;
  fixture.router.handle(
    {kind: RequestKind.SUBMIT, key, body: BODY, trace: '', isDetached: false},
    origin,
    encoded => (answer = encoded),
  );
  return answer && (JSON.parse(answer.body.toString()) as never);
}

describe('RequestRouter', () => {
  it('posts a key of its own incarnation to the dispatcher', () => {
    const fixture = createFixture(PostOutcome.QUEUED);
    submit(fixture, createKey('x:1', OWN.incarnation));
    expect(fixture.posted).to.deep.equal(['submit']);
  });

  it('forwards a key of another incarnation to its owner', () => {
    const fixture = createFixture(PostOutcome.QUEUED);
    submit(fixture, createKey('y:1', 'other-incarnation'));
    expect(fixture.forwarded).to.deep.equal(['y:1']);
  });

  it('forwards a key of an ended incarnation to the holder of its sessions', () => {
    const holder = {kind: HolderKind.PEER, address: 'z:1'};
    const fixture = createFixture(PostOutcome.QUEUED, holder);
    submit(fixture, createKey('x:1', 'ended-incarnation'));
    expect(fixture.forwarded).to.deep.equal(['z:1']);
  });

  it('waits for the holder of the sessions of its earlier life', () => {
    const none = {kind: HolderKind.NONE, address: ''};
    const announced = {kind: HolderKind.PEER, address: 'z:1'};
    const fixture = createFixture(PostOutcome.QUEUED, none, announced);
    submit(fixture, createKey('x:1', 'earlier-incarnation'));
    expect(fixture.forwarded).to.deep.equal(['z:1']);
  });

  it('answers for an ended incarnation whose sessions it holds', () => {
    const holder = {kind: HolderKind.SELF, address: 'x:1'};
    const fixture = createFixture(PostOutcome.QUEUED, holder);
    submit(fixture, createKey('y:1', 'ended-incarnation'), RequestOrigin.PEER);
    expect(fixture.posted).to.deep.equal(['submit']);
  });

  it('does not forward a request twice', () => {
    const fixture = createFixture(PostOutcome.QUEUED);
    const key = createKey('y:1', 'other-incarnation');
    const answer = submit(fixture, key, RequestOrigin.PEER);
    expect(fixture.forwarded).to.deep.equal([]);
    expect(answer?.code).to.equal(Problem.SESSION_ENDED);
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('answers unknown for an earlier incarnation at its own address', () => {
    const fixture = createFixture(PostOutcome.QUEUED);
    const answer = submit(fixture, createKey('x:1', 'earlier-incarnation'));
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('answers unknown for a key if its key table was not consulted', () => {
    const fixture = createFixture(PostOutcome.FULL);
    const answer = submit(fixture, createKey('x:1', OWN.incarnation));
    expect(answer?.code).to.equal(Problem.OVERLOADED);
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });

  it('answers did-not-run without a key when the mailbox is full', () => {
    const answer = submit(createFixture(PostOutcome.FULL), undefined);
    expect(answer?.outcome).to.equal(Outcome.DID_NOT_RUN);
  });

  it('answers unknown when too many requests are pending for the owner', () => {
    const fixture = createFixture(PostOutcome.FULL);
    const answer = submit(fixture, createKey('y:1', 'other-incarnation'));
    expect(answer?.outcome).to.equal(Outcome.UNKNOWN);
  });
});
