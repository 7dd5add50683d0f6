/** The ledgers that an entry holds: its own, and those handed to it. */
import type {JobAnswer} from '../decisions/job_run.js';
import {KeyLedger} from '../decisions/key_ledger.js';
import type {LedgerLimits} from '../decisions/key_ledger.js';
import type {LedgerSnapshot} from './dispatcher_messages.js';

/** Keeps one ledger for each life of an entry whose sessions are held here. */
export class LedgerRegistry {
  private readonly ledgers = new Map<string, KeyLedger<JobAnswer>>();

  private constructor(
    private readonly own: string,
    private readonly limits: LedgerLimits,
    private readonly publishHeld: (incarnations: readonly string[]) => void,
  ) {
    this.ledgers.set(own, KeyLedger.create<JobAnswer>(limits));
  }

  /**
   * Creates a book with an empty ledger of its own.
   *
   * @param publishHeld Is told of the other lives whose ledgers are held.
   */
  static create(
    own: string,
    limits: LedgerLimits,
    publishHeld: (incarnations: readonly string[]) => void,
  ): LedgerRegistry {
    return new LedgerRegistry(own, limits, publishHeld);
  }

  /** Number of keys remembered. */
  get keys(): number {
    let count = 0;
    for (const ledger of this.ledgers.values()) count += ledger.keys;
    return count;
  }

  /** Returns the ledger of a life, if it is held here. */
  getLedger(incarnation: string): KeyLedger<JobAnswer> | undefined {
    return this.ledgers.get(incarnation);
  }

  /** Describes all ledgers, so that another entry can take them over. */
  listLedgers(nowMs: number): LedgerSnapshot[] {
    return [...this.ledgers].map(([incarnation, ledger]) => ({
      incarnation,
      sessions: ledger.listSessions(nowMs),
    }));
  }

  /** Takes over the ledger of an ended life; a second copy changes nothing. */
  adopt(kept: LedgerSnapshot, nowMs: number): void {
    if (this.ledgers.has(kept.incarnation)) return;
    const ledger = KeyLedger.create<JobAnswer>(this.limits);
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
