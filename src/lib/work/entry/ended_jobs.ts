/** The final states of recently ended jobs, for callers that query them. */
import type {JobState} from './work_charts.js';

/** Time in milliseconds for which the final state of a job is retained. */
const RETENTION_MS = 10_000;

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

  /** Records the final state of a job. */
  add(name: string, state: JobState, nowMs: number): void {
    this.jobs.set(name, {state, endedAtMs: nowMs});
  }

  /** Removes states past the retention time; the map lists the oldest first. */
  removeExpired(nowMs: number): void {
    for (const [name, {endedAtMs}] of this.jobs) {
      if (nowMs - endedAtMs < RETENTION_MS) break;
      this.jobs.delete(name);
    }
  }
}
