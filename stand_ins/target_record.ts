/** What really happened at a target: every start, end, refusal and violation. */
import type {TargetMode} from './target_work.js';

/** How a started task ended. */
export enum StartOutcome {
  RUNNING = 'running',
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  /** The client closed the connection before the end. */
  ABANDONED = 'abandoned',
}

/** Why a task was not started. */
export enum RefusalReason {
  LATE = 'late',
  OTHER_INSTANCE = 'other-instance',
  LEAVING = 'leaving',
}

/** Names a task as its request does. */
export interface TaskName {
  readonly job: string;
  readonly index: number;
  /** Field `id` of the payload, or null. */
  readonly id: unknown;
}

/** One start. Times are those of the host's monotonic clock. */
export interface StartEntry extends TaskName {
  /** Rises by one with each start, from 1. */
  readonly sequence: number;
  readonly instance: string;
  readonly startMs: number;
  readonly endMs: number | null;
  readonly outcome: StartOutcome;
}

/** One task that was proven not started. */
export interface RefusalEntry extends TaskName {
  readonly atMs: number;
  readonly reason: RefusalReason;
}

/** The record as `GET /record` shows it. */
export interface RecordReport {
  readonly name: string;
  readonly instance: string;
  readonly running: number;
  /** Sequence of the last start. */
  readonly last: number;
  readonly starts: readonly StartEntry[];
  readonly refusals: readonly RefusalEntry[];
  /** Changes of mode, with their times. */
  readonly modes: ReadonlyArray<{readonly mode: string; readonly atMs: number}>;
  readonly violations: Violations;
}

/** How often the agent broke the target's limits. */
export interface Violations {
  /** Starts while all slots were taken. */
  readonly slots: number;
  /** Connections opened for tasks beyond the limit. */
  readonly connections: number;
  /** Starts of a task that had started here before. */
  readonly duplicates: number;
}

/** Limits that the target announced. */
export interface TargetLimits {
  readonly slots: number;
  readonly connections: number;
}

/** Keeps the record of one life of a target. */
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

  /** Number of tasks that run. */
  get running(): number {
    return this.runningCount;
  }

  /** Notes a start; returns its sequence. */
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

  /** Notes the end of a start; false if it had ended before. */
  recordEnd(sequence: number, outcome: StartOutcome, endMs: number): boolean {
    const entry = this.starts[sequence - 1];
    if (entry.endMs !== null) return false;
    this.starts[sequence - 1] = {...entry, endMs, outcome};
    this.runningCount -= 1;
    return true;
  }

  /** Notes a task that was not started. */
  recordRefusal(task: TaskName, reason: RefusalReason, atMs: number): void {
    this.refusals.push({...task, reason, atMs});
  }

  /** Notes a connection that carries its first task. */
  recordConnection(): void {
    this.connectionCount += 1;
    if (this.connectionCount > this.limits.connections) {
      this.violations.connections += 1;
    }
  }

  /** Notes the end of a connection that carried tasks. */
  recordDisconnection(): void {
    this.connectionCount -= 1;
  }

  /** Notes a change of mode. */
  recordMode(mode: TargetMode, atMs: number): void {
    this.modes.push({mode, atMs});
  }

  /** Reports the starts after a sequence, and everything else whole. */
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
