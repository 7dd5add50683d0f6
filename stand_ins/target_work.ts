/**
 * Plans how the target stand-in runs a task: duration, status and body of the
 * reply.
 */

/** Kinds of work, as the field `do` of a payload names them. */
export enum WorkKind {
  SLEEP = 'sleep',
  ECHO = 'echo',
  FAIL = 'fail',
  HANG = 'hang',
  LARGE = 'large',
}

/** How the target behaves. Its presence at the agent is tracked by a chart. */
export enum TargetMode {
  NORMAL = 'normal',
  /** Starts every task and replies with an error at once. */
  FAIL_ALL = 'fail-all',
  /** Starts every task and never replies. */
  HANG = 'hang',
  /** Takes `factor` times as long for each task. */
  SLOW = 'slow',
  /** Runs tasks but no longer renews its announcement. */
  SILENT = 'silent',
  /** Deregisters and refuses new tasks. */
  LEAVE = 'leave',
}

/** How long a task runs, and the reply when it ends. */
export interface WorkPlan {
  /** Undefined if the task never ends. */
  readonly runMs: number | undefined;
  readonly status: number;
  readonly body: unknown;
}

/** Mode and speed that apply to a task when it starts. */
export interface WorkSettings {
  readonly mode: TargetMode;
  /** Divides the run time of every task. */
  readonly speed: number;
  /** Multiplies the run time in `TargetMode.SLOW`. */
  readonly factor: number;
}

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_FAILED = 500;

/** Plans a task that starts now. */
export function planWork(payload: unknown, settings: WorkSettings): WorkPlan {
  if (settings.mode === TargetMode.FAIL_ALL) return createFailure('fail-all');
  if (settings.mode === TargetMode.HANG) return createHang();
  const work = (payload ?? {}) as Record<string, unknown>;
  switch (work.do) {
    case WorkKind.SLEEP:
      return planSleep(work, settings);
    case WorkKind.ECHO:
      return {runMs: 0, status: STATUS_OK, body: work.value ?? null};
    case WorkKind.FAIL:
      return createFailure('asked to fail');
    case WorkKind.HANG:
      return createHang();
    case WorkKind.LARGE:
      return planLarge(work);
    default:
      return {runMs: 0, status: STATUS_BAD_REQUEST, body: {detail: 'unknown'}};
  }
}

function planSleep(
  work: Record<string, unknown>,
  settings: WorkSettings,
): WorkPlan {
  const factor = settings.mode === TargetMode.SLOW ? settings.factor : 1;
  const runMs = ((Number(work.ms) || 0) * factor) / settings.speed;
  return {runMs, status: STATUS_OK, body: {echo: work.echo, ms: runMs}};
}

function planLarge(work: Record<string, unknown>): WorkPlan {
  const data = 'x'.repeat(Number(work.bytes) || 0);
  return {runMs: 0, status: STATUS_OK, body: {data}};
}

function createFailure(detail: string): WorkPlan {
  return {runMs: 0, status: STATUS_FAILED, body: {detail}};
}

function createHang(): WorkPlan {
  return {runMs: undefined, status: STATUS_OK, body: {}};
}
