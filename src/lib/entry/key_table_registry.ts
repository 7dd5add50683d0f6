/** The key tables that an entry holds: its own, and those handed over to it. */
import type {JobAnswer} from '../decisions/job_run.js';
import {IdempotencyKeyTable} from '../decisions/idempotency_key_table.js';
import type {KeyTableLimits} from '../decisions/idempotency_key_table.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';

/** Holds one key table for each entry incarnation whose sessions are here. */
export class KeyTableRegistry {
  private readonly tables = new Map<string, IdempotencyKeyTable<JobAnswer>>();

  private constructor(
    private readonly ownIncarnation: string,
    private readonly limits: KeyTableLimits,
    private readonly publishHeld: (incarnations: readonly string[]) => void,
  ) {
    this.tables.set(
      ownIncarnation,
      IdempotencyKeyTable.create<JobAnswer>(limits),
    );
  }

  /**
   * Creates a registry with an empty key table for the own incarnation.
   *
   * @param publishHeld Receives the other incarnations whose tables are held.
   */
  static create(
    ownIncarnation: string,
    limits: KeyTableLimits,
    publishHeld: (incarnations: readonly string[]) => void,
  ): KeyTableRegistry {
    return new KeyTableRegistry(ownIncarnation, limits, publishHeld);
  }

  /** Number of keys in all tables. */
  get keys(): number {
    let count = 0;
    for (const table of this.tables.values()) count += table.keys;
    return count;
  }

  /** Returns the key table of an incarnation, if it is held here. */
  getTable(incarnation: string): IdempotencyKeyTable<JobAnswer> | undefined {
    return this.tables.get(incarnation);
  }

  /** Returns snapshots of all key tables, for handing them over. */
  listSnapshots(nowMs: number): KeyTableSnapshot[] {
    return [...this.tables].map(([incarnation, table]) => ({
      incarnation,
      sessions: table.listSessions(nowMs),
    }));
  }

  /** Adopts the table of an ended incarnation; a repetition has no effect. */
  adopt(snapshot: KeyTableSnapshot, nowMs: number): void {
    if (this.tables.has(snapshot.incarnation)) return;
    const table = IdempotencyKeyTable.create<JobAnswer>(this.limits);
    table.addSessions(snapshot.sessions, measureAnswerBytes, nowMs);
    this.tables.set(snapshot.incarnation, table);
    this.publish();
  }

  /** Removes expired sessions, and tables of other incarnations left empty. */
  expire(nowMs: number): void {
    for (const [incarnation, table] of this.tables) {
      table.expire(nowMs);
      if (incarnation === this.ownIncarnation || table.size > 0) continue;
      this.tables.delete(incarnation);
      this.publish();
    }
  }

  private publish(): void {
    const others = [...this.tables.keys()].filter(
      incarnation => incarnation !== this.ownIncarnation,
    );
    this.publishHeld(others);
  }
}

/** Returns the size in bytes of an answer's results. */
export function measureAnswerBytes(answer: JobAnswer): number {
  let bytes = 0;
  for (const result of answer.results) bytes += result.length;
  return bytes;
}
