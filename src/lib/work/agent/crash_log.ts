/** The recent crashes of an agent's target, for the entries. */
import {judgeEvidence} from '../../decisions/crash_evidence.js';
import type {ObservedCrash} from '../../decisions/crash_evidence.js';
import type {CrashedRun, TargetCrash} from '../../core/target_crash.js';

/** Maximum number of crashes that are kept. */
const MAX_CRASHES = 8;

/** Time in milliseconds for which a crash is kept. */
const RETENTION_MS = 30_000;

interface LoggedCrash {
  readonly crash: TargetCrash;
  readonly recordedAtMs: number;
}

/** Keeps what ran on the incarnations of the target that crashed. */
export class CrashLog {
  private crashes: readonly LoggedCrash[] = [];

  private constructor() {}

  /** Creates an empty log. */
  static create(): CrashLog {
    return new CrashLog();
  }

  /** Records a crash; undefined if nothing can have run there. */
  record(observed: ObservedCrash, nowMs: number): TargetCrash | undefined {
    const runs = listCrashedRuns(observed);
    if (runs.length === 0) return undefined;
    const ageMs = Math.round(nowMs - observed.signAtMs);
    const crash = {life: observed.life, ageMs, runs};
    const logged = {crash, recordedAtMs: observed.signAtMs};
    this.crashes = [...this.crashes, logged].slice(-MAX_CRASHES);
    return crash;
  }

  /** Lists the recent crashes with their present age. */
  list(nowMs: number): TargetCrash[] {
    this.crashes = this.crashes.filter(
      ({recordedAtMs}) => nowMs - recordedAtMs < RETENTION_MS,
    );
    return this.crashes.map(({crash, recordedAtMs}) => ({
      ...crash,
      ageMs: Math.round(nowMs - recordedAtMs),
    }));
  }
}

function listCrashedRuns(observed: ObservedCrash): CrashedRun[] {
  return observed.runs.flatMap(run => {
    const evidence = judgeEvidence(run, observed);
    if (evidence === undefined) return [];
    const {task, job, suspicion} = run.order;
    const ranMs = Math.max(0, observed.signAtMs - run.startSentAtMs);
    return [{task, job, ranMs: Math.round(ranMs), evidence, suspicion}];
  });
}
