/** The ledgers that an entry holds: its own, and those handed to it. */
import type {JobAnswer} from '../decisions/job_run.js';
import {IdempotencyKeyTable} from '../decisions/idempotency_key_table.js';
import type {KeyTableLimits} from '../decisions/idempotency_key_table.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';

/** Keeps one ledger for each life of an entry whose sessions are held here. */
export class KeyTableRegistry {
  private readonly ledgers = new Map<string, IdempotencyKeyTable<JobAnswer>>();

  private constructor(
    private readonly own: string,
    private readonly limits: KeyTableLimits,
    private readonly publishHeld: (incarnations: readonly string[]) => void,
  ) {
    this.ledgers.set(own, IdempotencyKeyTable.create<JobAnswer>(limits));
  }

  /**
   * Creates a book with an empty ledger of its own.
   *
   * @param publishHeld Is told of the other lives whose ledgers are held.
   */
  static create(
    own: string,
    limits: KeyTableLimits,
    publishHeld: (incarnations: readonly string[]) => void,
  ): KeyTableRegistry {
    return new KeyTableRegistry(own, limits, publishHeld);
  }

  /** Number of keys remembered. */
  get keys(): number {
    let count = 0;
    for (const ledger of this.ledgers.values()) count += ledger.keys;
    return count;
  }

  /** Returns the ledger of a life, if it is held here. */
  getTable(incarnation: string): IdempotencyKeyTable<JobAnswer> | undefined {
    return this.ledgers.get(incarnation);
  }

  /** Describes all ledgers, so that another entry can take them over. */
  listSnapshots(nowMs: number): KeyTableSnapshot[] {
    return [...this.ledgers].map(([incarnation, ledger]) => ({
      incarnation,
      sessions: ledger.listSessions(nowMs),
    }));
  }

  /** Takes over the ledger of an ended life; a second copy changes nothing. */
  adopt(kept: KeyTableSnapshot, nowMs: number): void {
    if (this.ledgers.has(kept.incarnation)) return;
    const ledger = IdempotencyKeyTable.create<JobAnswer>(this.limits);
    ledger.addSessions(kept.sessions, measureAnswerBytes, nowMs);
    this.ledgers.set(kept.incarnation, ledger);
    this.publish();
  }

  /** Forgets sessions that have been unused, and ledgers left without any. */
  expire(nowMs: number): void {
    for (const [incarnation, ledger] of this.ledgers) {
      ledger.expire(nowMs);
      if (incarnation === this.own || ledger.size > 0) continue;
      this.ledgers.delete(incarnation);
      this.publish();
    }
  }

  private publish(): void {
    const others = [...this.ledgers.keys()].filter(each => each !== this.own);
    this.publishHeld(others);
  }
}

/** Returns the bytes that an answer holds. */
export function measureAnswerBytes(answer: JobAnswer): number {
  let bytes = 0;
  for (const result of answer.results) bytes += result.length;
  return bytes;
}
