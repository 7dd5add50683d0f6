/** Decides that the current incarnation of an agent's target has ended. */
import {RunState} from '../../decisions/held_run.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {CrashReporter} from './crash_reporter.js';
import type {LeaseRenewer} from './lease_renewer.js';
import {isOtherIncarnation, OrderOutcome} from './target_api.js';
import type {TargetClient} from './target_client.js';
import {logTargetLost} from './target_log.js';
import type {TargetTakeover} from './target_takeover.js';

/** Consecutive refused connections that prove that an incarnation has ended. */
const REFUSALS_UNTIL_LOST = 2;

/** The parts of a target controller that the loss of the target concerns. */
export interface TargetLossOptions {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly crashes: CrashReporter;
  readonly lease: LeaseRenewer;
  readonly takeover: TargetTakeover;
  readonly log: FleetLog;
}

/** Ends the runs of a lost target. Owned by the target controller. */
export class TargetLoss {
  private refusals = 0;

  private constructor(private readonly options: TargetLossOptions) {}

  /** Creates the detection for a target that has refused nothing. */
  static create(options: TargetLossOptions): TargetLoss {
    return new TargetLoss(options);
  }

  /** Records that the target accepts connections, or that another one begins. */
  reset(): void {
    this.refusals = 0;
  }

  /** Handles a call that the target did not accept. */
  handleRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (isOtherIncarnation(outcome)) {
      this.options.api.endIncarnation();
      this.end(outcome, nowMs);
    }
    if (outcome !== OrderOutcome.NOT_LISTENING) return;
    this.refusals += 1;
    if (this.refusals >= REFUSALS_UNTIL_LOST) this.end(outcome, nowMs);
    else this.options.lease.renew(nowMs);
  }

  /** Ends all runs: the target's incarnation or its lease has ended. */
  end(detail: string, nowMs: number): void {
    const {runs, api, crashes, takeover, log} = this.options;
    const held = runs.listRuns();
    const count = held.filter(run => run.state !== RunState.UNCERTAIN).length;
    if (!takeover.isComplete && count === 0) return;
    crashes.handleEnd(detail, held, nowMs);
    logTargetLost(log, api.heartbeat?.id, count, detail);
    takeover.reset();
    api.endLongPoll();
    api.token.drop();
    runs.loseAll(nowMs);
  }
}
