/** Withholds work from a target whose runs fail or hang, or whose connections break. */
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
  BREAK = 'break',
  PAUSE_OVER = 'pauseOver',
  REPLACE = 'replace',
}

const CHART = Chart.create<TrustState, TrustEvent>(readChart('target_trust'), {
  states: TrustState,
  events: TrustEvent,
  guards: ['isRepeated'],
});

/**
 * Pause in milliseconds before a suspect target is probed with one run. The
 * faults that make a target suspect last 3 to 9 s, and a probe costs one attempt of
 * one task.
 */
export const PROBE_PAUSE_MS = 1000;

/** Number of different jobs that have to fail in a row to suspect the target. */
const MIN_FAILED_JOBS = 2;

/**
 * Number of calls in a row whose connection broke that make the target suspect. A
 * single one may be a connection that the target closed while it was idle.
 */
const MIN_BROKEN_CALLS = 3;

/**
 * Circuit breaker of one target, based on how its runs end. A faulty job fails
 * on every target, so the failures of a single job, however many of its tasks
 * fail, do not make the target suspect.
 */
export class TargetTrust {
  private current: TrustState = CHART.initial;
  private failedJobs = new Set<string>();
  private brokenCalls = 0;
  private resumeAtMs = 0;

  private constructor() {}

  /** Creates the state of a target without recorded failures. */
  static create(): TargetTrust {
    return new TargetTrust();
  }

  /** Current state of the target. */
  get state(): TrustState {
    return this.current;
  }

  /** Records a successful run; returns whether the state changed. */
  recordSuccess(): boolean {
    this.failedJobs.clear();
    return this.change(TrustEvent.SUCCEED, 0);
  }

  /** Records a failed run of a job; returns whether the state changed. */
  recordFailure(job: string, nowMs: number): boolean {
    this.failedJobs.add(job);
    return this.change(TrustEvent.FAIL, nowMs);
  }

  /** Records a stalled run; returns whether the state changed. */
  recordHang(nowMs: number): boolean {
    return this.change(TrustEvent.HANG, nowMs);
  }

  /**
   * Records whether the connection of a call broke before its answer; returns
   * whether the state changed.
   */
  recordCall(isBroken: boolean, nowMs: number): boolean {
    this.brokenCalls = isBroken ? this.brokenCalls + 1 : 0;
    if (this.brokenCalls < MIN_BROKEN_CALLS) return false;
    return this.change(TrustEvent.BREAK, nowMs);
  }

  /** Resets the state for a new incarnation of the target. */
  reset(): void {
    this.failedJobs.clear();
    this.brokenCalls = 0;
    this.change(TrustEvent.REPLACE, 0);
  }

  /** Starts probing once the pause of a suspect target has passed; returns whether it did. */
  advance(nowMs: number): boolean {
    if (this.current !== TrustState.SUSPECT || nowMs < this.resumeAtMs) {
      return false;
    }
    return this.change(TrustEvent.PAUSE_OVER, nowMs);
  }

  private change(event: TrustEvent, nowMs: number): boolean {
    const previous = this.current;
    const isRepeated = this.failedJobs.size >= MIN_FAILED_JOBS;
    this.current = CHART.step(previous, event, () => isRepeated).state;
    if (this.current === TrustState.SUSPECT) {
      this.resumeAtMs = nowMs + PROBE_PAUSE_MS;
    }
    return this.current !== previous;
  }
}
