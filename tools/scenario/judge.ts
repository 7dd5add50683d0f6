/** Decides whether the evidence of a run meets the expectations. */
import {ExpectationKind} from './definition.js';
import type {Expectation} from './definition.js';
import type {Change, Evidence, RecordedStart, Submission} from './evidence.js';
import {
  findDuplicates,
  findFalseDidNotRun,
  findForeign,
  findLateStarts,
  findPartial,
  isWhole,
} from './findings.js';

/** The verdict on one expectation. */
export interface Verdict {
  readonly expectation: ExpectationKind;
  readonly isMet: boolean;
  /** What was measured, with the first offenders if there are any. */
  readonly found: string;
}

type Judge = (expectation: Expectation, evidence: Evidence) => Verdict;

const OFFENDERS_SHOWN = 3;

/** Judges every expectation. */
export function judgeEvidence(
  expectations: readonly Expectation[],
  evidence: Evidence,
): Verdict[] {
  return expectations.map(line => JUDGES[line.kind](line, evidence));
}

const JUDGES: Readonly<Record<ExpectationKind, Judge>> = {
  [ExpectationKind.DUPLICATE_STARTS]: (line, evidence) =>
    judgeList(line, findDuplicates(evidence.starts)),
  [ExpectationKind.PARTIAL_ANSWERS]: (line, evidence) =>
    judgeList(line, findPartial(evidence.submissions).map(formatSubmission)),
  [ExpectationKind.MIXED_ANSWERS]: (line, evidence) =>
    judgeList(
      line,
      evidence.submissions
        .filter(submission => findForeign(submission).length > 0)
        .map(formatSubmission),
    ),
  [ExpectationKind.FALSE_DID_NOT_RUN]: (line, evidence) =>
    judgeList(line, findFalseDidNotRun(evidence).map(formatSubmission)),
  [ExpectationKind.CUT_REQUESTS]: (line, evidence) =>
    judgeList(
      line,
      selectGroup(line, evidence)
        .filter(submission => submission.isCut)
        .map(formatSubmission),
    ),
  [ExpectationKind.LIMIT_VIOLATIONS]: (line, evidence) => ({
    expectation: line.kind,
    isMet: evidence.limitViolations <= line.atMost,
    found: String(evidence.limitViolations),
  }),
  [ExpectationKind.REVISIONS_FALLEN]: judgeRevisions,
  [ExpectationKind.ANSWERED_SHARE_AT_LEAST]: judgeShare,
  [ExpectationKind.STARTS_IN_DATA_CENTRE]: (line, evidence) =>
    judgeLateStarts(line, evidence, start => start.dataCentre),
  [ExpectationKind.STARTS_AT_LEFT_TARGET]: (line, evidence) =>
    judgeLateStarts(line, addRefusals(evidence), start => start.target),
  [ExpectationKind.REVISION_IN_FORCE]: judgeInForce,
  [ExpectationKind.OUTCOME]: judgeOutcome,
  [ExpectationKind.ANSWERS_WITH]: judgeAnswersWith,
  [ExpectationKind.SAME_ANSWER]: judgeSameAnswer,
  [ExpectationKind.STARTS]: judgeStarts,
  [ExpectationKind.RATE_KEPT]: judgeRate,
};

function judgeList(line: Expectation, offenders: readonly string[]): Verdict {
  const shown = offenders.slice(0, OFFENDERS_SHOWN).join(', ');
  return {
    expectation: line.kind,
    isMet: offenders.length <= line.atMost,
    found: offenders.length === 0 ? '0' : `${offenders.length}: ${shown}`,
  };
}

function judgeShare(line: Expectation, evidence: Evidence): Verdict {
  const jobs = new Map<string, boolean>();
  for (const submission of selectGroup(line, evidence)) {
    const before = jobs.get(submission.job) ?? false;
    jobs.set(submission.job, before || isWhole(submission));
  }
  const whole = [...jobs.values()].filter(isAnswered => isAnswered).length;
  const share = jobs.size === 0 ? 0 : whole / jobs.size;
  return {
    expectation: line.kind,
    isMet: share >= line.atLeast,
    found: `${whole} of ${jobs.size} jobs, at least ${line.atLeast} wanted`,
  };
}

function judgeLateStarts(
  line: Expectation,
  evidence: Evidence,
  readPlace: (start: RecordedStart) => string,
): Verdict {
  const change = findChange(line, evidence);
  if (change === undefined) return rejectChange(line);
  // A window that nobody watched proves nothing.
  const watchedMs = evidence.endedAtMs - change.acceptedAtMs - line.afterMs;
  const late = findLateStarts(change, line.afterMs, evidence, readPlace);
  const verdict = judgeList(
    line,
    late.map(
      start =>
        `${start.taskId} at ${start.target} ` +
        `${Math.round(start.startedAtMs - change.acceptedAtMs)} ms after`,
    ),
  );
  return {
    ...verdict,
    isMet: verdict.isMet && watchedMs > 0,
    found: `${verdict.found} (watched for ${Math.round(watchedMs)} ms)`,
  };
}

