/** Requests the target's run lists, which renews the lease of its runs. */
import {isOutlivingOwner, RunState} from '../../decisions/held_run.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetClient} from './target_client.js';

/** Time in milliseconds without a run list after which a long poll's counts as lost. */
const RENEW_PERIOD_MS = 150;

/** Period in milliseconds of the hold calls while nothing runs. */
const IDLE_PERIOD_MS = 1000;

/** Dependencies of a renewer. */
export interface LeaseRenewerOptions {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  /** Whether it is known what runs on the target. */
  readonly isControlled: () => boolean;
  /** Returns the time at which the contact with an owner ends, or has ended. */
  readonly computeContactEnd: (owner: string) => number;
}

/** Decides when the lease is renewed. Owned by the target controller. */
export class LeaseRenewer {
  private lastRenewalMs = 0;
  private listedAtMs = 0;

  private constructor(private readonly options: LeaseRenewerOptions) {}

  /** Creates a renewer that has requested no list. */
  static create(options: LeaseRenewerOptions): LeaseRenewer {
    return new LeaseRenewer(options);
  }

  /** Local time of the latest run list. */
  get lastListMs(): number {
    return this.listedAtMs;
  }

  /** Time from which no run of the lease can exist. */
  get expiresAtMs(): number {
    return this.options.api.leaseExpiresAtMs;
  }

  /** Records that a run list has arrived. */
  recordList(nowMs: number): void {
    this.listedAtMs = nowMs;
  }

  /**
   * Returns whether the lease may be extended. It is one for all runs, so it ends
   * for all when the stop of a run without an owner does not take effect in time.
   */
  allowExtension(nowMs: number): boolean {
    const {runs, computeContactEnd} = this.options;
    return !runs
      .listRuns()
      .some(run => isOutlivingOwner(run, computeContactEnd(run.owner), nowMs));
  }

  /** Requests the run lists at once. */
  renew(nowMs: number): void {
    this.lastRenewalMs = nowMs;
    const {api, runs, isControlled} = this.options;
    const isExtended = isControlled() && this.allowExtension(nowMs);
    api.renew(runs.lastEndNumber, isExtended);
  }

  /** Requests the run lists for when a run ends. */
  list(nowMs: number): void {
    const {api, runs} = this.options;
    api.list(runs.lastEndNumber, this.allowExtension(nowMs));
  }

  /** Describes the lease for the log. */
  describe(nowMs: number): LineFields {
    return {
      listedAgoMs: Math.round(nowMs - this.listedAtMs),
      leaseLeftMs: Math.round(this.expiresAtMs - nowMs),
    };
  }

  /** Renews the lease when due; returns whether it has certainly ended instead. */
  advance(nowMs: number): boolean {
    const {api, runs, isControlled} = this.options;
    const hasRuns = runs.listRuns().some(run => run.state !== RunState.QUEUED);
    const periodMs =
      hasRuns || !isControlled() ? RENEW_PERIOD_MS : IDLE_PERIOD_MS;
    const lastMs = Math.max(this.lastRenewalMs, this.listedAtMs);
    if (nowMs - lastMs >= periodMs) this.renew(nowMs);
    if (!hasRuns) return false;
    this.list(nowMs);
    return nowMs > api.leaseExpiresAtMs;
  }
}
