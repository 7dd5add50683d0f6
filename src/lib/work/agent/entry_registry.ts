/** What an agent keeps of each entry: contact, orders taken, ends to confirm. */
import {formatRunKey} from '../../decisions/held_run.js';
import type {RunEndReport} from '../../core/work_frames.js';

/** One life of an entry, as the agent knows it. */
export interface KnownEntry {
  readonly incarnation: string;
  /** Number of the open link; undefined while there is none. */
  link: number | undefined;
  /** Our time of the latest ping that this life has answered. */
  lastContactMs: number;
  /** Highest sequence of its orders that was taken. */
  lastOrderSequence: number;
  /** Ends that it has not acknowledged. */
  readonly unacknowledgedEnds: Map<string, RunEndReport>;
  /** Processor time waiting there, in thousandths of core-seconds. */
  backlog: number;
}

/** Time in milliseconds after which an entry without contact is forgotten. */
const FORGET_AFTER_MS = 30_000;

/** Keeps the entries of an agent. */
export class EntryRegistry {
  private readonly entries = new Map<string, KnownEntry>();

  private constructor() {}

  /** Creates an empty book. */
  static create(): EntryRegistry {
    return new EntryRegistry();
  }

  /** Finds a life of an entry. */
  find(life: string): KnownEntry | undefined {
    return this.entries.get(life);
  }

  /** Lists all lives known. */
  listEntries(): KnownEntry[] {
    return [...this.entries.values()];
  }

  /** Takes an opened link; returns the entry's record. */
  openLink(life: string, link: number, nowMs: number): KnownEntry {
    const known = this.entries.get(life);
    if (known !== undefined) {
      known.link = link;
      known.lastContactMs = nowMs;
      return known;
    }
    const entry: KnownEntry = {
      incarnation: life,
      link,
      lastContactMs: nowMs,
      lastOrderSequence: 0,
      unacknowledgedEnds: new Map(),
      backlog: 0,
    };
    this.entries.set(life, entry);
    return entry;
  }

  /** Takes a closed link. */
  closeLink(life: string, link: number): void {
    const entry = this.entries.get(life);
    if (entry?.link === link) entry.link = undefined;
  }

  /** Keeps an end until its entry acknowledges it. */
  addEnd(life: string, report: RunEndReport): void {
    const key = formatRunKey(report.task, report.run);
    this.entries.get(life)?.unacknowledgedEnds.set(key, report);
  }

  /** Drops an end that its entry has. */
  removeEnd(life: string, task: string, run: number): void {
    this.entries.get(life)?.unacknowledgedEnds.delete(formatRunKey(task, run));
  }

  /** Forgets lives that have long been without contact. */
  removeStale(nowMs: number): void {
    for (const [life, entry] of this.entries) {
      if (entry.link !== undefined) continue;
      if (nowMs - entry.lastContactMs > FORGET_AFTER_MS)
        this.entries.delete(life);
    }
  }
}
