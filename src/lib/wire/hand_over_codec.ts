/** Maps handed-over sessions to and from the generated wire messages. */
import {Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobAnswer} from '../decisions/job_run.js';
import type {
  KeySnapshot,
  SessionSnapshot,
} from '../decisions/idempotency_key_table.js';
import type {KeyTableSnapshot} from '../entry/dispatcher_messages.js';
import type * as wire from './generated/foxtailbay.js';

/** Number of keys after which a new part begins. */
const KEYS_PER_PART = 500;

/** Bytes of results after which a new part begins. */
const BYTES_PER_PART = 1024 * 1024;

const OUTCOMES = new Set<string>(Object.values(Outcome));
const PROBLEMS = new Set<string>(Object.values(Problem));
const ENDS = new Set<string>(Object.values(TaskEnd));

/** Encodes a key table as a sequence of parts of bounded size. */
export function* encodeKeyTable(
  keyTable: KeyTableSnapshot,
): Generator<wire.HandOverPart> {
  const {incarnation} = keyTable;
  for (const session of keyTable.sessions) {
    for (const keys of splitKeys(session.keys)) {
      const {serial, unusedMs} = session;
      yield {
        incarnation,
        sessions: [{serial, unusedMs, keys: keys.map(encodeKey)}],
      };
    }
  }
}

/** Reassembles key tables from the parts of a hand-over stream. */
export class KeyTableCollector {
  private readonly keyTables = new Map<
    string,
    Map<number, {unusedMs: number; keys: KeySnapshot<JobAnswer>[]}>
  >();

  private constructor() {}

  /** Creates a collector that has received no part. */
  static create(): KeyTableCollector {
    return new KeyTableCollector();
  }

  /** Adds a part; the parts of a session arrive in order. */
  add(part: wire.HandOverPart): void {
    const sessions = this.keyTables.get(part.incarnation) ?? new Map();
    this.keyTables.set(part.incarnation, sessions);
    for (const {serial, unusedMs, keys} of part.sessions) {
      const session = sessions.get(serial) ?? {unusedMs, keys: []};
      sessions.set(serial, session);
      for (const key of keys) session.keys.push(decodeKey(key));
    }
  }

  /** Returns the reassembled key tables; called after the last part. */
  listSnapshots(): KeyTableSnapshot[] {
    return [...this.keyTables].map(([incarnation, sessions]) => ({
      incarnation,
      sessions: [...sessions].map(([serial, session]): Session => ({
        serial,
        ...session,
      })),
    }));
  }
}

type Session = SessionSnapshot<JobAnswer>;

// Yields an empty part for a session without keys: the session is handed over
// too, so that its next key counts as new.
function* splitKeys(
  keys: readonly KeySnapshot<JobAnswer>[],
): Generator<KeySnapshot<JobAnswer>[]> {
  let part: KeySnapshot<JobAnswer>[] = [];
  let bytes = 0;
  for (const key of keys) {
    part.push(key);
    for (const result of key.answer?.results ?? []) bytes += result.length;
    if (part.length < KEYS_PER_PART && bytes < BYTES_PER_PART) continue;
    yield part;
    part = [];
    bytes = 0;
  }
  if (part.length > 0 || keys.length === 0) yield part;
}

function encodeKey(key: KeySnapshot<JobAnswer>): wire.KeptKey {
  const {name, digest, answer} = key;
  return {name, digest, answer: answer && encodeAnswer(answer)};
}

function encodeAnswer(answer: JobAnswer): wire.KeptAnswer {
  return {
    outcome: answer.outcome,
    problem: answer.problem ?? '',
    results: answer.results as Buffer[],
    faults: answer.faults.map(fault => ({...fault})),
  };
}

function decodeKey(key: wire.KeptKey): KeySnapshot<JobAnswer> {
  const {name, digest, answer} = key;
  return {name, digest, answer: answer && decodeAnswer(answer)};
}

// An answer whose outcome is unknown to this version decodes as undefined.
function decodeAnswer(answer: wire.KeptAnswer): JobAnswer | undefined {
  if (!OUTCOMES.has(answer.outcome)) return undefined;
  return {
    outcome: answer.outcome as Outcome,
    problem: decodeProblem(answer.problem),
    results: answer.results,
    faults: answer.faults.map(fault => ({
      ...fault,
      end: ENDS.has(fault.end) ? (fault.end as TaskEnd) : TaskEnd.UNKNOWN,
    })),
  };
}

function decodeProblem(problem: string): Problem | undefined {
  if (problem === '') return undefined;
  return PROBLEMS.has(problem) ? (problem as Problem) : Problem.INTERNAL;
}
