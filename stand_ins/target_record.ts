/** Ground truth of a target: every start, end, refusal and limit violation. */
import type {TargetMode} from './target_work.js';

/** State of a started task. */
export enum StartOutcome {
  RUNNING = 'running',
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  /** The client closed the connection before the task ended. */
  ABANDONED = 'abandoned',
}

/** Why a task was not started. */
export enum RefusalReason {
  LATE = 'late',
  OTHER_INSTANCE = 'other-instance',
  LEAVING = 'leaving',
}

/** Identifies a task, as its request does. */
export interface TaskName {
  readonly job: string;
  readonly index: number;
  /** Field `id` of the payload, or null. */
  readonly id: unknown;
}

/**
 * Record of one start. Times are milliseconds of the host's monotonic clock.
 */
export interface StartEntry extends TaskName {
  /** Number of the start, counted from 1. */
  readonly sequence: number;
  readonly instance: string;
  readonly startMs: number;
  readonly endMs: number | null;
  readonly outcome: StartOutcome;
}

/** Record of a task that was refused and certainly not started. */
export interface RefusalEntry extends TaskName {
  readonly atMs: number;
  readonly reason: RefusalReason;
}

/** Body of the reply to `GET /record`. */
export interface RecordReport {
  readonly name: string;
  readonly instance: string;
  readonly running: number;
  /** Sequence number of the last start. */
  readonly last: number;
  readonly starts: readonly StartEntry[];
  readonly refusals: readonly RefusalEntry[];
  /** Mode changes with their times. */
  readonly modes: ReadonlyArray<{readonly mode: string; readonly atMs: number}>;
  readonly violations: Violations;
}

/** How often the agent violated the target's limits. */
export interface Violations {
  /** Starts while all slots were in use. */
  readonly slots: number;
  /** Task connections opened beyond the limit. */
  readonly connections: number;
  /** Starts of a task that this instance had started before. */
  readonly duplicates: number;
}

/** Limits that the target announces. */
export interface TargetLimits {
  readonly slots: number;
  readonly connections: number;
}

/** Records what one instance of a target runs and refuses. */
export class TargetRecord {
  private readonly starts: StartEntry[] = [];
  private readonly refusals: RefusalEntry[] = [];
  private readonly modes: Array<{mode: string; atMs: number}> = [];
  private readonly started = new Set<string>();
  private readonly violations = {slots: 0, connections: 0, duplicates: 0};
  private runningCount = 0;
  private connectionCount = 0;

  private constructor(
    private readonly name: string,
    private readonly instance: string,
    private readonly limits: TargetLimits,
  ) {}

  /** Creates an empty record. */
  static create(
    name: string,
    instance: string,
    limits: TargetLimits,
  ): TargetRecord {
    return new TargetRecord(name, instance, limits);
  }

  /** Number of running tasks. */
  get running(): number {
    return this.runningCount;
  }

  /** Records a start, with any violation; returns its sequence number. */
  recordStart(task: TaskName, startMs: number): number {
    if (this.runningCount >= this.limits.slots) this.violations.slots += 1;
    const name = `${task.job}/${task.index}`;
    if (this.started.has(name)) this.violations.duplicates += 1;
    this.started.add(name);
    this.runningCount += 1;
    const sequence = this.starts.length + 1;
    this.starts.push({
      ...task,
      sequence,
      instance: this.instance,
      startMs,
      endMs: null,
      outcome: StartOutcome.RUNNING,
    });
    return sequence;
  }

  /**
   * Records the end of a started task; returns false if it had already ended.
   */
  recordEnd(sequence: number, outcome: StartOutcome, endMs: number): boolean {
    const entry = this.starts[sequence - 1];
    if (entry.endMs !== null) return false;
    this.starts[sequence - 1] = {...entry, endMs, outcome};
    this.runningCount -= 1;
    return true;
  }

  /** Records a refused task. */
  recordRefusal(task: TaskName, reason: RefusalReason, atMs: number): void {
    this.refusals.push({...task, reason, atMs});
  }

  /** Records a connection on its first task. */
  recordConnection(): void {
    this.connectionCount += 1;
    if (this.connectionCount > this.limits.connections) {
      this.violations.connections += 1;
    }
  }

  /** Records the end of a connection that carried tasks. */
  recordDisconnection(): void {
    this.connectionCount -= 1;
  }

  /** Records a mode change. */
  recordMode(mode: TargetMode, atMs: number): void {
    this.modes.push({mode, atMs});
  }

  /**
   * Returns the starts after a sequence number, and the whole of all other
   * records.
   */
  report(after: number): RecordReport {
    return {
      name: this.name,
      instance: this.instance,
      running: this.runningCount,
      last: this.starts.length,
      starts: this.starts.slice(after),
      refusals: this.refusals,
      modes: this.modes,
      violations: {...this.violations},
    };
  }
}
