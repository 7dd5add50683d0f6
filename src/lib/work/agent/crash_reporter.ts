/** Tells a crash of an agent's target from its other ends, and reports it. */
import {RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import type {TargetControllerOptions} from './controller_options.js';
import {OrderOutcome} from './target_api.js';

/** Outcomes that prove the end of an incarnation; a lapsed lease does not. */
const PROOFS_OF_CRASH: ReadonlySet<string> = new Set([
  OrderOutcome.OTHER_INCARNATION,
  OrderOutcome.ANSWERED_BY_OTHER,
  OrderOutcome.NOT_LISTENING,
]);

/** Reports the crashes of a target. Owned by the target controller. */
export class CrashReporter {
  /** The target's incarnation while its end would be a crash; empty otherwise. */
  private life = '';

  private constructor(
    private readonly publishCrash: TargetControllerOptions['publishCrash'],
  ) {}

  /** Creates a reporter that knows no target. */
  static create({
    publishCrash,
  }: Pick<TargetControllerOptions, 'publishCrash'>): CrashReporter {
    return new CrashReporter(publishCrash);
  }

  /** Watches an incarnation whose end would be a crash. */
  watch(life: string): void {
    this.life = life;
  }

  /** Handles the proof that the incarnation has ended: another one has started. */
  endIncarnation(runs: readonly HeldRun[], nowMs: number): void {
    this.report(runs, nowMs);
  }

  /** Records that the end of the incarnation is planned. */
  expectEnd(): void {
    this.life = '';
  }

  /** Handles the end of the runs; only some details prove a crash. */
  handleEnd(detail: string, runs: readonly HeldRun[], nowMs: number): void {
    if (PROOFS_OF_CRASH.has(detail)) this.report(runs, nowMs);
  }

  private report(runs: readonly HeldRun[], nowMs: number): void {
    const {life} = this;
    this.life = '';
    if (life === '') return;
    // Uncertain orders were sent to an earlier incarnation.
    const own = runs.filter(({state}) => state !== RunState.UNCERTAIN);
    this.publishCrash(life, own, nowMs);
  }
}
