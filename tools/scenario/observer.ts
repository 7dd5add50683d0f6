/** Gathers the evidence of a run: answers, starts, changes, revisions. */
import type {
  Change,
  Evidence,
  RecordedStart,
  RevisionSample,
  Submission,
} from './evidence.js';
import type {TargetRecord} from './target_record.js';

/** Keeps what was observed; the verdict reads it when the run has ended. */
export class Observer {
  private readonly submissions: Submission[] = [];
  private readonly changes = new Map<string, Change>();
  private readonly revisions: RevisionSample[] = [];
  // By target and life, since a replaced target begins a record of its own.
  private readonly records = new Map<string, TargetRecord>();

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
  setRecord(life: string, record: TargetRecord): void {
    this.records.set(life, record);
  }

  /** Lists all starts seen so far. */
  listStarts(): RecordedStart[] {
    return [...this.records.values()].flatMap(({starts}) => [...starts]);
  }

  /** Lists all submissions that have ended. */
  listSubmissions(): readonly Submission[] {
    return this.submissions;
  }

  /** Returns everything that was observed. */
  createEvidence(endedAtMs: number): Evidence {
    const records = [...this.records.values()];
    return {
      submissions: this.submissions,
      starts: this.listStarts(),
      refusals: records.flatMap(({refusals}) => [...refusals]),
      changes: [...this.changes.values()],
      revisions: this.revisions,
      limitViolations: records.reduce(
        (sum, {violations}) => sum + violations,
        0,
      ),
      endedAtMs,
    };
  }
}
