/** The memory of an entry: which keys of its sessions it has seen. */

/** What an owner says to a submission under one of its keys. */
export enum KeyVerdict {
  /** Not seen before: run it. */
  NEW = 'new',
  /** Running: wait for the same answer. */
  RUNNING = 'running',
  /** Ended: give the answer that is kept. */
  ANSWERED = 'answered',
  /** Ended, and the answer is no longer kept. */
  ANSWER_EXPIRED = 'answer-expired',
  /** The key stands for another body. */
  REUSED = 'reused',
  /** The session is not remembered any more; its keys are never run again. */
  SESSION_ENDED = 'session-ended',
  /** The session has reached its number of keys; earlier keys still hold. */
  SESSION_FULL = 'session-full',
}

/** A verdict, with the answer if one is kept. */
export interface KeyLookup<A> {
  readonly verdict: KeyVerdict;
  readonly answer?: A;
}

/** One key as it is handed to another ledger. */
export interface KeySnapshot<A> {
  readonly name: string;
  readonly digest: string;
  /** Undefined if the answer is not kept, or was never known. */
  readonly answer: A | undefined;
}

/** One session as it is handed to another ledger. */
export interface SessionSnapshot<A> {
  readonly serial: number;
  /** Time in milliseconds since the session was last used. */
  readonly unusedMs: number;
  readonly keys: readonly KeySnapshot<A>[];
}

/** Limits of a ledger. */
export interface KeyTableLimits {
  /** Time in milliseconds for which an unused session is remembered. */
  readonly lifetimeMs: number;
  readonly keysAtMost: number;
  readonly answerBytesAtMost: number;
}

interface KeyRecord<A> {
  /** Digest of the body that the key stands for. */
  readonly digest: string;
  isRunning: boolean;
  answer: A | undefined;
}

interface SessionRecord<A> {
  usedAtMs: number;
  readonly keys: Map<string, KeyRecord<A>>;
}

/** Share of all keys that one session may hold. */
const SESSION_SHARE = 0.25;

/**
 * Remembers the keys of the sessions that one life of an entry has minted.
 *
 * A session's memory is whole or gone: keys are never dropped one by one, so a
 * key that a remembered session does not hold is new. When the ledger is full
 * the session unused for longest is dropped as a whole, and all its keys are
 * refused from then on. Answers may go before their keys do.
 */
export class IdempotencyKeyTable<A> {
  private readonly sessions = new Map<number, SessionRecord<A>>();
  /** Keys whose answers are kept, oldest first. */
  private readonly answered = new Map<string, [KeyRecord<A>, number]>();
  private lastSerial = 0;
  private keyCount = 0;
  private answerBytes = 0;

  private constructor(private readonly limits: KeyTableLimits) {}

  /** Creates an empty ledger. */
  static create<A>(limits: KeyTableLimits): IdempotencyKeyTable<A> {
    return new IdempotencyKeyTable<A>(limits);
  }

  /** Number of sessions remembered. */
  get size(): number {
    return this.sessions.size;
  }

  /** Number of keys remembered. */
  get keys(): number {
    return this.keyCount;
  }

  /** Bytes of answers kept. */
  get bytes(): number {
    return this.answerBytes;
  }

  /** Opens a session and returns its serial number. */
  openSession(nowMs: number): number {
    this.lastSerial += 1;
    this.sessions.set(this.lastSerial, {usedAtMs: nowMs, keys: new Map()});
    return this.lastSerial;
  }

  /**
   * Judges a submission and, if it is new, records it as running in the same
   * step, so that a second one a moment later finds it.
   */
  submit(
    serial: number,
    name: string,
    digest: string,
    nowMs: number,
  ): KeyLookup<A> {
    const session = this.findSession(serial, nowMs);
    if (session === undefined) return {verdict: KeyVerdict.SESSION_ENDED};
    const known = session.keys.get(name);
    if (known !== undefined) {
      if (known.digest !== digest) return {verdict: KeyVerdict.REUSED};
      return describeRecord(known);
    }
    if (session.keys.size >= this.limits.keysAtMost * SESSION_SHARE) {
      return {verdict: KeyVerdict.SESSION_FULL};
    }
    session.keys.set(name, {digest, isRunning: true, answer: undefined});
    this.keyCount += 1;
    this.dropSessions(serial, nowMs);
    return {verdict: KeyVerdict.NEW};
  }

