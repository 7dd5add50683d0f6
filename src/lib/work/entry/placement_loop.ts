/** Runs the rounds of placement of an entry. */
import type {
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import {ResumeHold} from '../../decisions/resume_hold.js';
import {computeRoundSpacing} from '../../decisions/round_spacing.js';
import {AgentFrameKind} from '../../core/work_frames.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import {SchedulerMessageKind} from './scheduler_messages.js';
import type {SchedulerMessage} from './scheduler_messages.js';

/** What a message changes for the jobs that wait for placement. */
export enum RoundTrigger {
  /** Nothing: no round is needed. */
  NONE = 'none',
  /** Capacity, the backlog or the time: a round runs when it is due. */
  CHANGE = 'change',
  /** A job was submitted: a round runs in this turn. */
  JOB = 'job',
}

/** Dependencies of a placement loop. */
export interface PlacementLoopOptions {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly countWaitingJobs: () => number;
  readonly isConnected: () => boolean;
  readonly place: (nowMs: number) => void;
  /** Sends the frames queued in this turn of the event loop. */
  readonly flush: () => void;
}

/** Decides in which turns of the event loop a round of placement runs. */
export class PlacementLoop {
  private readonly hold = ResumeHold.create();
  private isTurnDue = false;
  private isTimerDue = false;
  private trigger = RoundTrigger.NONE;
  private lastRoundMs = 0;

  private constructor(private readonly options: PlacementLoopOptions) {}

  /** Creates a loop that runs when it is called. */
  static create(options: PlacementLoopOptions): PlacementLoop {
    return new PlacementLoop(options);
  }

  /** Checks whether the entry has just resumed from a freeze or a cut. */
  observe(nowMs: number): void {
    const systemMs = this.options.readSystemMs();
    const isConnected = this.options.isConnected();
    if (!this.hold.observe({nowMs, systemMs, isConnected})) return;
    this.options.log(
      FleetEvent.RESUMED,
      'The entry was frozen or cut off; placements wait for callers that left.',
    );
  }

  /** Schedules the end of this turn of the event loop. */
  schedule(trigger: RoundTrigger): void {
    const isUrgent = trigger === RoundTrigger.JOB;
    if (isUrgent || this.trigger === RoundTrigger.NONE) this.trigger = trigger;
    if (this.isTurnDue) return;
    this.isTurnDue = true;
    setImmediate(() => this.endTurn());
  }

  private endTurn(): void {
    this.isTurnDue = false;
    const {readMonotonicMs, countWaitingJobs, place, flush} = this.options;
    const nowMs = readMonotonicMs();
    const waiting = countWaitingJobs();
    if (waiting > 0 && this.trigger !== RoundTrigger.NONE) {
      const dueMs = this.computeDueMs(waiting);
      if (nowMs >= dueMs) {
        this.trigger = RoundTrigger.NONE;
        this.lastRoundMs = nowMs;
        place(nowMs);
      } else {
        this.startTimer(dueMs - nowMs);
      }
    }
    flush();
  }

  private computeDueMs(waiting: number): number {
    const isUrgent = this.trigger === RoundTrigger.JOB;
    const spacingMs = isUrgent ? 0 : computeRoundSpacing(waiting);
    const nextMs = this.lastRoundMs + spacingMs;
    return Math.max(nextMs, this.hold.holdUntilMs);
  }

  private startTimer(delayMs: number): void {
    if (this.isTimerDue) return;
    this.isTimerDue = true;
    this.options.startTimer(Math.max(1, delayMs), () => {
      this.isTimerDue = false;
      this.schedule(RoundTrigger.CHANGE);
    });
  }
}

/** Returns what a message to the scheduler changes for the waiting jobs. */
export function findTrigger(message: SchedulerMessage): RoundTrigger {
  if (message.kind === SchedulerMessageKind.SUBMIT) return RoundTrigger.JOB;
  const isPing =
    message.kind === SchedulerMessageKind.AGENT_FRAMES &&
    message.frames.every(({kind}) => kind === AgentFrameKind.PING);
  return isPing ? RoundTrigger.NONE : RoundTrigger.CHANGE;
}
