/** Decides at an agent which start orders run, wait or are refused. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {TaskEnd} from '../core/job.js';
import {NotStartedReason} from '../core/link_messages.js';
import type {StartOrder, TaskReport} from '../core/link_messages.js';
import {AgentTaskEvent, AgentTaskState} from './agent_task.js';
import type {AgentTask, RunEnd, StartConditions} from './agent_task.js';

/** State that the agent keeps for one incarnation of an entry. */
interface EntrySession {
  /** Highest sequence received; orders at or below it are duplicates. */
  highestSequence: number;
  outstanding: number;
  readonly tasks: Map<number, AgentTask>;
  /** Ends that the entry has not yet acknowledged. */
  readonly reports: Map<number, TaskReport>;
}

const NO_BYTES = new Uint8Array(0);

const ENDS: Readonly<Record<RunEnd['event'], TaskEnd>> = {
  [AgentTaskEvent.ANSWERED]: TaskEnd.SUCCEEDED,
  [AgentTaskEvent.REJECTED]: TaskEnd.FAILED,
  [AgentTaskEvent.BROKEN]: TaskEnd.UNKNOWN,
  [AgentTaskEvent.UNSENT]: TaskEnd.NOT_STARTED,
};

/**
 * Tracks the tasks of one agent: which wait, which run, and which ends are not
 * yet acknowledged.
 *
 * Every start order is accepted at most once, by its sequence. A task that was
 * sent to the target is never sent again. The owner carries out what the methods
 * return; the registry itself performs no I/O and reads no clock.
 */
export class StartRegistry {
  private readonly chart = Chart.create(readChart('agent_task'), {
    states: AgentTaskState,
    events: AgentTaskEvent,
  });
  private readonly sessions = new Map<string, EntrySession>();
  private queue: AgentTask[] = [];
  private runningCount = 0;

  private constructor(private readonly queueLimit: number) {}

  /**
   * Creates an empty registry. Its queue holds at most `queueLimit` tasks in
   * addition to one for each free slot.
   */
  static create(queueLimit: number): StartRegistry {
    return new StartRegistry(queueLimit);
  }

  /** Number of tasks running at the target. */
  get running(): number {
    return this.runningCount;
  }

  /** Number of tasks that wait for a slot. */
  get queued(): number {
    return this.queue.length;
  }

  /** Returns the highest sequence received from an entry's incarnation; 0 if none. */
  getHighestSequence(entry: string): number {
    return this.sessions.get(entry)?.highestSequence ?? 0;
  }

  /** Returns the number of an entry's tasks that wait or run. */
  countOutstanding(entry: string): number {
    return this.sessions.get(entry)?.outstanding ?? 0;
  }

  /** Lists the ends that an entry has not acknowledged, oldest first. */
  listReports(entry: string): readonly TaskReport[] {
    return [...(this.sessions.get(entry)?.reports.values() ?? [])];
  }

  /** Whether no task waits or runs and no end is unacknowledged. */
  get isIdle(): boolean {
    if (this.runningCount > 0 || this.queue.length > 0) return false;
    for (const session of this.sessions.values()) {
      if (session.reports.size > 0) return false;
    }
    return true;
  }

  /**
   * Handles a start order of an entry's incarnation.
   *
   * @return the report of a refusal, or undefined if the task was queued (call
   *     `startNext`). A duplicate order also returns undefined: its end has been
   *     reported or is still to come.
   */
  receive(
    entry: string,
    order: StartOrder,
    conditions: StartConditions,
  ): TaskReport | undefined {
    const session = this.openSession(entry);
    if (order.sequence <= session.highestSequence) return undefined;
    session.highestSequence = order.sequence;
    const task: AgentTask = {
      entry,
      order,
      receivedAtMs: conditions.nowMs,
      startedAtMs: 0,
      state: this.chart.initial,
    };
    session.tasks.set(order.sequence, task);
    session.outstanding += 1;
    const refusal = this.findRefusal(conditions);
    if (refusal !== NotStartedReason.NONE) return this.refuse(task, refusal);
    this.queue.push(task);
    return undefined;
  }

  /**
   * Takes the next task from the queue to run it at the target.
   *
   * @return the task to run, or undefined if none may start now.
   */
  startNext(conditions: StartConditions): AgentTask | undefined {
    if (this.runningCount >= conditions.slots) return undefined;
    if (conditions.permittedUntilMs <= conditions.nowMs) return undefined;
    const task = this.queue.shift();
    if (task === undefined) return undefined;
    task.state = this.chart.step(task.state, AgentTaskEvent.START).state;
    task.startedAtMs = conditions.nowMs;
    this.runningCount += 1;
    return task;
  }