  /** Looks a key up without recording it. `NEW` means that it is not known. */
  lookUp(serial: number, name: string, nowMs: number): KeyLookup<A> {
    const session = this.findSession(serial, nowMs);
    if (session === undefined) return {verdict: KeyVerdict.SESSION_ENDED};
    const known = session.keys.get(name);
    if (known === undefined) return {verdict: KeyVerdict.NEW};
    return describeRecord(known);
  }

  /** Keeps the answer of a job that has run; `bytes` is its size in memory. */
  settle(serial: number, name: string, answer: A, bytes: number): void {
    const record = this.sessions.get(serial)?.keys.get(name);
    if (record === undefined) return;
    record.isRunning = false;
    record.answer = answer;
    this.answerBytes += bytes;
    this.answered.set(joinName(serial, name), [record, bytes]);
    this.dropAnswers();
  }

  /** Forgets a key whose job provably did not run, so that it may come again. */
  release(serial: number, name: string): void {
    const session = this.sessions.get(serial);
    if (session === undefined || !session.keys.delete(name)) return;
    this.keyCount -= 1;
  }

  /** Drops the sessions that have been unused for their lifetime. */
  expire(nowMs: number): void {
    for (const [serial, session] of this.sessions) {
      if (nowMs - session.usedAtMs > this.limits.lifetimeMs) {
        this.dropSession(serial, session);
      }
    }
  }

  /** Describes every session, so that another ledger can take them over. */
  listSessions(nowMs: number): SessionSnapshot<A>[] {
    return [...this.sessions].map(([serial, session]) => ({
      serial,
      unusedMs: nowMs - session.usedAtMs,
      keys: [...session.keys].map(([name, record]) => ({
        name,
        digest: record.digest,
        answer: record.answer,
      })),
    }));
  }

  /**
   * Takes over sessions of an ended life. `measure` returns the bytes of an
   * answer. A key whose job was still running is remembered without an answer.
   */
  addSessions(
    sessions: readonly SessionSnapshot<A>[],
    measure: (answer: A) => number,
    nowMs: number,
  ): void {
    for (const {serial, unusedMs, keys} of sessions) {
      const usedAtMs = nowMs - unusedMs;
      const session: SessionRecord<A> = {usedAtMs, keys: new Map()};
      this.sessions.set(serial, session);
      for (const {name, digest, answer} of keys) {
        session.keys.set(name, {digest, isRunning: false, answer: undefined});
        this.keyCount += 1;
        if (answer === undefined) continue;
        this.settle(serial, name, answer, measure(answer));
      }
    }
  }

  private findSession(
    serial: number,
    nowMs: number,
  ): SessionRecord<A> | undefined {
    const session = this.sessions.get(serial);
    if (session === undefined) return undefined;
    if (nowMs - session.usedAtMs > this.limits.lifetimeMs) {
      this.dropSession(serial, session);
      return undefined;
    }
    session.usedAtMs = nowMs;
    // Re-insertion keeps the map in order of last use.
    this.sessions.delete(serial);
    this.sessions.set(serial, session);
    return session;
  }

  private dropSessions(spared: number, nowMs: number): void {
    this.expireOldest(nowMs);
    for (const [serial, session] of this.sessions) {
      if (this.keyCount <= this.limits.keysAtMost) return;
      if (serial !== spared) this.dropSession(serial, session);
    }
  }

  private expireOldest(nowMs: number): void {
    for (const [serial, session] of this.sessions) {
      if (nowMs - session.usedAtMs <= this.limits.lifetimeMs) return;
      this.dropSession(serial, session);
    }
  }

  private dropSession(serial: number, session: SessionRecord<A>): void {
    this.sessions.delete(serial);
    this.keyCount -= session.keys.size;
    for (const name of session.keys.keys()) {
      this.dropAnswer(joinName(serial, name));
    }
  }

  private dropAnswers(): void {
    for (const key of this.answered.keys()) {
      if (this.answerBytes <= this.limits.answerBytesAtMost) return;
      this.dropAnswer(key);
    }
  }

  private dropAnswer(key: string): void {
    const kept = this.answered.get(key);
    if (kept === undefined) return;
    const [record, bytes] = kept;
    record.answer = undefined;
    this.answerBytes -= bytes;
    this.answered.delete(key);
  }
}

function joinName(serial: number, name: string): string {
  return `${serial}.${name}`;
}

function describeRecord<A>(record: KeyRecord<A>): KeyLookup<A> {
  if (record.isRunning) return {verdict: KeyVerdict.RUNNING};
  if (record.answer === undefined) {
    return {verdict: KeyVerdict.ANSWER_EXPIRED};
  }
  return {verdict: KeyVerdict.ANSWERED, answer: record.answer};
}
