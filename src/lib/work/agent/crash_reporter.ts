/** Tells a crash of an agent's target from its other ends, and reports it. */
import type {HeldRun} from '../../decisions/held_run.js';
import type {TargetControllerOptions} from './controller_options.js';
import type {LeaseRenewer} from './lease_renewer.js';
import {isAnswer, OrderOutcome} from './target_api.js';
import {logCrash} from './target_log.js';

/** Outcomes that prove the end of an incarnation; a lapsed lease does not. */
const PROOFS_OF_CRASH: ReadonlySet<string> = new Set([
  OrderOutcome.OTHER_INCARNATION,
  OrderOutcome.ANSWERED_BY_OTHER,
  OrderOutcome.NOT_LISTENING,
]);

/** Outcomes that a crash has, among other causes. */
const SIGNS_OF_CRASH: ReadonlySet<string> = new Set([
  ...PROOFS_OF_CRASH,
  OrderOutcome.BROKEN,
]);

/** Proof of the end of an incarnation: a later one has answered. */
const LATER_INCARNATION = 'later-life';

/**
 * Time in milliseconds from an answer of the target for which the lease of its runs
 * certainly lasts; half of `LEASE_MS`, as the call may have waited.
 */
const MIN_LEASE_MS = 400;

/** Time in milliseconds by which the latest end of a lease may lie behind its end. */
const EXPIRY_SLACK_MS = 100;

/** Dependencies of a reporter. */
export type CrashReporterOptions = Pick<
  TargetControllerOptions,
  'publishCrash' | 'log'
> & {readonly lease: LeaseRenewer};

/** Reports the crashes of a target. Owned by the target controller. */
export class CrashReporter {
  /** The target's incarnation while its end would be a crash; empty otherwise. */
  private life = '';
  /** Time of the first call that failed since the target's last answer. */
  private signAtMs: number | undefined;
  /** Time of that answer. */
  private answeredAtMs = 0;

  private constructor(private readonly options: CrashReporterOptions) {}

  /** Creates a reporter that knows no target. */
  static create(options: CrashReporterOptions): CrashReporter {
    return new CrashReporter(options);
  }

  /** Watches an incarnation whose end would be a crash. */
  watch(life: string): void {
    if (life !== this.life) this.signAtMs = undefined;
    this.life = life;
  }

  /** Records what became of a call: a broken one may be the first sign of a crash. */
  recordCall(outcome: OrderOutcome, nowMs: number): void {
    if (isAnswer(outcome)) {
      this.answeredAtMs = nowMs;
      this.signAtMs = undefined;
    } else if (SIGNS_OF_CRASH.has(outcome)) {
      this.signAtMs ??= nowMs;
    }
  }

  /** Handles the proof that the incarnation has ended: another one has started. */
  endIncarnation(runs: readonly HeldRun[], nowMs: number): void {
    this.report(LATER_INCARNATION, runs, nowMs);
  }

  /** Records that the end of the incarnation is planned. */
  expectEnd(): void {
    this.watch('');
  }

  /** Handles the end of the runs; only some details prove a crash. */
  handleEnd(detail: string, runs: readonly HeldRun[], nowMs: number): void {
    if (PROOFS_OF_CRASH.has(detail)) this.report(detail, runs, nowMs);
  }

  private report(proof: string, runs: readonly HeldRun[], nowMs: number): void {
    const {life, signAtMs = nowMs} = this;
    const {publishCrash, log, lease} = this.options;
    this.watch('');
    if (life === '') return;
    const fields = {signAgoMs: Math.round(nowMs - signAtMs)};
    logCrash(
      log,
      {life, proof, runs, lease: {...lease.describe(nowMs), ...fields}},
      nowMs,
    );
    const leaseHeldUntilMs = Math.min(
      this.answeredAtMs + MIN_LEASE_MS,
      lease.expiresAtMs - EXPIRY_SLACK_MS,
    );
    publishCrash({life, runs, signAtMs, leaseHeldUntilMs}, nowMs);
  }
}
