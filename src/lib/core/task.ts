/** The unit of concurrency: a task that owns state and sockets. */
import {DisposableStore} from './disposable_store.js';

/** Says what became of a posted message. */
export enum PostOutcome {
  /** The message waits in the mailbox and will be handled. */
  QUEUED = 'queued',
  /** The mailbox is full: the sender must hold the message back or refuse. */
  FULL = 'full',
  /** The task has stopped: the message will never be handled. */
  STOPPED = 'stopped',
}

/** Hands a message to a task. */
export type Post<M> = (message: M) => PostOutcome;

/** What a task needs to be created. */
export interface TaskOptions<M> {
  /** Name for logs. */
  readonly name: string;
  /** Number of messages that may wait. */
  readonly capacity: number;
  /** Handles one message. Runs alone: no two calls of one task overlap. */
  readonly handle: (message: M) => void;
  /** Is told of an exception that `handle` let through. */
  readonly reportFailure: (failure: unknown, message: M) => void;
}

/** Number of messages handled before other work of the event loop gets a turn. */
const MESSAGES_PER_TURN = 256;

/**
 * Handles messages one at a time, in the order they were posted.
 *
 * A task is the only owner of its state and sockets. Others reach it through
 * `post` alone; a full mailbox is answered with `PostOutcome.FULL`, never with
 * silent loss. What the task acquires goes into its `store`, which `stop`
 * disposes in reverse order, once.
 */
export class Task<M> {
  /** Holds what this task must release when it stops. */
  readonly store = DisposableStore.create();

  private mailbox: M[] = [];
  private head = 0;
  private isScheduled = false;

  private constructor(private readonly options: TaskOptions<M>) {}

  /** Creates a task that waits for its first message. */
  static create<M>(options: TaskOptions<M>): Task<M> {
    return new Task(options);
  }

  /** The task's name in logs. */
  get name(): string {
    return this.options.name;
  }

  /** Number of messages that wait. */
  get backlog(): number {
    return this.mailbox.length - this.head;
  }

  /** Puts a message into the mailbox; never calls the handler directly. */
  readonly post: Post<M> = message => {
    if (this.store.isDisposed) return PostOutcome.STOPPED;
    if (this.backlog >= this.options.capacity) return PostOutcome.FULL;
    this.mailbox.push(message);
    this.schedule();
    return PostOutcome.QUEUED;
  };

  /** Drops waiting messages and disposes the store. */
  async stop(): Promise<void> {
    this.mailbox = [];
    this.head = 0;
    await this.store.dispose();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => this.drain());
  }

  private drain(): void {
    let budget = MESSAGES_PER_TURN;
    while (this.backlog > 0 && budget > 0) {
      budget -= 1;
      this.handleNext();
    }
    if (this.backlog > 0) {
      // A macrotask lets socket reads and timers run between two batches.
      setImmediate(() => this.drain());
      return;
    }
    this.mailbox = [];
    this.head = 0;
    this.isScheduled = false;
  }

  private handleNext(): void {
    const message = this.mailbox[this.head];
    this.head += 1;
    try {
      this.options.handle(message);
    } catch (failure) {
      this.options.reportFailure(failure, message);
    }
  }
}
