/** One run of a task at the agent, and the state chart of its life cycle. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {RunEndCause} from '../core/work_frames.js';
import type {RunOrder} from '../core/work_frames.js';

/** States of `charts/target_run.yaml`. */
export enum RunState {
  QUEUED = 'queued',
  STARTING = 'starting',
  RUNNING = 'running',
  REVOKING = 'revoking',
  SEVERED = 'severed',
  UNCERTAIN = 'uncertain',
  STOPPING = 'stopping',
  ENDED = 'ended',
}

/** Events of `charts/target_run.yaml`. */
export enum RunEvent {
  CAPACITY_FREE = 'room',
  ACCEPTED = 'accepted',
  REJECTED = 'rejected',
  UNANSWERED = 'unanswered',
  BROKEN = 'broken',
  LISTED = 'listed',
  END_LISTED = 'endListed',
  ABSENT = 'absent',
  STOP = 'stop',
  STOP_ANSWERED = 'stopAnswered',
  STOP_UNANSWERED = 'stopUnanswered',
  EXPIRED = 'expired',
  TARGET_LOST = 'targetLost',
  FENCED = 'fenced',
}

/** Actions of `charts/target_run.yaml`. */
export enum RunAction {
  SEND_START = 'sendStart',
  SEND_STOP = 'sendStop',
  REPORT_STARTED = 'reportStarted',
  REPORT_NOT_STARTED = 'reportNotStarted',
  REPORT_STOPPED = 'reportStopped',
  REPORT_LOST = 'reportLost',
  REPORT_END = 'reportEnd',
}

/** State chart of a run. */
export const RUN_CHART = Chart.create<RunState, RunEvent>(
  readChart('target_run'),
  {
    states: RunState,
    events: RunEvent,
    actions: Object.values(RunAction),
  },
);

/**
 * Time in milliseconds from the start of a suspect task in which no other run
 * starts, so that a crash soon after its start has one explanation.
 */
const ISOLATION_MS = 250;

/** A run that the agent holds; owned and changed only by the run registry. */
export interface HeldRun {
  readonly order: RunOrder;
  /** Incarnation of the entry that receives its reports; empty for an orphan. */
  owner: string;
  state: RunState;
  /** Monotonic time in milliseconds by which it should start; orders the queue. */
  readonly startByMs: number;
  /** Monotonic time in milliseconds at which it expires if still queued. */
  readonly expiresAtMs: number;
  /** Why the run was stopped or not started. */
  cause: RunEndCause;
  /** Monotonic times in milliseconds; 0 before the event. */
  startSentAtMs: number;
  acceptedAtMs: number;
  stopAnsweredAtMs: number;
  /** Monotonic time in milliseconds at which its stop began; undefined before. */
  stoppingSinceMs: number | undefined;
  /** Progress in percent as last listed, and when it last increased. */
  percent: number;
  advancedAtMs: number;
  /** Monotonic time in milliseconds since which it has no owner; 0 with an owner. */
  orphanedAtMs: number;
  /** Whether no other run may start on the target while this one occupies it. */
  isIsolated: boolean;
  /**
   * Monotonic time in milliseconds at which it first could not start as the first of
   * the queue; only with a plan of starts.
   */
  blockedSinceMs: number | undefined;
  /** Whether it has waited for capacity. */
  isReservation: boolean;
}

/** Creates a run that waits for capacity. */
export function createHeldRun(
  order: RunOrder,
  owner: string,
  nowMs: number,
): HeldRun {
  return {
    order,
    owner,
    state: RUN_CHART.initial,
    startByMs: nowMs + order.slackMs,
    expiresAtMs: nowMs + order.patienceMs,
    cause: RunEndCause.NONE,
    startSentAtMs: 0,
    acceptedAtMs: 0,
    stopAnsweredAtMs: 0,
    stoppingSinceMs: undefined,
    percent: 0,
    advancedAtMs: nowMs,
    orphanedAtMs: 0,
    isIsolated: order.suspicion !== undefined,
    blockedSinceMs: undefined,
    isReservation: false,
  };
}

