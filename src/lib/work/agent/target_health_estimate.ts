/** An agent's estimate of the health of its target: trust and slowness. */
import {
  estimateRatio,
  isStalled,
  SlownessMeter,
} from '../../decisions/run_progress.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {TargetTrust, TrustState} from '../../decisions/target_trust.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import {RunEnd} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';
import {NO_RESOURCES} from '../../core/work_job.js';
import type {Resources} from '../../core/work_job.js';

/** Dependencies of the estimate. */
export interface TargetHealthEstimateOptions {
  readonly runs: RunRegistry;
  readonly readMonotonicMs: () => number;
  readonly log: FleetLog;
  /** Returns the id of the current target, for the log. */
  readonly getTarget: () => string;
}

/** Estimates the health of a target from the ends and progress of its runs. */
export class TargetHealthEstimate {
  private readonly trust = TargetTrust.create();
  private readonly slownessMeter = SlownessMeter.create();
  private lastAdvanceMs = 0;

  private constructor(private readonly options: TargetHealthEstimateOptions) {}

  /** Creates the estimate for a target of which nothing is known. */
  static create(options: TargetHealthEstimateOptions): TargetHealthEstimate {
    return new TargetHealthEstimate(options);
  }

  /** Average ratio of run time to estimate. */
  get slowness(): number {
    return this.slownessMeter.factor;
  }

  /** Whether runs have recently failed or stalled there. */
  get isSuspect(): boolean {
    return this.trust.state !== TrustState.TRUSTED;
  }

  /** Returns whether a run may be added; a suspect target gets probes only. */
  allowRun(): boolean {
    if (!this.isSuspect) return true;
    const isProbing = this.trust.state === TrustState.PROBING;
    return isProbing && this.options.runs.listRuns().length === 0;
  }

  /** Returns the free capacity to report to the entries. */
  computeFreeCapacity(): Resources {
    const {runs} = this.options;
    if (!this.isSuspect) return runs.uncommitted;
    return this.allowRun() ? runs.totalCapacity : NO_RESOURCES;
  }

  /** Updates slowness and trust from the end of a run. */
  recordEnd({end, durationMs, job}: RunEndReport, estimateMs: number): void {
    if (end === RunEnd.DONE) {
      this.slownessMeter.record(durationMs, estimateMs);
      this.logChange(this.trust.recordSuccess());
    } else if (end === RunEnd.FAILED) {
      const nowMs = this.options.readMonotonicMs();
      this.logChange(this.trust.recordFailure(job, nowMs));
    }
  }

  /** Updates the trust from a call, whose connection broke before its answer or not. */
  recordCall(isBroken: boolean, nowMs: number): void {
    this.logChange(this.trust.recordCall(isBroken, nowMs));
  }

  /** Updates the slowness from the progress in the target's latest run list. */
  private recordProgress(listedAtMs: number): void {
    const ratios = new Map<string, number>();
    for (const run of this.options.runs.listRuns()) {
      const ratio = estimateRatio(run, listedAtMs);
      if (ratio !== undefined) ratios.set(run.order.job, ratio);
    }
    this.slownessMeter.recordProgress(ratios);
  }

  /** Returns the stalled runs; those below 100 % lower the target's trust. */
  findStalled(listedAtMs: number, nowMs: number): readonly HeldRun[] {
    this.recordProgress(listedAtMs);
    const stalled = this.options.runs
      .listRuns()
      .filter(run => isStalled(run, listedAtMs, this.slowness));
    for (const run of stalled) {
      if (run.percent < 100) this.logChange(this.trust.recordHang(nowMs));
    }
    return stalled;
  }

  /** Ends a suspect target's pause when due; decays slowness while idle. */
  advance(nowMs: number): void {
    const idleMs = nowMs - this.lastAdvanceMs;
    this.lastAdvanceMs = nowMs;
    if (this.options.runs.listRuns().length === 0) {
      this.slownessMeter.forgetSlowness(idleMs);
    }
    this.logChange(this.trust.advance(nowMs));
  }

  /** Resets the estimate for another incarnation of the target. */
  reset(): void {
    this.trust.reset();
    this.slownessMeter.reset();
  }

  private logChange(isChanged: boolean): void {
    if (!isChanged) return;
    const {state} = this.trust;
    this.options.log(
      FleetEvent.TARGET_TRUST_CHANGED,
      `The target is ${state}.`,
      {
        target: this.options.getTarget(),
        state,
      },
    );
  }
}
