/** Decides at an agent which start orders run, wait or are refused. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {TaskEnd} from '../core/job.js';
import {NotStartedReason} from '../core/link_messages.js';
import type {StartOrder, TaskReport} from '../core/link_messages.js';
import {AgentTaskEvent, AgentTaskState} from './agent_task.js';
import type {AgentTask, RunEnd, StartConditions} from './agent_task.js';

/** One entry's life as the agent knows it. */
interface EntryAccount {
  /** Highest sequence received; nothing at or below it is taken again. */
  highestSequence: number;
  outstanding: number;
  readonly tasks: Map<number, AgentTask>;
  /** Ends that the entry has not acknowledged. */
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
 * Keeps the tasks of one agent: which wait, which run, which ends are not yet
 * acknowledged.
 *
 * Every start order is taken at most once, by its sequence. A task that is
 * handed to the target is never handed over again. The caller carries out what
 * the methods return; the book itself does no I/O and reads no clock.
 */
export class StartRegistry {
  private readonly chart = Chart.create(readChart('agent_task'), {
    states: AgentTaskState,
    events: AgentTaskEvent,
  });
  private readonly accounts = new Map<string, EntryAccount>();
  private queue: AgentTask[] = [];
  private runningCount = 0;

  private constructor(private readonly queueLimit: number) {}

  /** Creates an empty book whose queue holds at most `queueLimit` tasks. */
  static create(queueLimit: number): StartRegistry {
    return new StartRegistry(queueLimit);
  }

  /** Number of tasks at the target. */
  get running(): number {
    return this.runningCount;
  }

  /** Number of tasks that wait for a slot. */
  get queued(): number {
    return this.queue.length;
  }

  /** Highest sequence taken from an entry's life, 0 if none. */
  getHighestSequence(entry: string): number {
    return this.accounts.get(entry)?.highestSequence ?? 0;
  }

  /** Number of an entry's tasks that wait or run. */
  countOutstanding(entry: string): number {
    return this.accounts.get(entry)?.outstanding ?? 0;
  }

  /** Lists the ends that an entry has not acknowledged, oldest first. */
  listReports(entry: string): readonly TaskReport[] {
    return [...(this.accounts.get(entry)?.reports.values() ?? [])];
  }

  /** Tells whether nothing waits, runs or is unacknowledged. */
  get isIdle(): boolean {
    if (this.runningCount > 0 || this.queue.length > 0) return false;
    for (const account of this.accounts.values()) {
      if (account.reports.size > 0) return false;
    }
    return true;
  }

  /**
   * Takes a start order from an entry's life.
   *
   * @return the report of a refusal, or undefined if the task now waits (call
   *     `startNext`). A repeated order returns nothing: its end is on record or
   *     on its way.
   */
  receive(
    entry: string,
    order: StartOrder,
    window: StartConditions,
  ): TaskReport | undefined {
    const account = this.openAccount(entry);
    if (order.sequence <= account.highestSequence) return undefined;
    account.highestSequence = order.sequence;
    const task: AgentTask = {
      entry,
      order,
      receivedAtMs: window.nowMs,
      startedAtMs: 0,
      state: this.chart.initial,
    };
    account.tasks.set(order.sequence, task);
    account.outstanding += 1;
    const refusal = this.findRefusal(window);
    if (refusal !== NotStartedReason.NONE) return this.refuse(task, refusal);
    this.queue.push(task);
    return undefined;
  }

  /**
   * Moves the next waiting task to the target.
   *
   * @return the task to run, or undefined if none may start now.
   */
  startNext(window: StartConditions): AgentTask | undefined {
    if (this.runningCount >= window.slots) return undefined;
    if (window.permittedUntilMs <= window.nowMs) return undefined;
    const task = this.queue.shift();
    if (task === undefined) return undefined;
    task.state = this.chart.step(task.state, AgentTaskEvent.START).state;
    task.startedAtMs = window.nowMs;
    this.runningCount += 1;
    return task;
  }

  /** Gives back the waiting tasks whose time to start is over. */
  expire(nowMs: number): Array<[entry: string, report: TaskReport]> {
    return this.refuseQueued(
      NotStartedReason.EXPIRED,
      task => nowMs >= task.receivedAtMs + task.order.startWithinMs,
    );
  }

  /** Gives back all waiting tasks, for instance when the target left. */
  refuseAll(
    reason: NotStartedReason,
  ): Array<[entry: string, report: TaskReport]> {
    return this.refuseQueued(reason, () => true);
  }

  /** Gives back those of an entry's tasks that still wait. */
  withdraw(entry: string, sequences: readonly number[]): TaskReport[] {
    const wanted = new Set(sequences);
    const given = this.refuseQueued(
      NotStartedReason.WITHDRAWN,
      task => task.entry === entry && wanted.has(task.order.sequence),
    );
    return given.map(([, report]) => report);
  }

  /** Records how the target ended a task; returns the report to send. */
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

  /** Forgets ends that the entry has taken. */
  acknowledge(entry: string, sequences: readonly number[]): void {
    const account = this.accounts.get(entry);
    if (account === undefined) return;
    for (const sequence of sequences) {
      const task = account.tasks.get(sequence);
      if (task === undefined || !account.reports.has(sequence)) continue;
      task.state = this.chart.step(
        task.state,
        AgentTaskEvent.ACKNOWLEDGE,
      ).state;
      account.reports.delete(sequence);
      account.tasks.delete(sequence);
    }
  }

  /**
   * Drops an entry's life that will never return. Its waiting tasks go; its
   * running ones end without a report.
   */
  forget(entry: string): void {
    this.queue = this.queue.filter(task => task.entry !== entry);
    this.accounts.delete(entry);
  }

  private openAccount(entry: string): EntryAccount {
    const known = this.accounts.get(entry);
    if (known !== undefined) return known;
    const account: EntryAccount = {
      highestSequence: 0,
      outstanding: 0,
      tasks: new Map(),
      reports: new Map(),
    };
    this.accounts.set(entry, account);
    return account;
  }

  private findRefusal(window: StartConditions): NotStartedReason {
    if (window.refusal !== NotStartedReason.NONE) return window.refusal;
    if (window.slots === 0) return NotStartedReason.NO_TARGET;
    const room = window.slots - this.runningCount + this.queueLimit;
    if (this.queue.length >= room) return NotStartedReason.QUEUE_FULL;
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
    const account = this.accounts.get(task.entry);
    if (account === undefined) return report;
    account.outstanding -= 1;
    account.reports.set(report.sequence, report);
    return report;
  }
}
