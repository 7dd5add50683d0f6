/** A job in progress at the entry that owns it. */
import {
  computeCriticalPath,
  computeTiming,
} from '../../decisions/job_timing.js';
import type {JobTiming} from '../../decisions/job_timing.js';
import type {ExpectedWork} from '../../decisions/work_forecast.js';
import {RunEnd, RunEndCause} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';
import type {QueueRule} from '../../core/fleet_configuration.js';
import type {LineFields} from '../../observe/request_log.js';
import {formatTaskName, JobEnd} from '../../core/work_job.js';
import type {
  JobAnswer,
  JobReason,
  JobRequest,
  StepSpec,
} from '../../core/work_job.js';
import type {RunOverProof} from './run_status_change.js';
import {
  JOB_CHART,
  JobEvent,
  JobState,
  TASK_CHART,
  TaskState,
} from './work_charts.js';

/** Sends a caller the answer to its job. */
export type AnswerCaller = (answer: JobAnswer) => void;

/** A task of a job in progress. Changed only by the scheduler, which owns it. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly name: string;
  readonly step: number;
  readonly spec: StepSpec;
  state: TaskState;
  /** Number of the latest run. */
  run: number;
  /** Number of failed runs. */
  failures: number;
  /** Incarnation of the agent that holds the latest run; empty before the first. */
  agent: string;
  /** Monotonic time at which the latest run was ordered, in milliseconds. */
  placedAtMs: number;
  /** Sequence number of the latest order. */
  sequence: number;
  /** Whether the latest order waits for capacity that it has reserved. */
  isReserved: boolean;
  /** Incarnations of targets on which a run failed or from which it was recalled. */
  readonly excluded: Set<string>;
  /** Incarnations of targets whose crashes were counted at the latest of them. */
  crashedLives: readonly string[];
}

/** A completed run. */
export interface LastRun {
  readonly task: string;
  /** Name of the agent that held it. */
  readonly agent: string;
  /** Time from start to end as measured by its agent, in milliseconds. */
  readonly durationMs: number;
}

/** A job in progress. Changed only by the scheduler, which owns it. */
export interface ActiveJob {
  readonly request: JobRequest;
  readonly rule: QueueRule;
  readonly timing: JobTiming;
  readonly expected: ExpectedWork;
  /** Longest run of a task so far, scaled to a typical target, in milliseconds. */
  longestRunMs: number;
  /** The run completed last, logged to show what a late job waited for. */
  lastRun: LastRun | undefined;
  readonly tasks: ActiveTask[];
  /** Callers that wait for the answer, by number. */
  readonly callers: Map<number, AnswerCaller>;
  state: JobState;
  /** Whether an order of it may have been sent to a target. */
  mayHaveRun: boolean;
  /** Number of tasks that are not done. */
  remainingTasks: number;
}

/** Creates a job from a request, its estimates scaled to the forecast run time. */
export function createActiveJob(
  request: JobRequest,
  rule: QueueRule,
  expected: ExpectedWork,
  nowMs: number,
): ActiveJob {
  const factor =
    expected.runMs / Math.max(1, computeCriticalPath(request.steps));
  const steps = request.steps.map(step => ({
    ...step,
    estimateMs: step.estimateMs * factor,
  }));
  const {deadlineMs} = request;
  const job: ActiveJob = {
    request,
    rule,
    timing: computeTiming(steps, rule, nowMs, deadlineMs, expected.elapsedMs),
    expected,
    longestRunMs: 0,
    lastRun: undefined,
    tasks: [],
    callers: new Map(),
    state: JOB_CHART.initial,
    mayHaveRun: false,
    remainingTasks: 0,
  };
  steps.forEach((spec, step) => {
    for (let index = 0; index < spec.count; index += 1) {
      job.tasks.push({
        job,
        name: formatTaskName(request.job, step, index),
        step,
        spec,
        state: TASK_CHART.initial,
        run: 0,
        failures: 0,
        agent: '',
        placedAtMs: 0,
        sequence: 0,
        isReserved: false,
        excluded: new Set(),
        crashedLives: [],
      });
    }
  });
  job.remainingTasks = job.tasks.length;
  return job;
}

/**
 * Returns whether the queue allows another run of the task. Without a known number
 * of attempts, it allows one.
 *
 * @param ahead Number of runs that are assumed to fail before.
 */
export function hasAttempts({failures, job}: ActiveTask, ahead = 0): boolean {
  return failures + ahead < (job.rule.attemptsAtMost ?? 1);
}

/** Records the run completed last, with its duration scaled to a typical target. */
export function recordLastRun(
  job: ActiveJob,
  {agent}: {readonly agent: string},
  {task, durationMs}: RunEndReport,
  scaledMs: number,
): void {
  job.longestRunMs = Math.max(job.longestRunMs, scaledMs);
  job.lastRun = {task, agent, durationMs};
}

