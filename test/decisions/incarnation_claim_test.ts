import {expect} from 'chai';
import {
  CLAIM_RETENTION_MS,
  ClaimAction,
  ClaimEvent,
  ClaimState,
  IncarnationClaim,
} from '../../src/lib/decisions/incarnation_claim.js';

const REPEAT_MS = 200;

describe('IncarnationClaim', () => {
  it('asks at once, and adopts the incarnation once it is confirmed', () => {
    const claim = IncarnationClaim.create(0);
    expect(claim.advance(0)).to.deep.equal([ClaimAction.ASK]);
    expect(claim.advance(REPEAT_MS)).to.deep.equal([]);
    const actions = claim.send(ClaimEvent.CONFIRMED, REPEAT_MS);
    expect(actions).to.deep.equal([ClaimAction.ADOPT]);
    expect(claim.state).to.equal(ClaimState.CONFIRMED);
  });

  it('repeats a call without an answer, but not in a loop', () => {
    const claim = IncarnationClaim.create(0);
    claim.advance(0);
    claim.send(ClaimEvent.UNANSWERED, 1);
    expect(claim.advance(2)).to.deep.equal([]);
    expect(claim.advance(REPEAT_MS)).to.deep.equal([ClaimAction.ASK]);
  });

  it('is rejected if another incarnation answers', () => {
    const claim = IncarnationClaim.create(0);
    claim.advance(0);
    const actions = claim.send(ClaimEvent.DENIED, 1);
    expect(actions).to.deep.equal([ClaimAction.REJECT]);
  });

  it('is kept while it is heard, and rejected after the retention time', () => {
    const claim = IncarnationClaim.create(0);
    claim.advance(0);
    claim.send(ClaimEvent.UNANSWERED, 1);
    claim.recordHeartbeat(1000);
    expect(claim.advance(CLAIM_RETENTION_MS)).to.deep.equal([ClaimAction.ASK]);
    claim.send(ClaimEvent.UNANSWERED, CLAIM_RETENTION_MS);
    const actions = claim.advance(CLAIM_RETENTION_MS + 1000);
    expect(actions).to.deep.equal([ClaimAction.REJECT]);
    expect(claim.state).to.equal(ClaimState.DENIED);
  });
});