/** Counts work that a target had to refuse as work that it received. */
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

function judgeInForce(line: Expectation, evidence: Evidence): Verdict {
  const change = findChange(line, evidence);
  if (change === undefined) return rejectChange(line);
  const tookMs = change.inForceAtMs - change.acceptedAtMs;
  return {
    expectation: line.kind,
    isMet: tookMs <= line.withinMs,
    found: `revision ${change.revision} in force after ${Math.round(tookMs)} ms`,
  };
}

function judgeRevisions(line: Expectation, evidence: Evidence): Verdict {
  const highest = new Map<string, number>();
  const fallen: string[] = [];
  for (const sample of evidence.revisions) {
    const life = `${sample.process}/${sample.incarnation}`;
    const before = highest.get(life) ?? 0;
    if (sample.revision < before) {
      fallen.push(`${life} from ${before} to ${sample.revision}`);
    }
    highest.set(life, Math.max(before, sample.revision));
  }
  return judgeList(line, fallen);
}

function listSaid(submission: Submission): string[] {
  const body = submission.answer?.body;
  return [body?.outcome ?? 'no-answer', body?.code ?? ''];
}

function judgeAnswersWith(line: Expectation, evidence: Evidence): Verdict {
  const count = selectGroup(line, evidence).filter(submission =>
    listSaid(submission).some(word => line.oneOf.includes(word)),
  ).length;
  return {
    expectation: line.kind,
    isMet: count >= line.atLeast,
    found: `${count} of ${line.oneOf.join(', ')}, at least ${line.atLeast}`,
  };
}

function judgeOutcome(line: Expectation, evidence: Evidence): Verdict {
  const wrong = selectNamed(line, evidence).flatMap(submission => {
    const said = listSaid(submission);
    return said.some(word => line.oneOf.includes(word))
      ? []
      : [`${submission.name} said ${said.join(' ')}`];
  });
  const verdict = judgeList(line, wrong);
  const isFound = selectNamed(line, evidence).length > 0;
  return {...verdict, isMet: verdict.isMet && isFound};
}

function judgeSameAnswer(line: Expectation, evidence: Evidence): Verdict {
  const answers = selectNamed(line, evidence).map(submission =>
    JSON.stringify(submission.answer?.body?.results),
  );
  const isSame =
    answers.length === line.of.length &&
    answers.every(text => text !== undefined && text === answers[0]);
  return {
    expectation: line.kind,
    isMet: isSame,
    found: `${new Set(answers).size} different answers of ${answers.length}`,
  };
}

function judgeStarts(line: Expectation, evidence: Evidence): Verdict {
  const ids = new Set(
    selectNamed(line, evidence).flatMap(submission => [...submission.taskIds]),
  );
  const count = evidence.starts.filter(start => ids.has(start.taskId)).length;
  return {
    expectation: line.kind,
    isMet: count >= line.atLeast && count <= line.atMost,
    found: `${count} starts, from ${line.atLeast} to ${line.atMost} wanted`,
  };
}

/** Compares jobs answered a second after a change with those before it. */
function judgeRate(line: Expectation, evidence: Evidence): Verdict {
  const change = findChange(line, evidence);
  if (change === undefined) return rejectChange(line);
  const whole = selectGroup(line, evidence).filter(isWhole);
  const endings = whole.map(submission => submission.endedAtMs);
  const firstMs = Math.min(...endings);
  const turnMs = change.acceptedAtMs;
  const lastMs = Math.min(turnMs + line.withinMs, evidence.endedAtMs);
  const before = countRate(endings, firstMs, turnMs);
  const after = countRate(endings, turnMs, lastMs);
  return {
    expectation: line.kind,
    isMet: before > 0 && after >= line.atLeast * before,
    found: `${after.toFixed(1)} jobs/s after, ${before.toFixed(1)} before`,
  };
}

function countRate(times: readonly number[], from: number, to: number): number {
  const count = times.filter(time => time >= from && time < to).length;
  return to > from ? (count * 1000) / (to - from) : 0;
}

function rejectChange(line: Expectation): Verdict {
  return {
    expectation: line.kind,
    isMet: false,
    found: `no accepted change is named "${line.change}"`,
  };
}

function findChange(line: Expectation, evidence: Evidence): Change | undefined {
  return evidence.changes.find(change => change.name === line.change);
}

function selectGroup(line: Expectation, evidence: Evidence): Submission[] {
  return evidence.submissions.filter(
    submission => line.of.length === 0 || line.of.includes(submission.group),
  );
}

function selectNamed(line: Expectation, evidence: Evidence): Submission[] {
  return evidence.submissions.filter(({name}) => line.of.includes(name));
}

function formatSubmission(submission: Submission): string {
  const {answer, failure, name, via} = submission;
  const said = answer?.body?.code ?? answer?.body?.outcome ?? failure;
  return `${name} through ${via} (${said})`;
}
