/** The idempotency keys of an entry's sessions, with the answers to their jobs. */

/** Result of looking up the idempotency key of a submission. */
export enum KeyVerdict {
  /** The key is new: run the job. */
  NEW = 'new',
  /** The key's job is running: wait for its answer. */
  RUNNING = 'running',
  /** The key's job has ended: return the stored answer. */
  ANSWERED = 'answered',
  /** The key's job has ended, and its answer is no longer stored. */
  ANSWER_EXPIRED = 'answer-expired',
  /** The key was used with a different body. */
  REUSED = 'reused',
  /** The session is no longer known; its keys are never run again. */
  SESSION_ENDED = 'session-ended',
  /** The session has reached its limit of keys; earlier keys stay valid. */
  SESSION_FULL = 'session-full',
}

/** A verdict, with the answer if one is stored. */
export interface KeyLookup<A> {
  readonly verdict: KeyVerdict;
  readonly answer?: A;
}

/** A key as it is transferred to another entry. */
export interface KeySnapshot<A> {
  readonly name: string;
  readonly digest: string;
  /** Undefined if the answer is not stored or was never known. */
  readonly answer: A | undefined;
}

/** A session as it is transferred to another entry. */
export interface SessionSnapshot<A> {
  readonly serial: number;
  /** Time in milliseconds since the session was last used. */
  readonly unusedMs: number;
  readonly keys: readonly KeySnapshot<A>[];
}

/** Limits of an idempotency key table. */
export interface KeyTableLimits {
  /** Time in milliseconds after which an unused session expires. */
  readonly lifetimeMs: number;
  readonly keysAtMost: number;
  readonly answerBytesAtMost: number;
}

interface KeyRecord<A> {
  /** Digest of the body that the key was first used with. */
  readonly digest: string;
  isRunning: boolean;
  answer: A | undefined;
}

interface SessionRecord<A> {
  usedAtMs: number;
  readonly keys: Map<string, KeyRecord<A>>;
}

/** Share of the key limit that one session may use. */
const SESSION_SHARE = 0.25;

/**
 * Stores the keys of the sessions that one incarnation of an entry has opened.
 *
 * A key is dropped only with its whole session, unless `release` removes it for
 * resubmission, so a key that a known session does not contain is new. When the
 * table is full, the least recently used session is dropped, and all its keys are
 * refused from then on. Answers may be dropped before their keys.
 */
export class IdempotencyKeyTable<A> {
  private readonly sessions = new Map<number, SessionRecord<A>>();
  /** Keys whose answers are stored, oldest first. */
  private readonly answered = new Map<string, [KeyRecord<A>, number]>();
  private lastSerial = 0;
  private keyCount = 0;
  private answerBytes = 0;

  private constructor(private readonly limits: KeyTableLimits) {}

  /** Creates an empty table. */
  static create<A>(limits: KeyTableLimits): IdempotencyKeyTable<A> {
    return new IdempotencyKeyTable<A>(limits);
  }

  /** Number of sessions. */
  get size(): number {
    return this.sessions.size;
  }

  /** Number of keys of all sessions. */
  get keys(): number {
    return this.keyCount;
  }

  /** Size of all stored answers in bytes. */
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
   * Looks up a submission and, if its key is new, records it as running in the
   * same step, so that a concurrent duplicate finds it.
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

  /** Looks up a key without recording it; `NEW` means that it is unknown. */
  lookUp(serial: number, name: string, nowMs: number): KeyLookup<A> {
    const session = this.findSession(serial, nowMs);
    if (session === undefined) return {verdict: KeyVerdict.SESSION_ENDED};
    const known = session.keys.get(name);
    if (known === undefined) return {verdict: KeyVerdict.NEW};
    return describeRecord(known);
  }

  /** Stores the answer of a job that has ended; `bytes` is its size in memory. */
  settle(serial: number, name: string, answer: A, bytes: number): void {
    const record = this.sessions.get(serial)?.keys.get(name);
    if (record === undefined) return;
    record.isRunning = false;
    record.answer = answer;
    this.answerBytes += bytes;
    this.answered.set(joinName(serial, name), [record, bytes]);
    this.dropAnswers();
  }

  /** Removes a key whose job provably did not run, so that it may be resubmitted. */
  release(serial: number, name: string): void {
    const session = this.sessions.get(serial);
    if (session === undefined || !session.keys.delete(name)) return;
    this.keyCount -= 1;
  }

  /** Drops the sessions that have been unused for longer than their lifetime. */
  expire(nowMs: number): void {
    for (const [serial, session] of this.sessions) {
      if (nowMs - session.usedAtMs > this.limits.lifetimeMs) {
        this.dropSession(serial, session);
      }
    }
  }

  /** Returns a snapshot of every session for transfer to another table. */
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
   * Adds sessions of an ended incarnation. `measure` returns the size of an
   * answer in bytes. A key whose job was still running is added without an answer.
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
    // Re-insertion keeps the map ordered by last use.
    this.sessions.delete(serial);
    this.sessions.set(serial, session);
    return session;
  }

  private dropSessions(currentSerial: number, nowMs: number): void {
    this.expireOldest(nowMs);
    for (const [serial, session] of this.sessions) {
      if (this.keyCount <= this.limits.keysAtMost) return;
      if (serial !== currentSerial) this.dropSession(serial, session);
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
    const stored = this.answered.get(key);
    if (stored === undefined) return;
    const [record, bytes] = stored;
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
