import {expect} from 'chai';
import {ExpectationKind} from '../../tools/scenario/definition.js';
import type {Expectation} from '../../tools/scenario/definition.js';
import type {Evidence} from '../../tools/scenario/evidence.js';
import {judgeEvidence} from '../../tools/scenario/judge.js';
import {
  createEvidence,
  createStart,
  createSubmission,
} from './evidence_builder.js';

const EXPECTATION: Omit<Expectation, 'kind'> = {
  of: [],
  change: 'out-1',
  afterMs: 5_000,
  withinMs: 6_000,
  atMost: 0,
  atLeast: 0,
  oneOf: [],
};

const OUT = {
  name: 'out-1',
  subject: 'vn-south-a',
  to: 'out',
  revision: 7,
  sentAtMs: 900,
  acceptedAtMs: 1_000,
  inForceAtMs: 2_000,
};

function isMet(
  kind: ExpectationKind,
  evidence: Evidence,
  overrides: Partial<Expectation> = {},
): boolean {
  return judgeEvidence([{...EXPECTATION, kind, ...overrides}], evidence)[0]
    .isMet;
}

describe('judgeEvidence', () => {
  it('reports a task that started at two targets as a duplicate', () => {
    const starts = [createStart(), createStart({target: 'target-2'})];
    const evidence = createEvidence({starts});
    expect(isMet(ExpectationKind.DUPLICATE_STARTS, evidence)).to.equal(false);
    const single = createEvidence({starts: [createStart()]});
    expect(isMet(ExpectationKind.DUPLICATE_STARTS, single)).to.equal(true);
  });

  it('reports a task that started in two attempts as a duplicate', () => {
    const starts = [createStart(), createStart({taskId: 'job-1~2/0'})];
    const evidence = createEvidence({starts});
    expect(isMet(ExpectationKind.DUPLICATE_STARTS, evidence)).to.equal(false);
  });

  const partial: Array<[string, object | undefined]> = [
    ['is truncated', undefined],
    ['lacks a result', {outcome: 'complete', results: [{echo: 'job-1/0'}]}],
    [
      'has an empty result',
      {outcome: 'complete', results: [{echo: 'job-1/0'}, null]},
    ],
    ['has status 200 but another outcome', {outcome: 'failed'}],
  ];
  for (const [text, body] of partial) {
    it(`reports an answer as partial that ${text}`, () => {
      const submission = createSubmission({answer: {status: 200, body}});
      const evidence = createEvidence({submissions: [submission]});
      expect(isMet(ExpectationKind.PARTIAL_ANSWERS, evidence)).to.equal(false);
      expect(
        isMet(ExpectationKind.ANSWERED_SHARE_AT_LEAST, evidence, {
          atLeast: 0.5,
        }),
      ).to.equal(false);
    });
  }

  it('reports results of another request', () => {
    const results = [{echo: 'job-1/0'}, {echo: 'job-2/1'}];
    const submission = createSubmission({
      answer: {status: 200, body: {outcome: 'complete', results}},
    });
    const evidence = createEvidence({submissions: [submission]});
    expect(isMet(ExpectationKind.MIXED_ANSWERS, evidence)).to.equal(false);
  });

  it('reports `did-not-run` as false if a task of the job started', () => {
    const submission = createSubmission({
      answer: {status: 503, body: {outcome: 'did-not-run'}},
    });
    const evidence = createEvidence({
      submissions: [submission],
      starts: [createStart()],
    });
    expect(isMet(ExpectationKind.FALSE_DID_NOT_RUN, evidence)).to.equal(false);
    const idle = createEvidence({submissions: [submission]});
    expect(isMet(ExpectationKind.FALSE_DID_NOT_RUN, idle)).to.equal(true);
  });

  it('counts a job as answered if one of its submissions was', () => {
    const lost = createSubmission({name: 'a', job: 'a', answer: undefined});
    const again = createSubmission({name: 'a-again', job: 'a'});
    const evidence = createEvidence({submissions: [lost, again]});
    expect(
      isMet(ExpectationKind.ANSWERED_SHARE_AT_LEAST, evidence, {atLeast: 1}),
    ).to.equal(true);
  });

  it('counts starts in a data centre from the time limit to its return', () => {
    const back = {
      ...OUT,
      name: 'in-1',
      to: 'in',
      sentAtMs: 8_900,
      acceptedAtMs: 9_000,
    };
    const judgeAt = (startedAtMs: number) =>
      isMet(
        ExpectationKind.STARTS_IN_DATA_CENTRE,
        createEvidence({
          changes: [OUT, back],
          starts: [createStart({startedAtMs})],
        }),
      );
    expect(judgeAt(5_900)).to.equal(true);
    expect(judgeAt(6_100)).to.equal(false);
    expect(judgeAt(8_890)).to.equal(false);
    // The return is written, but the operator has not received its acceptance.
    expect(judgeAt(8_950)).to.equal(true);
    expect(judgeAt(9_100)).to.equal(true);
  });

  it('misses an expectation whose window begins after the end of the run', () => {
    const evidence = createEvidence({changes: [OUT], endedAtMs: 5_500});
    expect(isMet(ExpectationKind.STARTS_IN_DATA_CENTRE, evidence)).to.equal(
      false,
    );
  });

  it('misses an expectation on a change that was not accepted', () => {
    expect(isMet(ExpectationKind.REVISION_IN_FORCE, createEvidence())).to.equal(
      false,
    );
  });

  it('reports a revision that decreases within one process incarnation', () => {
    const sample = {process: 'entry-1', incarnation: 'x', atMs: 0};
    const revisions = [
      {...sample, revision: 7},
      {...sample, revision: 6},
    ];
    const evidence = createEvidence({revisions});
    expect(isMet(ExpectationKind.REVISIONS_FALLEN, evidence)).to.equal(false);
  });
});
