/** What an agent thinks of its target: trust, and how slow it is. */
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

/** What the opinion is formed of. */
export interface TargetHealthEstimateOptions {
  readonly runs: RunRegistry;
  readonly readMonotonicMs: () => number;
  readonly log: FleetLog;
  /** Names the present target for the log. */
  readonly getTarget: () => string;
}

/** Forms an opinion of the target from the ends and the progress of its runs. */
export class TargetHealthEstimate {
  private readonly trust = TargetTrust.create();
  private readonly meter = SlownessMeter.create();
  private advancedAtMs = 0;

  private constructor(private readonly options: TargetHealthEstimateOptions) {}

  /** Creates the opinion of a target of which nothing is known. */
  static create(options: TargetHealthEstimateOptions): TargetHealthEstimate {
    return new TargetHealthEstimate(options);
  }

  /** Run time over estimate, averaged. */
  get slowness(): number {
    return this.meter.factor;
  }

  /** Whether runs have lately failed or hung there. */
  get isSuspect(): boolean {
    return this.trust.state !== TrustState.TRUSTED;
  }

  /** Tells whether another run may be taken: a suspect target gets probes only. */
  allowRun(): boolean {
    if (!this.isSuspect) return true;
    const isProbing = this.trust.state === TrustState.PROBING;
    return isProbing && this.options.runs.listRuns().length === 0;
  }

  /** Returns the room that entries may give work to. */
  computeFreeCapacity(): Resources {
    const {runs: book} = this.options;
    if (!this.isSuspect) return book.uncommitted;
    return this.allowRun() ? book.room : NO_RESOURCES;
  }

  /** Takes the end of a run. */
  recordEnd({end, durationMs, job}: RunEndReport, estimateMs: number): void {
    if (end === RunEnd.DONE) {
      this.meter.record(durationMs, estimateMs);
      this.logChange(this.trust.recordSuccess());
    } else if (end === RunEnd.FAILED) {
      const nowMs = this.options.readMonotonicMs();
      this.logChange(this.trust.recordFailure(job, nowMs));
    }
  }

  /** Learns from the progress of what runs, as of a list of the target. */
  private takeProgress(listedAtMs: number): void {
    const ratios = new Map<string, number>();
    for (const run of this.options.runs.listRuns()) {
      const ratio = estimateRatio(run, listedAtMs);
      if (ratio !== undefined) ratios.set(run.order.job, ratio);
    }
    this.meter.recordProgress(ratios);
  }

  /** Lists the runs that stand still, and blames the target for them. */
  findStalled(listedAtMs: number, nowMs: number): readonly HeldRun[] {
    this.takeProgress(listedAtMs);
    const stalled = this.options.runs
      .listRuns()
      .filter(run => isStalled(run, listedAtMs, this.slowness));
    for (const run of stalled) {
      if (run.percent < 100) this.logChange(this.trust.recordHang(nowMs));
    }
    return stalled;
  }

  /** Lets the pause of a suspect target end, and old opinions fade. */
  advance(nowMs: number): void {
    const idleMs = nowMs - this.advancedAtMs;
    this.advancedAtMs = nowMs;
    if (this.options.runs.listRuns().length === 0) {
      this.meter.forgetSlowness(idleMs);
    }
    this.logChange(this.trust.advance(nowMs));
  }

  /** Forgets everything: another life of the target has begun. */
  reset(): void {
    this.trust.reset();
    this.meter.reset();
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