/**
 * Records that an order of a job is over. A job whose orders were all returned by agents
 * without capacity has not run and waits again: it must not be taken for a started one,
 * which is kept until its deadline however late it is.
 */
export function recordOrderEnd(
  job: ActiveJob,
  {end, cause}: Pick<RunEndReport, 'end' | 'cause'>,
): void {
  const isReturned =
    end === RunEnd.NOT_STARTED && cause === RunEndCause.NO_CAPACITY;
  if (!isReturned) job.mayHaveRun = true;
  if (job.mayHaveRun || job.state !== JobState.RUNNING) return;
  const isWaiting = ({state}: ActiveTask) =>
    state === TaskState.WAITING || state === TaskState.BLOCKED;
  if (!job.tasks.every(isWaiting)) return;
  job.state = JOB_CHART.step(job.state, JobEvent.RETURNED).state;
}

/** Lists the blocked tasks whose earlier steps are all done. */
export function listUnblocked(job: ActiveJob): ActiveTask[] {
  const unfinishedSteps = new Set<number>();
  const blocked: ActiveTask[] = [];
  for (const task of job.tasks) {
    if (task.state !== TaskState.DONE) unfinishedSteps.add(task.step);
    if (task.state === TaskState.BLOCKED) blocked.push(task);
  }
  // Judged once a step: a step has up to 10,000 tasks that follow the same ones.
  const unblockedSteps = new Set(
    [...new Map(blocked.map(({step, spec}) => [step, spec]))]
      .filter(([, {after}]) => after.every(step => !unfinishedSteps.has(step)))
      .map(([step]) => step),
  );
  return blocked.filter(({step}) => unblockedSteps.has(step));
}

/** Maximum number of tasks that the log names as the cause of a failed job. */
const MAX_NAMED_TASKS = 4;

function countLosses({failures, crashedLives}: ActiveTask): number {
  return failures + crashedLives.length;
}

function describeFailure({state, tasks, rule}: ActiveJob): LineFields {
  const isCrashed = tasks.some(({crashedLives}) => crashedLives.length > 0);
  if (state !== JobState.FAILED && !isCrashed) return {};
  const causes = tasks.filter(task => countLosses(task) > 0);
  causes.sort((a, b) => countLosses(b) - countLosses(a));
  return {
    attemptsAtMost: rule.attemptsAtMost,
    failedTasks: causes
      .slice(0, MAX_NAMED_TASKS)
      .map(({name, run, failures, crashedLives}) => ({
        task: name,
        run,
        failures,
        crashedLives,
      })),
  };
}

/** Creates the answer to an unfinished job: refused only if no part of it can have run. */
export function createUnfinishedAnswer(
  {state, expected}: ActiveJob,
  reason: JobReason,
  retryAfterMs: number,
): JobAnswer {
  const isUnstarted = state === JobState.WAITING && !expected.mayBeRepeat;
  const end = isUnstarted ? JobEnd.REFUSED : JobEnd.ABANDONED;
  return {end, reason, retryAfterMs};
}

/** Builds the log fields for what is expected of an admitted job. */
export function describeExpectation({
  request,
  timing,
  tasks,
  expected,
}: ActiveJob): LineFields {
  return {
    tasks: tasks.length,
    objectiveMs: Math.round(timing.objectiveMs),
    runMs: Math.round(expected.runMs),
    elapsedMs: Math.round(expected.elapsedMs),
    mayBeRepeat: expected.mayBeRepeat || undefined,
    deadlineMs: request.deadlineMs,
  };
}

/** Builds the log fields for the end of a job. */
export function describeEnd(
  job: ActiveJob,
  tookMs: number,
  reason?: JobReason,
): LineFields {
  const {state, timing, lastRun} = job;
  return {
    state,
    reason,
    tookMs: Math.round(tookMs),
    objectiveMs: Math.round(timing.objectiveMs),
    lastTask: lastRun?.task,
    lastAgent: lastRun?.agent,
    lastRunMs: lastRun?.durationMs,
    ...describeFailure(job),
  };
}

/** Describes the latest run of a task, and why it is over, for the log. */
export function describeReturn(
  {name, run, agent}: ActiveTask,
  proof: RunOverProof,
): LineFields {
  return {task: name, run, agentLife: agent, proof};
}

/** Describes a job in each of its log lines. */
export function describeJob({
  request,
  rule,
}: Pick<ActiveJob, 'request' | 'rule'>): LineFields {
  const {job, request: id} = request;
  return {job, request: id, queue: rule.name};
}
