/** Admission control: admits or refuses a job, or sheds cheaper jobs for it. */
import {Problem} from '../core/job.js';
import type {FairQueue, UnstartedJob} from './fair_queue.js';

/** Results of a submission. */
export enum AdmissionKind {
  ADMIT = 'admit',
  /** Admit the job after shedding cheaper ones that have not started. */
  SHED_THEN_ADMIT = 'shed-then-admit',
  REFUSE = 'refuse',
}

/** Decision on a submission. */
export type Admission =
  | {readonly kind: AdmissionKind.ADMIT}
  | {readonly kind: AdmissionKind.SHED_THEN_ADMIT; readonly tasksToShed: number}
  | {
      readonly kind: AdmissionKind.REFUSE;
      readonly problem: Problem;
      readonly detail: string;
      /** Absent if a retry cannot succeed. */
      readonly retryAfterMs?: number;
    };

/** A job that is to be admitted. */
export interface AdmissionRequest {
  readonly tasks: number;
  /** Sum of the expected run times of the tasks in milliseconds. */
  readonly workMs: number;
  /** Longest expected run time of a task in milliseconds. */
  readonly longestMs: number;
  readonly deadlineMs: number;
  /** Value per millisecond of work. */
  readonly density: number;
  /** Work in milliseconds that is served before the job; see `FairQueue.sumWorkAhead`. */
  readonly workAheadMs: number;
}

/** State of the entry that decides. */
export interface AdmissionState {
  /** Total slots of the usable agents. */
  readonly slots: number;
  /** Expected work in milliseconds that this entry's share of the fleet performs per millisecond. */
  readonly workPerMs: number;
  readonly waitingTasks: number;
  readonly waitingTasksAtMost: number;
  readonly jobs: number;
  readonly jobsAtMost: number;
  readonly tasksPerJob: number;
  readonly cheapest: UnstartedJob | undefined;
}

/** Bounds in milliseconds of the advised retry delay. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 10_000;

/** Share of the expected run time that is certain enough to base a refusal on. */
const CERTAIN_SHARE = 0.5;

/** Advised retry delay in milliseconds while the targets in service do not suffice. */
const MORE_TARGETS_RETRY_MS = 2000;

/**
 * Factor on the waiting work that allows for tasks that run longer than
 * expected: of the jobs admitted without it, one in six was still waiting when
 * its deadline passed.
 */
const BACKLOG_MARGIN = 1.3;

/** Factor by which a job has to be worth more than one that is shed for it. */
const SHED_MARGIN = 1.2;

/** Decides whether to admit a job. */
export function decideAdmission(
  request: AdmissionRequest,
  state: AdmissionState,
): Admission {
  return (
    refuseInfeasible(request, state) ??
    refuseLate(request, state) ??
    decideCapacity(request, state)
  );
}

/** Returns the shortest time in milliseconds in which a job can end on an idle fleet. */
export function computeIdealMs(
  workMs: number,
  longestMs: number,
  workPerMs: number,
): number {
  return Math.max(longestMs, workMs / Math.max(1e-9, workPerMs));
}

/**
 * Returns whether the deadline of a job that has not started is unreachable, so
 * that the job should be refused rather than started.
 */
export function isInfeasible(
  nowMs: number,
  deadlineAtMs: number,
  idealMs: number,
): boolean {
  return nowMs + CERTAIN_SHARE * idealMs > deadlineAtMs;
}

/**
 * Sheds the cheapest jobs that have not started until `tasks` tasks are removed
 * or the remaining jobs are worth as much as the new one. Returns the removed
 * jobs; the owner answers their callers that they did not run.
 */
export function dropCheapJobs(
  queue: FairQueue,
  density: number,
  tasks: number,
): string[] {
  const shed: string[] = [];
  let remaining = tasks;
  while (remaining > 0) {
    const cheapest = queue.findCheapest();
    if (!isWorthMore(density, cheapest)) break;
    remaining -= queue.removeJob(cheapest.job);
    shed.push(cheapest.job);
  }
  return shed;
}

function isWorthMore(
  density: number,
  cheapest: UnstartedJob | undefined,
): cheapest is UnstartedJob {
  return cheapest !== undefined && density > cheapest.density * SHED_MARGIN;
}

function refuseInfeasible(
  request: AdmissionRequest,
  state: AdmissionState,
): Admission | undefined {
  if (request.tasks > state.tasksPerJob) {
    const detail = `A job has at most ${state.tasksPerJob} tasks; this one has ${request.tasks}.`;
    return refuse(Problem.CANNOT_RUN, detail);
  }
  if (state.slots === 0) {
    const detail = 'No target in service can take tasks.';
    return refuse(Problem.NO_TARGETS, detail, MORE_TARGETS_RETRY_MS);
  }
  const leastMs = computeLeastMs(request, state);
  if (leastMs > request.deadlineMs) {
    const detail = `The job needs at least ${Math.ceil(leastMs)} ms of ${request.deadlineMs} ms, even on idle targets.`;
    // No number of targets makes one task shorter.
    const isForGood = computeCertainMs(request) > request.deadlineMs;
    const retryAfterMs = isForGood ? undefined : MORE_TARGETS_RETRY_MS;
    return refuse(Problem.DEADLINE_UNREACHABLE, detail, retryAfterMs);
  }
  return undefined;
}

function refuseLate(
  request: AdmissionRequest,
  state: AdmissionState,
): Admission | undefined {
  const delayMs = request.workAheadMs / Math.max(1e-9, state.workPerMs);
  const startMs = delayMs * BACKLOG_MARGIN;
  const lateMs = startMs + computeLeastMs(request, state) - request.deadlineMs;
  if (lateMs <= 0) return undefined;
  const detail = `The work that waits would make the answer ${Math.ceil(lateMs)} ms late.`;
  return refuse(Problem.DEADLINE_UNREACHABLE, detail, lateMs);
}

function decideCapacity(
  request: AdmissionRequest,
  state: AdmissionState,
): Admission {
  const excess = state.waitingTasks + request.tasks - state.waitingTasksAtMost;
  const isFull = state.jobs >= state.jobsAtMost;
  if (excess <= 0 && !isFull) return {kind: AdmissionKind.ADMIT};
  const {cheapest} = state;
  const isWithinLimit = request.tasks <= state.waitingTasksAtMost;
  if (isWithinLimit && isWorthMore(request.density, cheapest)) {
    const tasksToShed = Math.max(excess, isFull ? cheapest.tasks : 0);
    return {kind: AdmissionKind.SHED_THEN_ADMIT, tasksToShed};
  }
  const retryAfterMs = excess / Math.max(1e-9, state.workPerMs);
  const detail = `${state.waitingTasks} tasks of ${state.jobs} jobs are in hand already.`;
  return refuse(Problem.OVERLOADED, detail, retryAfterMs);
}

function computeLeastMs(
  request: AdmissionRequest,
  state: AdmissionState,
): number {
  const certainMs = computeCertainMs(request);
  return computeIdealMs(request.workMs, certainMs, state.workPerMs);
}

function computeCertainMs({longestMs}: AdmissionRequest): number {
  return longestMs * CERTAIN_SHARE;
}

function refuse(
  problem: Problem,
  detail: string,
  retryAfterMs?: number,
): Admission {
  const refusal = {kind: AdmissionKind.REFUSE, problem, detail} as const;
  if (retryAfterMs === undefined) return refusal;
  const bounded = Math.max(MIN_RETRY_MS, retryAfterMs);
  return {
    ...refusal,
    retryAfterMs: Math.ceil(Math.min(MAX_RETRY_MS, bounded)),
  };
}
