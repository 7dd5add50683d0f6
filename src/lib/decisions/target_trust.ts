/** Keeps work from a target that fails or hangs what it is given. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of `charts/target_trust.yaml`. */
export enum TrustState {
  TRUSTED = 'trusted',
  SUSPECT = 'suspect',
  PROBING = 'probing',
}

/** Events of `charts/target_trust.yaml`. */
export enum TrustEvent {
  SUCCEED = 'succeed',
  FAIL = 'fail',
  HANG = 'hang',
  PAUSE_OVER = 'pauseOver',
  REPLACE = 'replace',
}

const CHART = Chart.create<TrustState, TrustEvent>(readChart('target_trust'), {
  states: TrustState,
  events: TrustEvent,
  guards: ['isRepeated'],
});

/**
 * Pause in milliseconds before a suspect target is probed with one run. Faults
 * of this kind last 3 to 9 s, and a probe costs one attempt of one task.
 */
export const PROBE_PAUSE_MS = 1000;

/** Different jobs that must fail in a row before the target is blamed. */
const FAILED_JOBS = 2;

/**
 * Judges a target by the ends of its runs. A job that fails everywhere fails
 * here too, so one job alone, however many of its tasks fail, blames nobody.
 */
export class TargetTrust {
  private current: TrustState = CHART.initial;
  private failedJobs = new Set<string>();
  private resumeAtMs = 0;

  private constructor() {}

  /** Creates the belief in a target of which nothing bad is known. */
  static create(): TargetTrust {
    return new TargetTrust();
  }

  /** The present belief. */
  get state(): TrustState {
    return this.current;
  }

  /** Takes the end of a run that was done. */
  recordSuccess(): boolean {
    this.failedJobs.clear();
    return this.change(TrustEvent.SUCCEED, 0);
  }

  /** Takes the end of a run that failed; tells whether the belief changed. */
  recordFailure(job: string, nowMs: number): boolean {
    this.failedJobs.add(job);
    return this.change(TrustEvent.FAIL, nowMs);
  }

  /** Takes a run that stood still; tells whether the belief changed. */
  recordHang(nowMs: number): boolean {
    return this.change(TrustEvent.HANG, nowMs);
  }

  /** Forgets everything: another life of the target has begun. */
  reset(): void {
    this.failedJobs.clear();
    this.change(TrustEvent.REPLACE, 0);
  }

  /** Lets the pause of a suspect target end; tells whether it has ended now. */
  advance(nowMs: number): boolean {
    if (this.current !== TrustState.SUSPECT || nowMs < this.resumeAtMs) {
      return false;
    }
    return this.change(TrustEvent.PAUSE_OVER, nowMs);
  }

  private change(event: TrustEvent, nowMs: number): boolean {
    const before = this.current;
    const isRepeated = this.failedJobs.size >= FAILED_JOBS;
    this.current = CHART.step(before, event, () => isRepeated).state;
    if (this.current === TrustState.SUSPECT) {
      this.resumeAtMs = nowMs + PROBE_PAUSE_MS;
    }
    return this.current !== before;
  }
}
