/** Gathers the evidence of a run: answers, starts, changes, revisions. */
import type {
  Change,
  Evidence,
  RecordedStart,
  RevisionSample,
  Submission,
} from './evidence.js';

/** Keeps what was observed; the verdict reads it when the run has ended. */
export class Observer {
  private readonly submissions: Submission[] = [];
  private readonly changes = new Map<string, Change>();
  private readonly revisions: RevisionSample[] = [];
  // By target and life, since a replaced target begins a record of its own.
  private readonly starts = new Map<string, readonly RecordedStart[]>();
  private readonly violations = new Map<string, number>();

  private constructor() {}

  /** Creates an observer that has seen nothing. */
  static create(): Observer {
    return new Observer();
  }

  /** Adds a submission with its answer. */
  readonly addSubmission = (submission: Submission): void => {
    this.submissions.push(submission);
  };

  /** Adds a change, or replaces what is known of it. */
  setChange(change: Change): void {
    this.changes.set(change.name, change);
  }

  /** Returns a change by its name. */
  findChange(name: string): Change | undefined {
    return this.changes.get(name);
  }

  /** Adds the revision that a process reported. */
  addRevision(sample: RevisionSample): void {
    this.revisions.push(sample);
  }

  /** Replaces the record of one life of a target by a longer one. */
  setStarts(
    life: string,
    starts: readonly RecordedStart[],
    violations: number,
  ): void {
    this.starts.set(life, starts);
    this.violations.set(life, violations);
  }

  /** Lists all starts seen so far. */
  listStarts(): RecordedStart[] {
    return [...this.starts.values()].flat();
  }

  /** Lists all submissions that have ended. */
  listSubmissions(): readonly Submission[] {
    return this.submissions;
  }

  /** Returns everything that was observed. */
  createEvidence(endedAtMs: number): Evidence {
    return {
      submissions: this.submissions,
      starts: this.listStarts(),
      changes: [...this.changes.values()],
      revisions: this.revisions,
      limitViolations: [...this.violations.values()].reduce(
        (sum, count) => sum + count,
        0,
      ),
      endedAtMs,
    };
  }
}
