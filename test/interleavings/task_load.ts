/** What a task does on a virtual target, as its payload tells. */

/** A task that crashes the targets that run it. */
export interface CrashLoad {
  /** Time in milliseconds from the start to the crash. */
  readonly afterMs: number;
  /** Number of targets that it crashes. */
  readonly crashesAtMost: number;
}

/** What one task does. */
export interface TaskLoad {
  readonly runMs: number;
  readonly crash: CrashLoad | undefined;
}

/** Suffix of the name of the only task of a job that crashes targets. */
const CRASHING_TASK = '.0.0';

/** Formats the payload of all tasks of a job. */
export function formatPayload({runMs, crash}: TaskLoad): string {
  if (crash === undefined) return String(runMs);
  return [runMs, crash.afterMs, crash.crashesAtMost].join(' ');
}

/** Parses what the payload tells one task to do. */
export function parseLoad(payload: string, task: string): TaskLoad {
  const [runMs, afterMs, crashesAtMost] = payload.split(' ').map(Number);
  const isCrashing = payload.includes(' ') && task.endsWith(CRASHING_TASK);
  return {runMs, crash: isCrashing ? {afterMs, crashesAtMost} : undefined};
}

/** Returns whether a task crashes targets by the payload of its job. */
export function isCrashing(
  task: string,
  crash: CrashLoad | undefined,
): boolean {
  return crash !== undefined && task.endsWith(CRASHING_TASK);
}
