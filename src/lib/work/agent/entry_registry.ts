/** The entries known to an agent: contact, orders, unacknowledged run ends. */
import {formatRunKey} from '../../decisions/held_run.js';
import type {RunEndReport} from '../../core/work_frames.js';

/** What an entry has been told of the target; see `TargetReporter`. */
export interface ReportedTarget {
  readonly descriptionNumber: number;
  readonly loadNumber: number;
  readonly through: number;
  readonly isReleased: boolean;
}

const NOTHING_REPORTED: ReportedTarget = {
  descriptionNumber: 0,
  loadNumber: 0,
  through: 0,
  isReleased: false,
};

/** State of one incarnation of an entry, as seen by the agent. */
export interface KnownEntry {
  readonly incarnation: string;
  /** Number of the open link; undefined while there is none. */
  linkId: number | undefined;
  /**
   * Local send time of the latest ping that this incarnation has answered; 0
   * before the first. A link that opens proves nothing: the entry greets it before
   * it has received anything.
   */
  lastContactMs: number;
  /** Local time at which the agent began to open its latest link. */
  openedAtMs: number;
  /** Highest sequence number of the orders received from it. */
  lastOrderSequence: number;
  /** Run ends that it has not acknowledged, by run key. */
  readonly unacknowledgedEnds: Map<string, RunEndReport>;
  /** Processor time of the work queued there, in core-milliseconds. */
  backlog: number;
  /** Revision of the configuration in force there, as last reported. */
  revision: number;
  /** What was last reported on the open link. */
  reported: ReportedTarget;
  /** Local time since which the link is to be closed; 0 while it is wanted. */
  releasedAtMs: number;
  /** Whether the next report follows a change that this entry waits for. */
  isReportUrgent: boolean;
}

/** Time in milliseconds without contact or link after which an entry is removed. */
const RETENTION_MS = 30_000;

/** The entries known to an agent, by incarnation. */
export class EntryRegistry {
  private readonly entries = new Map<string, KnownEntry>();

  private constructor() {}

  /** Creates an empty registry. */
  static create(): EntryRegistry {
    return new EntryRegistry();
  }

  /** Finds an entry by its incarnation. */
  find(incarnation: string): KnownEntry | undefined {
    return this.entries.get(incarnation);
  }

  /** Lists all known incarnations. */
  listEntries(): KnownEntry[] {
    return [...this.entries.values()];
  }

  /** Records an opened link and returns the state of its entry. */
  openLink(
    incarnation: string,
    linkId: number,
    openedAtMs: number,
  ): KnownEntry {
    const known = this.entries.get(incarnation);
    if (known !== undefined) {
      known.linkId = linkId;
      known.releasedAtMs = 0;
      known.reported = NOTHING_REPORTED;
      known.openedAtMs = openedAtMs;
      return known;
    }
    const entry: KnownEntry = {
      incarnation,
      linkId,
      lastContactMs: 0,
      openedAtMs,
      lastOrderSequence: 0,
      unacknowledgedEnds: new Map(),
      backlog: 0,
      revision: 0,
      reported: NOTHING_REPORTED,
      releasedAtMs: 0,
      isReportUrgent: false,
    };
    this.entries.set(incarnation, entry);
    return entry;
  }

  /** Records a closed link; ignored if the entry has opened a newer one. */
  closeLink(incarnation: string, linkId: number): void {
    const entry = this.entries.get(incarnation);
    if (entry?.linkId === linkId) entry.linkId = undefined;
  }

  /** Stores a run end until its entry acknowledges it. */
  addEnd(incarnation: string, report: RunEndReport): void {
    const key = formatRunKey(report.task, report.run);
    this.entries.get(incarnation)?.unacknowledgedEnds.set(key, report);
  }

  /** Removes a run end that its entry has acknowledged. */
  removeEnd(incarnation: string, task: string, run: number): void {
    this.entries
      .get(incarnation)
      ?.unacknowledgedEnds.delete(formatRunKey(task, run));
  }

  /** Removes unlinked entries without contact for `RETENTION_MS`. */
  removeStale(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.linkId !== undefined) continue;
      const seenAtMs = Math.max(entry.lastContactMs, entry.openedAtMs);
      if (nowMs - seenAtMs > RETENTION_MS) this.entries.delete(key);
    }
  }
}
