/** Applies the target's answers to start and stop orders to the runs. */
import {RunEvent} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {RequestLog} from '../../observe/request_log.js';
import {RunEndCause} from '../../core/work_frames.js';
import type {RunId} from './controller_options.js';
import {recordRun} from './run_log.js';
import {isStopInForce, isUncertain, OrderOutcome} from './target_api.js';
import type {OrderAnswer} from './target_api.js';

/** Dependencies and callbacks of the handler. */
export interface OrderAnswerHandlerOptions {
  readonly runs: RunRegistry;
  readonly requests: RequestLog;
  /** Called if the target did not accept an order. */
  readonly handleRefusal: (outcome: OrderOutcome, nowMs: number) => void;
  /** Requests the run lists at once. */
  readonly renew: (nowMs: number) => void;
}

/** Decides what an answer means for a run. Owned by the target controller. */
export class OrderAnswerHandler {
  /** Runs whose stop is not in force; it is repeated by the next check. */
  private readonly failedStops = new Set<HeldRun>();

  private constructor(private readonly options: OrderAnswerHandlerOptions) {}

  /** Creates a handler without orders. */
  static create(options: OrderAnswerHandlerOptions): OrderAnswerHandler {
    return new OrderAnswerHandler(options);
  }

  /** Handles the answer to a start order. */
  handleStartAnswer(
    {task, run: runNumber}: RunId,
    {outcome, reason}: OrderAnswer,
    nowMs: number,
  ): void {
    const {runs, requests, handleRefusal} = this.options;
    const run = runs.findRun(task, runNumber);
    if (run === undefined) return;
    if (outcome === OrderOutcome.ACCEPTED) {
      runs.applyEvent(run, RunEvent.ACCEPTED, nowMs);
      return;
    }
    const text = `Start: ${outcome} ${reason}.`;
    recordRun(requests, run, FleetEvent.ORDER_FAILED, text);
    if (isUncertain(outcome)) {
      const hasBroken = outcome === OrderOutcome.BROKEN;
      const event = hasBroken ? RunEvent.BROKEN : RunEvent.UNANSWERED;
      runs.applyEvent(run, event, nowMs);
      return;
    }
    if (outcome === OrderOutcome.ANSWERED_BY_OTHER) {
      handleRefusal(outcome, nowMs);
      return;
    }
    const cause = RunEndCause.TARGET_REFUSED;
    runs.applyEvent(run, RunEvent.REJECTED, nowMs, cause);
    handleRefusal(outcome, nowMs);
  }

  /** Handles the answer to a stop order. */
  handleStopAnswer(
    {task, run: runNumber}: RunId,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    const {outcome, reason} = answer;
    const {runs, requests, handleRefusal, renew} = this.options;
    const run = runs.findRun(task, runNumber);
    if (run === undefined) return;
    if (isStopInForce(answer)) {
      runs.applyEvent(run, RunEvent.STOP_ANSWERED, nowMs);
      // Lists requested after the stop was accepted show what still runs.
      renew(nowMs);
    } else if (outcome === OrderOutcome.UNANSWERED) {
      runs.applyEvent(run, RunEvent.STOP_UNANSWERED, nowMs);
    } else {
      const text = `Stop: ${outcome} ${reason}.`;
      recordRun(requests, run, FleetEvent.ORDER_FAILED, text);
      handleRefusal(outcome, nowMs);
      // A target that fails each call at once must not be called in a loop.
      this.failedStops.add(run);
    }
  }

  /** Repeats the stop orders that are not in force. */
  repeatFailedStops(nowMs: number): void {
    const runs = [...this.failedStops];
    this.failedStops.clear();
    for (const run of runs) {
      this.options.runs.applyEvent(run, RunEvent.STOP_UNANSWERED, nowMs);
    }
  }

  /** Forgets the orders to an earlier incarnation of the target. */
  reset(): void {
    this.failedStops.clear();
  }
}