/** Records that a run has been without its owner since a time. */
export function markOrphaned(run: HeldRun, sinceMs: number): void {
  run.orphanedAtMs ||= sinceMs;
}

/** Records when an event of a run happened, and why. */
export function recordEvent(
  run: HeldRun,
  event: RunEvent,
  cause: RunEndCause,
  nowMs: number,
): void {
  run.cause = cause;
  if (event === RunEvent.ACCEPTED) run.acceptedAtMs = nowMs;
  if (event === RunEvent.STOP_ANSWERED) run.stopAnsweredAtMs = nowMs;
}

/** Sets the state of a run, and records when its stop began. */
export function setState(run: HeldRun, state: RunState, nowMs: number): void {
  run.state = state;
  const isStopping = state === RunState.REVOKING || state === RunState.SEVERED;
  if (isStopping) run.stoppingSinceMs ??= nowMs;
}

/**
 * Time in milliseconds in which the stop of a run without an owner has to take
 * effect. The owner counts on the end of the lease once it has run out, see
 * `RUN_EXPIRY_MS`, which leaves room for a late check.
 */
const ORPHAN_STOP_TIMEOUT_MS = 180;

/**
 * Returns whether a run has outlived its owner: only the end of the lease ends it.
 *
 * @param contactEndMs Time at which the contact with its owner ends, or has ended.
 */
export function isOutlivingOwner(
  run: HeldRun,
  contactEndMs: number,
  nowMs: number,
): boolean {
  const {orphanedAtMs} = run;
  // Not every message is preceded by a check that has marked the run.
  const sinceMs = orphanedAtMs > 0 ? orphanedAtMs : contactEndMs;
  return isOccupying(run) && nowMs - sinceMs > ORPHAN_STOP_TIMEOUT_MS;
}

/** Time in milliseconds after which an order is certainly not carried out any more. */
const MAX_ORDER_DELAY_MS = 15_000;

/** Returns whether the wait of a run is over: for capacity, or for its order's fate. */
export function isExpired(run: HeldRun, nowMs: number): boolean {
  if (run.state === RunState.QUEUED) return nowMs >= run.expiresAtMs;
  const orderAgeMs = nowMs - run.startSentAtMs;
  return run.state === RunState.UNCERTAIN && orderAgeMs > MAX_ORDER_DELAY_MS;
}

/**
 * Returns whether a list without the run shows that it is over.
 *
 * @param requestedAtMs Time at which the list was requested.
 */
export function isOverIfAbsent(run: HeldRun, requestedAtMs: number): boolean {
  const {state, acceptedAtMs, stopAnsweredAtMs} = run;
  if (state === RunState.RUNNING) return requestedAtMs > acceptedAtMs;
  return state === RunState.STOPPING && requestedAtMs > stopAnsweredAtMs;
}

/** Returns the key of a run in the registry. */
export function formatRunKey(task: string, run: number): string {
  return `${task}#${run}`;
}

/** Returns whether the run occupies capacity of the target. */
export function isOccupying(run: HeldRun): boolean {
  return run.state !== RunState.QUEUED && run.state !== RunState.ENDED;
}

/** Returns whether no other run may start on the target. */
export function isIsolating(run: HeldRun): boolean {
  return run.isIsolated && isOccupying(run);
}

/** Ends the isolation of a run once its time is over. */
export function endIsolation(run: HeldRun, nowMs: number): void {
  if (!isOccupying(run)) return;
  if (nowMs - run.startSentAtMs >= ISOLATION_MS) run.isIsolated = false;
}

/** Returns the time in milliseconds in which the run lets no other run start. */
export function computeIsolationRest(run: HeldRun, nowMs: number): number {
  if (!isIsolating(run)) return 0;
  return Math.max(0, run.startSentAtMs + ISOLATION_MS - nowMs);
}
