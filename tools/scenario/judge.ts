/** Evaluates the expectations of a scenario against the evidence of a run. */
import {ExpectationKind} from './definition.js';
import type {Expectation} from './definition.js';
import type {Change, Evidence, RecordedStart, Submission} from './evidence.js';
import {
  findDuplicates,
  findFalseDidNotRun,
  findForeignResults,
  findLateStarts,
  findPartialAnswers,
  isComplete,
} from './violations.js';

/** Result of checking one expectation. */
export interface Verdict {
  readonly expectation: ExpectationKind;
  readonly isMet: boolean;
  /** Measured value, with the first violations if there are any. */
  readonly found: string;
}

type Judge = (expectation: Expectation, evidence: Evidence) => Verdict;

const MAX_VIOLATIONS_SHOWN = 3;

/** Returns one verdict for each expectation, in order. */
export function judgeEvidence(
  expectations: readonly Expectation[],
  evidence: Evidence,
): Verdict[] {
  return expectations.map(expectation =>
    JUDGES[expectation.kind](expectation, evidence),
  );
}

const JUDGES: Readonly<Record<ExpectationKind, Judge>> = {
  [ExpectationKind.DUPLICATE_STARTS]: (expectation, evidence) =>
    judgeList(expectation, findDuplicates(evidence.starts)),
  [ExpectationKind.PARTIAL_ANSWERS]: (expectation, evidence) =>
    judgeList(
      expectation,
      findPartialAnswers(evidence.submissions).map(formatSubmission),
    ),
  [ExpectationKind.MIXED_ANSWERS]: (expectation, evidence) =>
    judgeList(
      expectation,
      evidence.submissions
        .filter(submission => findForeignResults(submission).length > 0)
        .map(formatSubmission),
    ),
  [ExpectationKind.FALSE_DID_NOT_RUN]: (expectation, evidence) =>
    judgeList(expectation, findFalseDidNotRun(evidence).map(formatSubmission)),
  [ExpectationKind.CUT_REQUESTS]: (expectation, evidence) =>
    judgeList(
      expectation,
      selectGroup(expectation, evidence)
        .filter(submission => submission.isCut)
        .map(formatSubmission),
    ),
  [ExpectationKind.LIMIT_VIOLATIONS]: (expectation, evidence) => ({
    expectation: expectation.kind,
    isMet: evidence.limitViolations <= expectation.atMost,
    found: String(evidence.limitViolations),
  }),
  [ExpectationKind.REVISIONS_FALLEN]: judgeRevisions,
  [ExpectationKind.ANSWERED_SHARE_AT_LEAST]: judgeShare,
  [ExpectationKind.STARTS_IN_DATA_CENTRE]: (expectation, evidence) =>
    judgeLateStarts(expectation, evidence, start => start.dataCentre),
  [ExpectationKind.STARTS_AT_LEFT_TARGET]: (expectation, evidence) =>
    judgeLateStarts(expectation, addRefusals(evidence), start => start.target),
  [ExpectationKind.REVISION_IN_FORCE]: judgeInForce,
  [ExpectationKind.OUTCOME]: judgeOutcome,
  [ExpectationKind.ANSWERS_WITH]: judgeAnswersWith,
  [ExpectationKind.SAME_ANSWER]: judgeSameAnswer,
  [ExpectationKind.STARTS]: judgeStarts,
  [ExpectationKind.RATE_KEPT]: judgeRate,
};

function judgeList(
  expectation: Expectation,
  violations: readonly string[],
): Verdict {
  const shown = violations.slice(0, MAX_VIOLATIONS_SHOWN).join(', ');
  return {
    expectation: expectation.kind,
    isMet: violations.length <= expectation.atMost,
    found: violations.length === 0 ? '0' : `${violations.length}: ${shown}`,
  };
}

function judgeShare(expectation: Expectation, evidence: Evidence): Verdict {
  const jobs = new Map<string, boolean>();
  for (const submission of selectGroup(expectation, evidence)) {
    const before = jobs.get(submission.job) ?? false;
    jobs.set(submission.job, before || isComplete(submission));
  }
  const complete = [...jobs.values()].filter(isAnswered => isAnswered).length;
  const share = jobs.size === 0 ? 0 : complete / jobs.size;
  return {
    expectation: expectation.kind,
    isMet: share >= expectation.atLeast,
    found: `${complete} of ${jobs.size} jobs complete, expected a share of at least ${expectation.atLeast}`,
  };
}

function judgeLateStarts(
  expectation: Expectation,
  evidence: Evidence,
  readLocation: (start: RecordedStart) => string,
): Verdict {
  const change = findChange(expectation, evidence);
  if (change === undefined) return rejectChange(expectation);
  // An expectation is not met if the run ended before the window began.
  const observedMs =
    evidence.endedAtMs - change.acceptedAtMs - expectation.afterMs;
  const late = findLateStarts(
    change,
    expectation.afterMs,
    evidence,
    readLocation,
  );
  const verdict = judgeList(
    expectation,
    late.map(
      start =>
        `${start.taskId} at ${start.target} ` +
        `${Math.round(start.startedAtMs - change.acceptedAtMs)} ms after`,
    ),
  );
  return {
    ...verdict,
    isMet: verdict.isMet && observedMs > 0,
    found: `${verdict.found} (observed for ${Math.round(observedMs)} ms)`,
  };
}

