/**
 * Decides which task crashed a target, from the runs that were on it. Answers the
 * poison message: a request that takes down every server that handles it.
 */
import type {CrashSuspicion, TargetCrash} from '../core/work_frames.js';

/** What follows for a task from the crashes under it. */
export enum BlameVerdict {
  /** Nothing; crashes may have happened under it, but others explain them. */
  NONE = 'none',
  /** Its next run has to show by itself whether it crashes a target. */
  SUSPECT = 'suspect',
  /** It crashes targets and gets no further run. */
  DEADLY = 'deadly',
}

/** Assumed probability that a task of which nothing is known is deadly. */
const PRIOR_BLAME = 0.01;

/** Age in milliseconds of a run at which it is half as suspicious as a new one. */
const RECENT_START_MS = 50;

/** Blame from which the next run of a task is isolated. */
const SUSPECT_BLAME = 0.1;

/** Blame from which two crashes suffice to give a task up. */
const DEADLY_BLAME = 0.9;

/** Number of crashes without which no task is given up. */
const MIN_CRASHES = 2;

/** Number of crashes after which a task gets no run, whatever explains them. */
const MAX_CRASHES = 3;

/** Time in milliseconds for which crashes are remembered. */
const RETENTION_MS = 30_000;

/** Maximum number of tasks that are remembered; the oldest are removed. */
const MAX_TASKS = 2000;

/** Maximum number of incarnations that are kept for a task. */
const MAX_LIVES = 4;

/** What the crashes say of a task. */
export interface BlameReport {
  readonly crashes: number;
  readonly blame: number;
  /** The latest incarnations whose crashes were recorded here. */
  readonly lives: readonly string[];
}

interface TaskBlame {
  readonly job: string;
  readonly lives: readonly string[];
  crashes: number;
  /** Probability that the task is deadly. */
  blame: number;
  changedAtMs: number;
}

/**
 * Estimates for each task that was on a crashed target the probability that it is
 * deadly. The runs of one crash share its blame: one that started shortly before
 * the crash gets more of it than one that ran for long, and one under which
 * another target has crashed gets more than one without. A task that ends with
 * success is cleared.
 */
export class CrashBlame {
  private readonly tasks = new Map<string, TaskBlame>();
  /** Times of the crashes that were recorded, by incarnation of the target. */
  private readonly crashes = new Map<string, number>();

  private constructor() {}

  /** Creates a table without crashes. */
  static create(): CrashBlame {
    return new CrashBlame();
  }

  /** Records a crash; returns whether it was not known. */
  recordCrash({life, runs}: TargetCrash, nowMs: number): boolean {
    if (this.crashes.has(life)) return false;
    this.removeExpired(nowMs);
    this.crashes.set(life, nowMs);
    const weights = runs.map(({task, ranMs, suspicion}) => {
      const known = this.tasks.get(task);
      const blame = Math.max(
        PRIOR_BLAME,
        known?.blame ?? 0,
        suspicion?.blame ?? 0,
      );
      return blame * computeHazard(ranMs);
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, {task, job, suspicion}] of runs.entries()) {
      const known = this.tasks.get(task);
      const before = Math.max(known?.crashes ?? 0, suspicion?.crashes ?? 0);
      this.tasks.delete(task);
      this.tasks.set(task, {
        job,
        crashes: before + 1,
        blame: weights[index] / total,
        lives: [...(known?.lives ?? []), life].slice(-MAX_LIVES),
        changedAtMs: nowMs,
      });
    }
    return true;
  }

  /** Clears a task that has ended with success. */
  recordSuccess(task: string): void {
    this.tasks.delete(task);
  }

  /** Judges one task. */
  judge(task: string): BlameVerdict {
    const known = this.tasks.get(task);
    return known === undefined ? BlameVerdict.NONE : judgeBlame(known);
  }

  /** Returns what an order tells the agent of a suspect task; undefined for others. */
  describe(task: string): CrashSuspicion | undefined {
    const known = this.tasks.get(task);
    if (known === undefined) return undefined;
    if (judgeBlame(known) === BlameVerdict.NONE) return undefined;
    const {crashes, blame} = known;
    return {crashes, blame};
  }

  /** Finds what is known of a task; undefined if nothing is. */
  findReport(task: string): BlameReport | undefined {
    const known = this.tasks.get(task);
    if (known === undefined) return undefined;
    const {crashes, blame, lives} = known;
    return {crashes, blame, lives};
  }

  /** Returns whether a task of the job is deadly. */
  hasDeadlyTask(job: string): boolean {
    for (const known of this.tasks.values()) {
      if (known.job === job && judgeBlame(known) === BlameVerdict.DEADLY) {
        return true;
      }
    }
    return false;
  }

  private removeExpired(nowMs: number): void {
    for (const [life, atMs] of this.crashes) {
      if (nowMs - atMs < RETENTION_MS) break;
      this.crashes.delete(life);
    }
    for (const [task, {changedAtMs}] of this.tasks) {
      const isExpired = nowMs - changedAtMs >= RETENTION_MS;
      if (!isExpired && this.tasks.size <= MAX_TASKS) break;
      this.tasks.delete(task);
    }
  }
}

function judgeBlame({crashes, blame}: TaskBlame): BlameVerdict {
  const isProven = crashes >= MIN_CRASHES && blame >= DEADLY_BLAME;
  if (isProven || crashes >= MAX_CRASHES) return BlameVerdict.DEADLY;
  const isSuspect = crashes >= MIN_CRASHES || blame >= SUSPECT_BLAME;
  return isSuspect ? BlameVerdict.SUSPECT : BlameVerdict.NONE;
}

/** Returns how likely a deadly run crashes its target at this age, up to a factor. */
function computeHazard(ranMs: number): number {
  return 1 / (1 + (ranMs / RECENT_START_MS) ** 2);
}
