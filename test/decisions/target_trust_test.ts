import {expect} from 'chai';
import {
  PROBE_PAUSE_MS,
  TargetTrust,
  TrustState,
} from '../../src/lib/decisions/target_trust.js';

describe('TargetTrust', () => {
  it('does not suspect a target for one job whose tasks all fail', () => {
    const trust = TargetTrust.create();
    for (let task = 0; task < 8; task += 1) trust.recordFailure('poison', 0);
    expect(trust.state).to.equal(TrustState.TRUSTED);
  });

  it('suspects a target that fails two jobs in a row', () => {
    const trust = TargetTrust.create();
    trust.recordFailure('a', 0);
    trust.recordFailure('b', 1);
    expect(trust.state).to.equal(TrustState.SUSPECT);
  });

  it('resets the count of failures after a successful run', () => {
    const trust = TargetTrust.create();
    trust.recordFailure('a', 0);
    trust.recordSuccess();
    trust.recordFailure('b', 1);
    expect(trust.state).to.equal(TrustState.TRUSTED);
  });

  it('suspects a target at the first stalled run', () => {
    const trust = TargetTrust.create();
    trust.recordHang(0);
    expect(trust.state).to.equal(TrustState.SUSPECT);
  });

  it('probes after the pause, and trusts again after one successful run', () => {
    const trust = TargetTrust.create();
    trust.recordHang(0);
    trust.advance(PROBE_PAUSE_MS - 1);
    expect(trust.state).to.equal(TrustState.SUSPECT);
    trust.advance(PROBE_PAUSE_MS);
    expect(trust.state).to.equal(TrustState.PROBING);
    trust.recordSuccess();
    expect(trust.state).to.equal(TrustState.TRUSTED);
  });

  it('pauses again after a failed probe', () => {
    const trust = TargetTrust.create();
    trust.recordHang(0);
    trust.advance(PROBE_PAUSE_MS);
    trust.recordFailure('a', PROBE_PAUSE_MS);
    expect(trust.state).to.equal(TrustState.SUSPECT);
    trust.advance(PROBE_PAUSE_MS * 2 - 1);
    expect(trust.state).to.equal(TrustState.SUSPECT);
  });

  // A target that goes down and up by turns resets each connection; runs that are
  // ordered from it wait until their lease has ended.
  it('suspects a target that breaks three calls in a row', () => {
    const trust = TargetTrust.create();
    trust.recordCall(true, 0);
    trust.recordCall(true, 1);
    expect(trust.state).to.equal(TrustState.TRUSTED);
    trust.recordCall(true, 2);
    expect(trust.state).to.equal(TrustState.SUSPECT);
  });

  it('does not suspect a target that answers in between', () => {
    const trust = TargetTrust.create();
    for (let atMs = 0; atMs < 20; atMs += 1) {
      trust.recordCall(atMs % 3 > 0, atMs);
      expect(trust.state).to.equal(TrustState.TRUSTED);
    }
  });
});
