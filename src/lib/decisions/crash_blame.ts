/**
 * Decides which task crashed a target, from the runs that were on it. Answers the
 * poison message: a request that takes down every server that handles it.
 */
import {RunEvidence} from '../core/target_crash.js';
import type {
  CountedCrash,
  CrashedRun,
  CrashSuspicion,
  TargetCrash,
} from '../core/target_crash.js';

/** What follows for a task from the crashes under it. */
export enum BlameVerdict {
  /** Nothing; crashes may have happened under it, but others explain them. */
  NONE = 'none',
  /** Its next run has to show by itself whether it crashes a target. */
  SUSPECT = 'suspect',
  /** It gets no further run while it is remembered, though nothing is proven. */
  HELD = 'held',
  /** It crashes targets and gets no further run. */
  DEADLY = 'deadly',
}

/** Assumed probability that a task of which nothing is known is deadly. */
const PRIOR_BLAME = 0.01;

/** Weight of the explanation that a target crashed by itself, beside those of its runs. */
const OTHER_CAUSE_WEIGHT = 0.002;

/** Age in milliseconds of a run at which it is half as suspicious as a new one. */
const RECENT_START_MS = 50;

/** Blame from which the next run of a task is isolated. */
const SUSPECT_BLAME = 0.1;

/** Blame from which two crashes suffice to give a task up. */
const DEADLY_BLAME = 0.9;

/** Number of crashes under a task that is known to have run without which none is given up. */
const MIN_CRASHES = 2;

/** Number of crashes after which a task gets no run, whatever is known of them. */
const MAX_CRASHES = 3;

/** Time in milliseconds for which the crashes under a task are remembered. */
const RETENTION_MS = 30_000;

/**
 * Time in milliseconds for which a crash is known by its target's incarnation: a
 * report may be read long after it was written.
 */
const LIFE_RETENTION_MS = 600_000;

/** Maximum numbers that are remembered; the oldest are removed. */
const MAX_TASKS = 2000;
const MAX_LIVES = 4000;

/** What the crashes say of a task. */
export interface BlameReport {
  readonly blame: number;
  readonly counted: readonly CountedCrash[];
}

interface TaskBlame {
  readonly job: string;
  /** What is known of its runs, by the incarnation of the target that crashed. */
  readonly counted: ReadonlyMap<string, RunEvidence>;
  /** Probability that the task is deadly. */
  blame: number;
  changedAtMs: number;
}

/**
 * Estimates for each task that was on a crashed target the probability that it is
 * deadly. The runs of one crash share its blame with the explanation that the target
 * crashed by itself: one that started shortly before the crash gets more of it than
 * one that ran for long, and one under which another target has crashed gets more
 * than one without. A task that ends with success is cleared.
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
    this.expire(nowMs);
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
    const total = weights.reduce(
      (sum, weight) => sum + weight,
      OTHER_CAUSE_WEIGHT,
    );
    for (const [index, run] of runs.entries()) {
      const {task, job} = run;
      const counted = mergeCrashes(this.tasks.get(task), run, life);
      this.tasks.delete(task);
      this.tasks.set(task, {
        job,
        counted,
        blame: weights[index] / total,
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

  /** Judges a job by its most suspicious task. */
  judgeJob(job: string): BlameVerdict {
    const verdicts = [...this.tasks.values()]
      .filter(known => known.job === job)
      .map(judgeBlame);
    // The enum lists the verdicts by rising gravity.
    const byGravity = Object.values(BlameVerdict).reverse();
    return (
      byGravity.find(verdict => verdicts.includes(verdict)) ?? BlameVerdict.NONE
    );
  }

  /** Returns what an order tells the agent of a suspect task; undefined for others. */
  describe(task: string): CrashSuspicion | undefined {
    if (this.judge(task) === BlameVerdict.NONE) return undefined;
    const report = this.findReport(task);
    return report && {crashes: report.counted.length, ...report};
  }

  /** Finds what is known of a task; undefined if nothing is. */
  findReport(task: string): BlameReport | undefined {
    const known = this.tasks.get(task);
    if (known === undefined) return undefined;
    const counted = [...known.counted].map(([life, evidence]) => ({
      life,
      evidence,
    }));
    return {blame: known.blame, counted};
  }

  /** Returns the time in milliseconds until the crashes under a job are forgotten. */
  computeRetention(job: string, nowMs: number): number {
    const times = [...this.tasks.values()]
      .filter(known => known.job === job)
      .map(({changedAtMs}) => changedAtMs + RETENTION_MS - nowMs);
    return Math.max(0, ...times);
  }

  /** Forgets what is older than the retention time, and the oldest beyond the limits. */
  expire(nowMs: number): void {
    for (const [life, atMs] of this.crashes) {
      const isExpired = nowMs - atMs >= LIFE_RETENTION_MS;
      if (!isExpired && this.crashes.size <= MAX_LIVES) break;
      this.crashes.delete(life);
    }
    for (const [task, {changedAtMs}] of this.tasks) {
      const isExpired = nowMs - changedAtMs >= RETENTION_MS;
      if (!isExpired && this.tasks.size <= MAX_TASKS) break;
      this.tasks.delete(task);
    }
  }
}

/** Joins the crashes known here, those that the order told of, and the present one. */
function mergeCrashes(
  known: TaskBlame | undefined,
  {suspicion, evidence = RunEvidence.UNKNOWN}: CrashedRun,
  life: string,
): ReadonlyMap<string, RunEvidence> {
  const counted = new Map(known?.counted);
  for (const crash of listCounted(suspicion)) {
    if (counted.get(crash.life) === RunEvidence.RAN) continue;
    counted.set(crash.life, crash.evidence);
  }
  return counted.set(life, evidence);
}

function listCounted(
  suspicion: CrashSuspicion | undefined,
): readonly CountedCrash[] {
  if (suspicion === undefined) return [];
  // Earlier versions only count.
  return (
    suspicion.counted ??
    Array.from({length: suspicion.crashes}, (_, index) => ({
      life: `#${index}`,
      evidence: RunEvidence.UNKNOWN,
    }))
  );
}

function judgeBlame({counted, blame}: TaskBlame): BlameVerdict {
  const crashes = counted.size;
  const ran = [...counted.values()].filter(
    evidence => evidence === RunEvidence.RAN,
  ).length;
  const isExplained = blame >= DEADLY_BLAME || crashes >= MAX_CRASHES;
  if (ran >= MIN_CRASHES && isExplained) return BlameVerdict.DEADLY;
  if (crashes >= MAX_CRASHES) return BlameVerdict.HELD;
  const isSuspect = crashes >= MIN_CRASHES || blame >= SUSPECT_BLAME;
  return isSuspect ? BlameVerdict.SUSPECT : BlameVerdict.NONE;
}

/** Returns how likely a deadly run crashes its target at this age, up to a factor. */
function computeHazard(ranMs: number): number {
  return 1 / (1 + (ranMs / RECENT_START_MS) ** 2);
}
