/** Takes control of an incarnation of the target. */
import type {ListedRun} from '../../decisions/run_command.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {TargetClient} from './target_client.js';
import {logTargetReady} from './target_log.js';

/** Dependencies and callbacks of a takeover. */
export interface TargetTakeoverOptions {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly log: FleetLog;
  /** Requests the run lists at once. */
  readonly renew: (nowMs: number) => void;
}

/**
 * Fences off the orders to earlier incarnations and of earlier agents, and stops
 * what runs on the target unknown to this agent. Owned by the target controller.
 */
export class TargetTakeover {
  private isControlled = false;

  private constructor(private readonly options: TargetTakeoverOptions) {}

  /** Creates the takeover of a target that is not known yet. */
  static create(options: TargetTakeoverOptions): TargetTakeover {
    return new TargetTakeover(options);
  }

  /** Whether it is known what runs on the target, so that orders are accepted. */
  get isComplete(): boolean {
    return this.isControlled;
  }

  /** Begins again, for another incarnation or after the lease has ended. */
  reset(): void {
    this.isControlled = false;
  }

  /**
   * Handles a list of the target's runs.
   *
   * @param isFenced Whether the call for the list carried the current token: the
   *     target then refuses all calls with earlier ones.
   */
  handleList(
    running: readonly ListedRun[],
    isFenced: boolean,
    nowMs: number,
  ): void {
    const {runs, api, log, renew} = this.options;
    // Nothing would handle the end of an unknown run, and it uses capacity.
    const unknown = running.filter(
      ({task, run}) => runs.findRun(task, run) === undefined,
    );
    for (const {task, run} of unknown) api.sendStop(task, run);
    if (this.isControlled) return;
    if (!isFenced) {
      renew(nowMs);
      return;
    }
    runs.endUncertain(nowMs);
    if (unknown.length > 0) return;
    this.isControlled = true;
    logTargetReady(log, api.heartbeat?.id ?? '');
  }
}
