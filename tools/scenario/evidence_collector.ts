/** Collects the evidence of a run: answers, starts, changes and revisions. */
import type {
  Change,
  Evidence,
  RecordedStart,
  RevisionSample,
  Submission,
} from './evidence.js';
import type {TargetRecord} from './target_record.js';

/** Stores observations during a run and returns them as evidence. */
export class EvidenceCollector {
  private readonly submissions: Submission[] = [];
  private readonly changes = new Map<string, Change>();
  private readonly revisions: RevisionSample[] = [];
  // By target and incarnation, since a restarted target begins a new record.
  private readonly records = new Map<string, TargetRecord>();

  private constructor() {}

  /** Creates a collector without observations. */
  static create(): EvidenceCollector {
    return new EvidenceCollector();
  }

  /** Adds a submission that has ended. */
  readonly addSubmission = (submission: Submission): void => {
    this.submissions.push(submission);
  };

  /** Adds a change or updates it, by its name. */
  setChange(change: Change): void {
    this.changes.set(change.name, change);
  }

  /** Returns the change of that name, if any. */
  findChange(name: string): Change | undefined {
    return this.changes.get(name);
  }

  /** Adds a revision reported by a process. */
  addRevision(sample: RevisionSample): void {
    this.revisions.push(sample);
  }

  /** Replaces the record of a target incarnation by a more recent one. */
  setRecord(incarnation: string, record: TargetRecord): void {
    this.records.set(incarnation, record);
  }

  /** Lists all starts recorded so far. */
  listStarts(): RecordedStart[] {
    return [...this.records.values()].flatMap(({starts}) => [...starts]);
  }

  /** Lists all submissions that have ended. */
  listSubmissions(): readonly Submission[] {
    return this.submissions;
  }

  /** Returns all observations as evidence. */
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
