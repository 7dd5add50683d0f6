/** Records the events of an entry in its log and metrics. */
import type {AdministrationAction} from '../admin/request_executor.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Outcome} from '../core/job.js';
import {ProcessState} from '../core/process_lifecycle.js';
import {extendWithJob, LogEvent} from '../observe/log.js';
import type {Log} from '../observe/log.js';
import {Counter, Gauge, Histogram} from '../observe/metrics.js';
import type {Metrics} from '../observe/metrics.js';
import {StoreContact} from '../records/configuration_view.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import type {RecordReport} from '../records/apply_records.js';
import {LogLevel} from '../settings/settings_schema.js';
import {PresenceState} from './agent_session.js';
import {HandOverOutcome} from './peer_messages.js';
import type {EndedJob, EndedTask} from './running_job.js';

const AGENT_EVENTS: Readonly<Record<PresenceState, LogEvent>> = {
  [PresenceState.CONNECTED]: LogEvent.AGENT_CONNECTED,
  [PresenceState.DISCONNECTED]: LogEvent.AGENT_DISCONNECTED,
  [PresenceState.LOST]: LogEvent.AGENT_LOST,
};

const STATE_EVENTS: Readonly<Record<ProcessState, LogEvent>> = {
  [ProcessState.STARTING]: LogEvent.STOPPED,
  [ProcessState.SERVING]: LogEvent.READY,
  [ProcessState.LEAVING]: LogEvent.STOPPING,
  [ProcessState.DRAINING]: LogEvent.STOPPING,
  [ProcessState.RELEASING]: LogEvent.STOPPING,
  [ProcessState.STOPPED]: LogEvent.STOPPED,
};

/** Writes the log lines and metrics of an entry. */
export class EntryReporter {
  private contact: StoreContact | undefined;

  private constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** Creates a reporter that has reported nothing yet. */
  static create(log: Log, metrics: Metrics): EntryReporter {
    return new EntryReporter(log, metrics);
  }

  /** Logs a state that the process has entered, with the port for callers. */
  reportState(state: ProcessState, port: number | undefined): void {
    const event = STATE_EVENTS[state];
    this.log.write(LogLevel.INFO, event, `The entry is ${state}.`, {port});
  }

  /** Logs whether a peer has taken over the sessions. */
  reportHandOver(outcome: HandOverOutcome): void {
    const isAccepted = outcome === HandOverOutcome.ACCEPTED;
    const level = isAccepted ? LogLevel.INFO : LogLevel.WARN;
    const text = `The hand-over of the sessions ended: ${outcome}.`;
    this.log.write(level, LogEvent.STOPPING, text, {handOver: outcome});
  }

  /** Logs that jobs were still running at the end of the drain time. */
  reportDrainTimeout(drainMs: number): void {
    const text = `Jobs were still running after the drain time of ${drainMs} ms.`;
    this.log.write(LogLevel.WARN, LogEvent.WORK_UNFINISHED, text);
  }

  /** Logs that an agent connected, disconnected or was lost. */
  readonly reportAgent = (
    state: PresenceState,
    agent: ProcessIdentity,
  ): void => {
    this.log.write(
      LogLevel.INFO,
      AGENT_EVENTS[state],
      `Agent ${agent.id} is ${state}.`,
      {agent: agent.id, agentDataCentre: agent.dataCentre},
    );
  };

  /** Counts the end of a job, and logs it unless the job is complete. */
  readonly reportJob = (job: EndedJob): void => {
    const tags = {
      team: job.team,
      class: job.taskClass,
      outcome: job.outcome,
      problem: job.problem,
    };
    this.metrics.countEvent(Counter.JOB_ENDED, tags);
    this.metrics.recordDuration(Histogram.JOB_DURATION, job.durationMs, tags);
    if (job.outcome === Outcome.COMPLETE) return;
    extendWithJob(this.log, job.job, job.trace).write(
      LogLevel.INFO,
      LogEvent.JOB_ENDED,
      `The job ended: ${job.outcome}.`,
      {...tags, tasks: job.tasks, durationMs: Math.round(job.durationMs)},
    );
  };

  /** Counts the end of a task and its times. */
  readonly reportTask = (task: EndedTask): void => {
    const tags = {team: task.team, class: task.taskClass, outcome: task.end};
    this.metrics.countEvent(Counter.TASK_ENDED, tags);
    this.metrics.recordDuration(Histogram.TASK_RUN, task.runMs, tags);
    this.metrics.recordDuration(Histogram.TASK_WAIT, task.queuedMs, tags);
  };

  /** Logs a configuration that is now in force. */
  reportView(view: ConfigurationView): void {
    this.metrics.reportGauge(Gauge.CONFIGURATION_REVISION, view.revision);
    this.log.write(
      LogLevel.INFO,
      LogEvent.CONFIGURATION_APPLIED,
      `Configuration revision ${view.revision} is in force.`,
      {revision: view.revision, dataCentresOut: view.dataCentresOut},
    );
  }

  /** Logs a change of the contact with the store; ignores repetitions. */
  reportContact(contact: StoreContact): void {
    if (contact === this.contact) return;
    this.contact = contact;
    const isConfirmed = contact === StoreContact.CONFIRMED;
    this.log.write(
      isConfirmed ? LogLevel.INFO : LogLevel.WARN,
      isConfirmed ? LogEvent.STORE_CONFIRMED : LogEvent.STORE_LOST,
      `Contact with the store is ${contact}.`,
    );
  }

  /** Counts and logs a version of a record that was rejected. */
  readonly reportRecord = (report: RecordReport): void => {
    this.metrics.countEvent(Counter.RECORD_REJECTED);
    this.log.write(
      LogLevel.WARN,
      LogEvent.RECORD_REJECTED,
      'A version of a record was rejected and is not in force.',
      {report},
    );
  };

  /** Counts and logs a failed call to the store. */
  readonly reportStoreFailure = (failure: unknown): void => {
    this.metrics.countEvent(Counter.STORE_CALL_FAILED);
    this.log.write(
      LogLevel.DEBUG,
      LogEvent.STORE_LOST,
      'A call to the store failed.',
      {err: failure},
    );
  };

  /** Logs an action of an operator. */
  readonly reportAction = (action: AdministrationAction): void => {
    this.log.write(
      LogLevel.INFO,
      LogEvent.RECORD_WRITTEN,
      `${action.by}: ${action.request}.`,
      {action},
    );
  };

  /** Logs an unexpected failure inside a task. */
  readonly reportFailure = (failure: unknown): void => {
    this.log.write(
      LogLevel.ERROR,
      LogEvent.FAILURE,
      'An internal task failed.',
      {
        err: failure,
      },
    );
  };
}