/** Counts tasks that a target refused as tasks that it received. */
function addRefusals(evidence: Evidence): Evidence {
  const received = evidence.refusals.map(({target, atMs}) => ({
    taskId: 'refused',
    target,
    dataCentre: '',
    instance: '',
    startedAtMs: atMs,
  }));
  return {...evidence, starts: [...evidence.starts, ...received]};
}

function judgeInForce(expectation: Expectation, evidence: Evidence): Verdict {
  const change = findChange(expectation, evidence);
  if (change === undefined) return rejectChange(expectation);
  const elapsedMs = change.inForceAtMs - change.acceptedAtMs;
  return {
    expectation: expectation.kind,
    isMet: elapsedMs <= expectation.withinMs,
    found: `revision ${change.revision} in force after ${Math.round(elapsedMs)} ms`,
  };
}

function judgeRevisions(expectation: Expectation, evidence: Evidence): Verdict {
  const highest = new Map<string, number>();
  const fallen: string[] = [];
  for (const sample of evidence.revisions) {
    const incarnation = `${sample.process}/${sample.incarnation}`;
    const before = highest.get(incarnation) ?? 0;
    if (sample.revision < before) {
      fallen.push(`${incarnation} from ${before} to ${sample.revision}`);
    }
    highest.set(incarnation, Math.max(before, sample.revision));
  }
  return judgeList(expectation, fallen);
}

function listAnswerCodes(submission: Submission): string[] {
  const body = submission.answer?.body;
  return [body?.outcome ?? 'no-answer', body?.code ?? ''];
}

function judgeAnswersWith(
  expectation: Expectation,
  evidence: Evidence,
): Verdict {
  const count = selectGroup(expectation, evidence).filter(submission =>
    listAnswerCodes(submission).some(code => expectation.oneOf.includes(code)),
  ).length;
  return {
    expectation: expectation.kind,
    isMet: count >= expectation.atLeast,
    found: `${count} answers with ${expectation.oneOf.join(', ')}, expected at least ${expectation.atLeast}`,
  };
}

function judgeOutcome(expectation: Expectation, evidence: Evidence): Verdict {
  const wrong = selectNamed(expectation, evidence).flatMap(submission => {
    const codes = listAnswerCodes(submission);
    return codes.some(code => expectation.oneOf.includes(code))
      ? []
      : [`${submission.name} was answered ${codes.join(' ')}`];
  });
  const verdict = judgeList(expectation, wrong);
  const isFound = selectNamed(expectation, evidence).length > 0;
  return {...verdict, isMet: verdict.isMet && isFound};
}

function judgeSameAnswer(
  expectation: Expectation,
  evidence: Evidence,
): Verdict {
  const answers = selectNamed(expectation, evidence).map(submission =>
    JSON.stringify(submission.answer?.body?.results),
  );
  const isSame =
    answers.length === expectation.of.length &&
    answers.every(text => text !== undefined && text === answers[0]);
  return {
    expectation: expectation.kind,
    isMet: isSame,
    found: `${new Set(answers).size} distinct answers out of ${answers.length}`,
  };
}

function judgeStarts(expectation: Expectation, evidence: Evidence): Verdict {
  const ids = new Set(
    selectNamed(expectation, evidence).flatMap(submission => [
      ...submission.taskIds,
    ]),
  );
  const count = evidence.starts.filter(start => ids.has(start.taskId)).length;
  return {
    expectation: expectation.kind,
    isMet: count >= expectation.atLeast && count <= expectation.atMost,
    found: `${count} starts, expected ${expectation.atLeast} to ${expectation.atMost}`,
  };
}

/** Compares the rate of answered jobs after a change with the rate before it. */
function judgeRate(expectation: Expectation, evidence: Evidence): Verdict {
  const change = findChange(expectation, evidence);
  if (change === undefined) return rejectChange(expectation);
  const complete = selectGroup(expectation, evidence).filter(isComplete);
  const endTimes = complete.map(submission => submission.endedAtMs);
  const firstMs = Math.min(...endTimes);
  const changeMs = change.acceptedAtMs;
  const lastMs = Math.min(changeMs + expectation.withinMs, evidence.endedAtMs);
  const before = countRate(endTimes, firstMs, changeMs);
  const after = countRate(endTimes, changeMs, lastMs);
  return {
    expectation: expectation.kind,
    isMet: before > 0 && after >= expectation.atLeast * before,
    found: `${after.toFixed(1)} jobs/s after, ${before.toFixed(1)} before`,
  };
}

function countRate(times: readonly number[], from: number, to: number): number {
  const count = times.filter(time => time >= from && time < to).length;
  return to > from ? (count * 1000) / (to - from) : 0;
}

function rejectChange(expectation: Expectation): Verdict {
  return {
    expectation: expectation.kind,
    isMet: false,
    found: `unknown or unaccepted change "${expectation.change}"`,
  };
}

function findChange(
  expectation: Expectation,
  evidence: Evidence,
): Change | undefined {
  return evidence.changes.find(change => change.name === expectation.change);
}

function selectGroup(
  expectation: Expectation,
  evidence: Evidence,
): Submission[] {
  return evidence.submissions.filter(
    submission =>
      expectation.of.length === 0 || expectation.of.includes(submission.group),
  );
}

function selectNamed(
  expectation: Expectation,
  evidence: Evidence,
): Submission[] {
  return evidence.submissions.filter(({name}) => expectation.of.includes(name));
}

function formatSubmission(submission: Submission): string {
  const {answer, failure, name, via} = submission;
  const result = answer?.body?.code ?? answer?.body?.outcome ?? failure;
  return `${name} via ${via} (${result})`;
}