  /** Refuses waiting tasks whose time limit to start has passed; returns the reports. */
  expire(nowMs: number): Array<[entry: string, report: TaskReport]> {
    return this.refuseQueued(
      NotStartedReason.EXPIRED,
      task => nowMs >= task.receivedAtMs + task.order.startWithinMs,
    );
  }

  /** Refuses all waiting tasks, for instance after the target left; returns the reports. */
  refuseAll(
    reason: NotStartedReason,
  ): Array<[entry: string, report: TaskReport]> {
    return this.refuseQueued(reason, () => true);
  }

  /** Refuses those of an entry's named tasks that still wait; returns the reports. */
  withdraw(entry: string, sequences: readonly number[]): TaskReport[] {
    const wanted = new Set(sequences);
    const withdrawn = this.refuseQueued(
      NotStartedReason.WITHDRAWN,
      task => task.entry === entry && wanted.has(task.order.sequence),
    );
    return withdrawn.map(([, report]) => report);
  }

  /** Records how a task ended at the target; returns the report to send. */
  finish(task: AgentTask, end: RunEnd, nowMs: number): TaskReport {
    this.runningCount -= 1;
    task.state = this.chart.step(task.state, end.event).state;
    return this.record(task, {
      sequence: task.order.sequence,
      end: ENDS[end.event],
      reason:
        end.event === AgentTaskEvent.UNSENT
          ? NotStartedReason.TARGET_UNREACHABLE
          : NotStartedReason.NONE,
      result: end.result,
      runMs: nowMs - task.startedAtMs,
      queuedMs: task.startedAtMs - task.receivedAtMs,
      targetStatus: end.targetStatus,
    });
  }

  /** Removes ends that the entry has acknowledged. */
  acknowledge(entry: string, sequences: readonly number[]): void {
    const session = this.sessions.get(entry);
    if (session === undefined) return;
    for (const sequence of sequences) {
      const task = session.tasks.get(sequence);
      if (task === undefined || !session.reports.has(sequence)) continue;
      task.state = this.chart.step(
        task.state,
        AgentTaskEvent.ACKNOWLEDGE,
      ).state;
      session.reports.delete(sequence);
      session.tasks.delete(sequence);
    }
  }

  /**
   * Removes an incarnation of an entry that will not return. Its waiting tasks are
   * dropped; the reports of its running tasks are not retained.
   */
  forget(entry: string): void {
    this.queue = this.queue.filter(task => task.entry !== entry);
    this.sessions.delete(entry);
  }

  private openSession(entry: string): EntrySession {
    const known = this.sessions.get(entry);
    if (known !== undefined) return known;
    const session: EntrySession = {
      highestSequence: 0,
      outstanding: 0,
      tasks: new Map(),
      reports: new Map(),
    };
    this.sessions.set(entry, session);
    return session;
  }

  private findRefusal(conditions: StartConditions): NotStartedReason {
    if (conditions.refusal !== NotStartedReason.NONE) return conditions.refusal;
    if (conditions.slots === 0) return NotStartedReason.NO_TARGET;
    const capacity = conditions.slots - this.runningCount + this.queueLimit;
    if (this.queue.length >= capacity) return NotStartedReason.QUEUE_FULL;
    return NotStartedReason.NONE;
  }

  private refuseQueued(
    reason: NotStartedReason,
    matches: (task: AgentTask) => boolean,
  ): Array<[entry: string, report: TaskReport]> {
    if (this.queue.length === 0) return [];
    const refused = this.queue.filter(matches);
    if (refused.length === 0) return [];
    this.queue = this.queue.filter(task => !matches(task));
    return refused.map(task => [task.entry, this.refuse(task, reason)]);
  }

  private refuse(task: AgentTask, reason: NotStartedReason): TaskReport {
    task.state = this.chart.step(task.state, AgentTaskEvent.REFUSE).state;
    return this.record(task, {
      sequence: task.order.sequence,
      end: TaskEnd.NOT_STARTED,
      reason,
      result: NO_BYTES,
      runMs: 0,
      queuedMs: 0,
      targetStatus: 0,
    });
  }

  private record(task: AgentTask, report: TaskReport): TaskReport {
    const session = this.sessions.get(task.entry);
    if (session === undefined) return report;
    session.outstanding -= 1;
    session.reports.set(report.sequence, report);
    return report;
  }
}
