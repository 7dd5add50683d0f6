/** Performs the commands of the run registry. */
import {RunCommandKind} from '../../decisions/run_command.js';
import type {RunCommand} from '../../decisions/run_command.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunEnd} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';
import type {LeaseRenewer} from './lease_renewer.js';
import {ReservationCounter, ReservationOutcome} from './reservation_counter.js';
import {recordRunEnd, recordRunStart} from './run_log.js';
import type {TargetClient} from './target_client.js';
import type {TargetControllerOptions} from './controller_options.js';
import type {TargetHealthEstimate} from './target_health_estimate.js';

/** Dependencies of the commands. */
export interface RunCommandsOptions extends Pick<
  TargetControllerOptions,
  'planAhead' | 'requests' | 'metrics' | 'deliverEnd' | 'readMonotonicMs'
> {
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;
  readonly lease: LeaseRenewer;
}

/** Sends orders to the target and reports what becomes of a run. */
export class RunCommands {
  /** The orders that waited, counted by what became of them. */
  readonly reservations: ReservationCounter;

  private constructor(private readonly options: RunCommandsOptions) {
    this.reservations = ReservationCounter.create(options);
  }

  /** Creates the performer of a target's commands. */
  static create(options: RunCommandsOptions): RunCommands {
    return new RunCommands(options);
  }

  /** Performs a command. */
  perform(command: RunCommand): void {
    const {run} = command;
    const {api, lease, requests, readMonotonicMs} = this.options;
    switch (command.kind) {
      case RunCommandKind.SEND_START:
        api.sendStart(run);
        this.reservations.record(run, ReservationOutcome.STARTED);
        lease.list(readMonotonicMs());
        break;
      case RunCommandKind.SEND_STOP:
        api.sendStop(run.order.task, run.order.run);
        break;
      case RunCommandKind.REPORT_STARTED:
        recordRunStart(requests, run);
        break;
      case RunCommandKind.REPORT_END:
        this.handleEnd(run, command.report);
        break;
    }
  }

  private handleEnd(run: HeldRun, report: RunEndReport): void {
    const {health, requests, metrics, deliverEnd} = this.options;
    const isReturned =
      report.end === RunEnd.NOT_STARTED && run.startSentAtMs === 0;
    if (isReturned) this.reservations.record(run, ReservationOutcome.RETURNED);
    health.recordEnd(report, run.order.estimateMs);
    recordRunEnd(requests, run, report);
    metrics.countRun(report.end, report.durationMs);
    deliverEnd(run.owner, report);
  }
}
