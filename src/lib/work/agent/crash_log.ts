/** The recent crashes of an agent's target, for the entries. */
import {isOccupying} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import type {TargetCrash} from '../../core/work_frames.js';

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

  /** Records a crash; undefined if nothing ran there. */
  record(
    life: string,
    runs: readonly HeldRun[],
    nowMs: number,
  ): TargetCrash | undefined {
    const crashed = runs.filter(isOccupying);
    if (crashed.length === 0) return undefined;
    const crash = {
      life,
      ageMs: 0,
      runs: crashed.map(({order, startSentAtMs}) => ({
        task: order.task,
        job: order.job,
        ranMs: Math.round(nowMs - startSentAtMs),
        suspicion: order.suspicion,
      })),
    };
    const logged = {crash, recordedAtMs: nowMs};
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
