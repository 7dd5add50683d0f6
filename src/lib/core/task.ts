/** The unit of concurrency: an actor that owns its state and sockets. */
import {DisposableStore} from './disposable_store.js';

/** Result of posting a message. */
export enum PostOutcome {
  /** The message is in the mailbox and will be handled. */
  QUEUED = 'queued',
  /** The mailbox is full: the sender must delay the message or refuse the work. */
  FULL = 'full',
  /** The task has stopped: the message will never be handled. */
  STOPPED = 'stopped',
}

/** Posts a message to a task's mailbox. */
export type Post<M> = (message: M) => PostOutcome;

/** Options of `Task.create`. */
export interface TaskOptions<M> {
  /** Name of the task in logs. */
  readonly name: string;
  /** Maximum number of messages in the mailbox. */
  readonly capacity: number;
  /** Handles one message; calls of one task never overlap. */
  readonly handle: (message: M) => void;
  /** Called with an exception that `handle` threw. */
  readonly reportFailure: (failure: unknown, message: M) => void;
}

/** Number of messages handled before the task yields to the event loop. */
const MESSAGES_PER_TURN = 256;

/**
 * Number of handled messages from which the mailbox is compacted: under a load
 * that keeps it from getting empty, it would hold all messages ever handled.
 */
const COMPACT_MESSAGES = 1024;

/**
 * Handles messages one at a time, in the order they were posted.
 *
 * A task is the only owner of its state and sockets. Others communicate with it
 * only through `post`, which returns `PostOutcome.FULL` when the mailbox is full
 * and never drops a message silently. Resources that the task acquires are added
 * to its `store`, which `stop` disposes in reverse order, once.
 */
export class Task<M> {
  /** Resources that are released when the task stops. */
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

  /** Number of messages in the mailbox. */
  get backlog(): number {
    return this.mailbox.length - this.head;
  }

  /** Adds a message to the mailbox; never calls the handler directly. */
  readonly post: Post<M> = message => {
    if (this.store.isDisposed) return PostOutcome.STOPPED;
    if (this.backlog >= this.options.capacity) return PostOutcome.FULL;
    this.mailbox.push(message);
    this.schedule();
    return PostOutcome.QUEUED;
  };

  /** Discards the messages in the mailbox and disposes the store. */
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
      // Continuing in a macrotask lets socket reads and timers run between batches.
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
    if (this.head >= COMPACT_MESSAGES && this.head * 2 >= this.mailbox.length) {
      this.mailbox = this.mailbox.slice(this.head);
      this.head = 0;
    }
    try {
      this.options.handle(message);
    } catch (failure) {
      this.options.reportFailure(failure, message);
    }
  }
}
