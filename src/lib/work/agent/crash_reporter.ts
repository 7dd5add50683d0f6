/** Tells a crash of an agent's target from its other ends, and reports it. */
import {RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import type {TargetControllerOptions} from './controller_options.js';
import type {LeaseRenewer} from './lease_renewer.js';
import {OrderOutcome} from './target_api.js';
import {logCrash} from './target_log.js';

/** Outcomes that prove the end of an incarnation; a lapsed lease does not. */
const PROOFS_OF_CRASH: ReadonlySet<string> = new Set([
  OrderOutcome.OTHER_INCARNATION,
  OrderOutcome.ANSWERED_BY_OTHER,
  OrderOutcome.NOT_LISTENING,
]);

/** Proof of the end of an incarnation: a later one has answered. */
const LATER_INCARNATION = 'later-life';

/** Dependencies of a reporter. */
export type CrashReporterOptions = Pick<
  TargetControllerOptions,
  'publishCrash' | 'log'
> & {readonly lease: LeaseRenewer};

/** Reports the crashes of a target. Owned by the target controller. */
export class CrashReporter {
  /** The target's incarnation while its end would be a crash; empty otherwise. */
  private life = '';

  private constructor(private readonly options: CrashReporterOptions) {}

  /** Creates a reporter that knows no target. */
  static create(options: CrashReporterOptions): CrashReporter {
    return new CrashReporter(options);
  }

  /** Watches an incarnation whose end would be a crash. */
  watch(life: string): void {
    this.life = life;
  }

  /** Handles the proof that the incarnation has ended: another one has started. */
  endIncarnation(runs: readonly HeldRun[], nowMs: number): void {
    this.report(LATER_INCARNATION, runs, nowMs);
  }

  /** Records that the end of the incarnation is planned. */
  expectEnd(): void {
    this.life = '';
  }

  /** Handles the end of the runs; only some details prove a crash. */
  handleEnd(detail: string, runs: readonly HeldRun[], nowMs: number): void {
    if (PROOFS_OF_CRASH.has(detail)) this.report(detail, runs, nowMs);
  }

  private report(proof: string, runs: readonly HeldRun[], nowMs: number): void {
    const {life} = this;
    const {publishCrash, log, lease} = this.options;
    this.life = '';
    if (life === '') return;
    logCrash(log, {life, proof, runs, lease: lease.describe(nowMs)}, nowMs);
    // Uncertain orders were sent to an earlier incarnation.
    const own = runs.filter(({state}) => state !== RunState.UNCERTAIN);
    publishCrash(life, own, nowMs);
  }
}
