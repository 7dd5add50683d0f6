/** The jobs that have ended lately, for callers that ask for them. */
import type {JobState} from './work_charts.js';

/** Time in milliseconds for which the end of a job is remembered. */
const RETENTION_MS = 10_000;

interface EndedJob {
  readonly state: JobState;
  readonly endedAtMs: number;
}

/** Remembers how jobs ended. Owned by the ledger. */
export class EndedJobs {
  private readonly jobs = new Map<string, EndedJob>();

  private constructor() {}

  /** Creates a memory of no job. */
  static create(): EndedJobs {
    return new EndedJobs();
  }

  /** Finds how a job ended. */
  find(name: string): JobState | undefined {
    return this.jobs.get(name)?.state;
  }

  /** Remembers the end of a job. */
  add(name: string, state: JobState, nowMs: number): void {
    this.jobs.set(name, {state, endedAtMs: nowMs});
  }

  /** Forgets ends that are old; the map lists the oldest first. */
  removeExpired(nowMs: number): void {
    for (const [name, {endedAtMs}] of this.jobs) {
      if (nowMs - endedAtMs < RETENTION_MS) break;
      this.jobs.delete(name);
    }
  }
}
