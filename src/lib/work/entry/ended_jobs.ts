/** The final states of recently ended jobs, for callers that query them. */
import type {JobState} from './work_charts.js';

/** Time in milliseconds for which the final state of a job is retained. */
const RETENTION_MS = 10_000;

/**
 * Number of final states retained at most, the latest ones. The heaviest load of the
 * users, 1,400 jobs a second over all entries, ends 14,000 in the retention time.
 */
const ENDED_AT_MOST = 20_000;

interface EndedJob {
  readonly state: JobState;
  readonly endedAtMs: number;
}

/** Final states of recently ended jobs, by name. Owned by the job registry. */
export class EndedJobs {
  private readonly jobs = new Map<string, EndedJob>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): EndedJobs {
    return new EndedJobs();
  }

  /** Returns the final state of a job, or undefined if it is not retained. */
  find(name: string): JobState | undefined {
    return this.jobs.get(name)?.state;
  }

  /** Number of final states retained. */
  get size(): number {
    return this.jobs.size;
  }

  /** Records the final state of a job; the oldest one is dropped beyond the maximum. */
  add(name: string, state: JobState, nowMs: number): void {
    // A name that ends again is the latest of all.
    this.jobs.delete(name);
    this.jobs.set(name, {state, endedAtMs: nowMs});
    if (this.jobs.size <= ENDED_AT_MOST) return;
    const [oldest] = this.jobs.keys();
    this.jobs.delete(oldest);
  }

  /** Removes states past the retention time; the map lists the oldest first. */
  removeExpired(nowMs: number): void {
    for (const [name, {endedAtMs}] of this.jobs) {
      if (nowMs - endedAtMs < RETENTION_MS) break;
      this.jobs.delete(name);
    }
  }
}
