/** The agent's task that owns the connections to its target. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {ChartInstance} from '../core/chart_instance.js';
import type {ReadMonotonicMs, StartTimer, StopTimer} from '../core/clock.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import {TargetCondition} from '../core/link_messages.js';
import {AgentTaskEvent} from '../decisions/agent_task.js';
import type {AgentTask, RunEnd} from '../decisions/agent_task.js';
import {RunnerMessageKind, TargetMessageKind} from './runner_messages.js';
import type {
  RunnerMessage,
  TargetAnnouncement,
  TargetMessage,
} from './runner_messages.js';
import type {ConnectTarget, TargetConnections} from './target_client.js';

/** States of `charts/target.yaml`. */
export enum TargetState {
  ABSENT = 'absent',
  PRESENT = 'present',
  LEAVING = 'leaving',
}

/** Events of `charts/target.yaml`. */
export enum TargetEvent {
  ANNOUNCE = 'announce',
  REPLACE = 'replace',
  LEAVE = 'leave',
  IDLE = 'idle',
  UNREACHABLE = 'unreachable',
  LEASE = 'timer.lease',
}

/** Actions of `charts/target.yaml`. */
export enum TargetAction {
  CONNECT = 'connect',
  DISCONNECT = 'disconnect',
}

/** Options of `TargetManager.create`. */
export interface TargetManagerOptions {
  /** Validity of an announcement in milliseconds. */
  readonly leaseMs: number;
  readonly resultBytesAtMost: number;
  readonly connect: ConnectTarget;
  readonly postToRunner: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportState: (state: TargetState, name: string) => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

const MAILBOX_CAPACITY = 100_000;
const NO_BYTES = new Uint8Array(0);

const CONDITIONS: Readonly<Record<TargetState, TargetCondition>> = {
  [TargetState.ABSENT]: TargetCondition.ABSENT,
  [TargetState.PRESENT]: TargetCondition.PRESENT,
  [TargetState.LEAVING]: TargetCondition.LEAVING,
};

/**
 * Tracks the target's announcements, sends tasks to it and reports their ends.
 *
 * A task is sent only while the target is present and the task's start limit has
 * not passed; both are checked immediately before the request is written.
 */
export class TargetManager {
  private readonly task: Task<TargetMessage>;
  private readonly chart: ChartInstance<TargetState, TargetEvent>;
  private announcement: TargetAnnouncement | undefined;
  private connections: TargetConnections | undefined;
  /** Last instance that deregistered; renewals of it that arrive late are ignored. */
  private deregisteredInstance = '';
  private runningCount = 0;
  private renewLease: () => void = () => undefined;

  private constructor(private readonly options: TargetManagerOptions) {
    this.task = Task.create<TargetMessage>({
      name: 'target manager',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    const chart = Chart.create(readChart('target'), {
      states: TargetState,
      events: TargetEvent,
      actions: Object.values(TargetAction),
    });
    this.chart = ChartInstance.create(chart, {
      startNamedTimer: (_name, fire) => this.startLease(fire),
      fire: event => this.post({kind: TargetMessageKind.TIMER, event}),
      perform: action => this.perform(action as TargetAction),
    });
  }

  /** Creates a manager without a target; it waits for an announcement. */
  static create(options: TargetManagerOptions): TargetManager {
    const manager = new TargetManager(options);
    manager.task.store.add(() => manager.connections?.close());
    manager.task.store.add(() => manager.chart.stopTimers());
    return manager;
  }

  /** Posts a message to the manager. */
  get post(): Post<TargetMessage> {
    return this.task.post;
  }

  /** Closes the connections after requests in progress have ended. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: TargetMessage): void {
    switch (message.kind) {
      case TargetMessageKind.ANNOUNCED:
        this.handleAnnouncement(message.announcement);
        break;
      case TargetMessageKind.DEREGISTERED:
        this.deregisteredInstance = message.instance;
        if (message.instance === this.announcement?.instance) {
          this.change(TargetEvent.LEAVE);
        }
        break;
      case TargetMessageKind.TIMER:
        this.change(message.event as TargetEvent);
        break;
      case TargetMessageKind.RUN:
        this.start(message.task, message.startBeforeMs);
        break;
      case TargetMessageKind.RUN_FINISHED:
        this.finish(message.task, message.instance, message.end);
        break;
    }
    if (this.runningCount === 0 && this.chart.state === TargetState.LEAVING) {
      this.change(TargetEvent.IDLE);
    }
  }

  private handleAnnouncement(announcement: TargetAnnouncement): void {
    if (announcement.instance === this.deregisteredInstance) return;
    const isSame =
      this.connections !== undefined &&
      announcement.instance === this.announcement?.instance;
    this.announcement = announcement;
    this.change(isSame ? TargetEvent.ANNOUNCE : TargetEvent.REPLACE);
    this.renewLease();
  }

  private change(event: TargetEvent): void {
    const before = this.chart.state;
    const {state, actions} = this.chart.send(event);
    if (state === before && actions.length === 0) return;
    this.options.reportState(state, this.announcement?.name ?? '');
    this.options.postToRunner({
      kind: RunnerMessageKind.TARGET_CHANGED,
      target: {
        condition: CONDITIONS[state],
        name: this.announcement?.name ?? '',
        instance: this.announcement?.instance ?? '',
        slots: state === TargetState.ABSENT ? 0 : this.announcement!.slots,
      },
    });
  }

  private perform(action: TargetAction): void {
    switch (action) {
      case TargetAction.CONNECT:
        this.connections = this.options.connect(this.announcement!);
        break;
      case TargetAction.DISCONNECT:
        this.connections
          ?.close()
          .catch(failure => this.options.reportFailure(failure, action));
        this.connections = undefined;
        break;
    }
  }

  private start(task: AgentTask, startBeforeMs: number): void {
    const isPresent = this.chart.state === TargetState.PRESENT;
    const isLate = this.options.readMonotonicMs() >= startBeforeMs;
    if (!isPresent || isLate || this.connections === undefined) {
      this.reportEnd(task, {
        event: AgentTaskEvent.UNSENT,
        result: NO_BYTES,
        targetStatus: 0,
      });
      return;
    }
    this.runningCount += 1;
    const instance = this.announcement!.instance;
    const {resultBytesAtMost} = this.options;
    void this.connections
      .run(task, {startBeforeMs, resultBytesAtMost})
      .then(end =>
        this.post({kind: TargetMessageKind.RUN_FINISHED, task, instance, end}),
      );
  }

  private finish(task: AgentTask, instance: string, end: RunEnd): void {
    this.runningCount -= 1;
    // If a connection could not be opened, the target counts as absent even
    // though its lease has not expired; its next announcement makes it present.
    const isUnreachable =
      end.event === AgentTaskEvent.UNSENT && end.targetStatus === 0;
    if (isUnreachable && instance === this.announcement?.instance) {
      this.change(TargetEvent.UNREACHABLE);
    }
    this.reportEnd(task, end);
  }

  private reportEnd(task: AgentTask, end: RunEnd): void {
    this.options.postToRunner({kind: RunnerMessageKind.RUN_ENDED, task, end});
  }

  private startLease(fire: () => void): StopTimer {
    const start = () => this.options.startTimer(this.options.leaseMs, fire);
    let stop = start();
    this.renewLease = () => {
      stop();
      stop = start();
    };
    return () => {
      stop();
      this.renewLease = () => undefined;
    };
  }
}
