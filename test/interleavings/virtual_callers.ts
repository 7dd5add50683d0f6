/** Simulates callers that submit a job again, to the other entry, once their connection breaks. */
import {SchedulerMessageKind} from '../../src/lib/work/entry/scheduler_messages.js';
import type {SchedulerMessage} from '../../src/lib/work/entry/scheduler_messages.js';
import type {QueueRule} from '../../src/lib/core/fleet_configuration.js';
import type {JobAnswer} from '../../src/lib/core/work_job.js';
import {formatPayload} from './task_load.js';
import type {CrashLoad} from './task_load.js';
import type {VirtualProcess} from './virtual_process.js';
import type {VirtualTime} from './virtual_time.js';

/** The entry that a caller's connection reaches. */
export interface CalledEntry {
  readonly process: VirtualProcess;
  readonly post: (message: SchedulerMessage) => void;
}

/** A job and what its caller knows of it. */
export interface VirtualJob {
  readonly id: string;
  readonly tasks: number;
  readonly runMs: number;
  readonly sentAtMs: number;
  readonly crash: CrashLoad | undefined;
  /** The latest answer. */
  answer: JobAnswer | undefined;
  /** All answers; several if the caller came again. */
  readonly answers: TimedAnswer[];
}

/** An answer and the time at which the caller read it. */
export interface TimedAnswer {
  readonly answer: JobAnswer;
  readonly atMs: number;
}

interface Attempt {
  readonly job: VirtualJob;
  readonly index: number;
  readonly entry: CalledEntry;
  readonly caller: number;
  isOpen: boolean;
}

/** The queue of all jobs. */
export const RULE: QueueRule = {
  name: 'queue',
  host: 'desk.example',
  prefix: '/jobs/',
  service: 'runner',
  priority: 0,
  attemptsAtMost: 3,
  stretch: 1.6,
  allowanceMs: 60,
};

const RETRY_MS = 1300;
const DEADLINE_MS = 15_000;
const NETWORK_MS = 2;

/** Submits jobs and follows their answers. */
export class VirtualCallers {
  readonly jobs: VirtualJob[] = [];
  private readonly attempts = new Set<Attempt>();
  private lastCaller = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly getEntry: (index: number) => CalledEntry,
    private readonly isPersistent: boolean,
  ) {}

  /**
   * Creates callers that have submitted nothing.
   *
   * @param isPersistent Whether they come again after an answer that asks for it.
   */
  static create(
    time: VirtualTime,
    getEntry: (index: number) => CalledEntry,
    isPersistent: boolean,
  ): VirtualCallers {
    return new VirtualCallers(time, getEntry, isPersistent);
  }

  /** Submits a new job to an entry. */
  submit(index: number, tasks: number, runMs: number, crash?: CrashLoad): void {
    const id = (this.jobs.length + 1).toString(16).padStart(16, '0');
    const sentAtMs = this.time.nowMs;
    const job: VirtualJob = {
      id,
      tasks,
      runMs,
      sentAtMs,
      crash,
      answer: undefined,
      answers: [],
    };
    this.jobs.push(job);
    this.send(job, index);
  }

  /** Resets the connections of the callers of one entry. */
  reset(index: number): void {
    for (const attempt of [...this.attempts]) {
      if (attempt.index === index) this.break(attempt);
    }
  }

  private send(job: VirtualJob, index: number): void {
    const leftMs = job.sentAtMs + DEADLINE_MS - this.time.nowMs;
    if (leftMs <= 0) return;
    const entry = this.getEntry(index);
    if (!entry.process.isAlive) {
      this.time.schedule(RETRY_MS, () => this.send(job, 1 - index));
      return;
    }
    this.lastCaller += 1;
    const caller = this.lastCaller;
    const attempt: Attempt = {job, index, entry, caller, isOpen: true};
    this.attempts.add(attempt);
    const message: SchedulerMessage = {
      kind: SchedulerMessageKind.SUBMIT,
      request: {
        job: job.id,
        request: `${job.id}/${caller}`,
        queue: RULE.name,
        payload: formatPayload(job),
        steps: [createStep(job)],
        deadlineMs: leftMs,
      },
      rule: RULE,
      caller,
      answer: answer =>
        this.time.schedule(NETWORK_MS, () => this.accept(attempt, answer)),
    };
    this.time.schedule(
      NETWORK_MS,
      () => entry.post(message),
      entry.process.host,
    );
    this.time.schedule(leftMs + RETRY_MS, () => {
      if (attempt.isOpen) this.leave(attempt);
    });
  }

  private accept(attempt: Attempt, answer: JobAnswer): void {
    if (!attempt.isOpen || !attempt.entry.process.isAlive) return;
    attempt.isOpen = false;
    this.attempts.delete(attempt);
    const {job, index} = attempt;
    job.answer = answer;
    job.answers.push({answer, atMs: this.time.nowMs});
    const {retryAfterMs} = answer;
    if (!this.isPersistent || retryAfterMs === 0) return;
    this.time.schedule(retryAfterMs, () => this.send(job, 1 - index));
  }

  private break(attempt: Attempt): void {
    this.leave(attempt);
    const other = 1 - attempt.index;
    this.time.schedule(RETRY_MS, () => this.send(attempt.job, other));
  }

  private leave(attempt: Attempt): void {
    attempt.isOpen = false;
    this.attempts.delete(attempt);
    const {job, caller, entry} = attempt;
    const kind = SchedulerMessageKind.CALLER_DISCONNECTED;
    this.time.schedule(
      NETWORK_MS,
      () => entry.post({kind, job: job.id, caller}),
      entry.process.host,
    );
  }
}

function createStep({tasks, runMs}: VirtualJob) {
  return {
    count: tasks,
    need: {cpuMilli: 1000, memoryMb: 10, accelerators: 0},
    estimateMs: runMs,
    after: [],
    requiredLabel: '',
    preferredRack: '',
    perTargetAtMost: 0,
  };
}
