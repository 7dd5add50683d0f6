/** Handles submissions: sessions, idempotency keys and refusals. */
import type {ReadMonotonicMs} from '../core/clock.js';
import {Outcome, Problem} from '../core/job.js';
import type {JobAnswer} from '../decisions/job_run.js';
import {KeyVerdict} from '../decisions/idempotency_key_table.js';
import type {KeyLookup} from '../decisions/idempotency_key_table.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import type {DispatcherCounters} from './dispatcher_counters.js';
import {ReplyKind} from './dispatcher_messages.js';
import type {
  LocalKey,
  Refusal,
  Reply,
  SubmitMessage,
} from './dispatcher_messages.js';
import {
  describeUnknownTeam,
  describeVerdict,
  NOT_FOUND,
  NOT_READY,
  SESSION_ENDED,
  STOPPING,
} from './job_refusal.js';
import type {JobTable} from './job_table.js';
import {measureAnswerBytes} from './key_table_registry.js';
import type {KeyTableRegistry} from './key_table_registry.js';

/** Dependencies of the submission handler. */
export interface SubmissionHandlerOptions {
  /** Incarnation of this entry, which owns the sessions that it opens. */
  readonly incarnation: string;
  readonly keyTables: KeyTableRegistry;
  /** Returns the table that accepted jobs are added to. */
  readonly getJobs: () => JobTable;
  readonly counters: DispatcherCounters;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Returns the configuration in force, if any. */
  readonly getView: () => ConfigurationView | undefined;
}

/** Opens sessions and admits jobs under their keys; owned by the dispatcher. */
export class SubmissionHandler {
  private isRefusing = false;

  private constructor(private readonly options: SubmissionHandlerOptions) {}

  /** Creates a handler that accepts submissions. */
  static create(options: SubmissionHandlerOptions): SubmissionHandler {
    return new SubmissionHandler(options);
  }

  /** From now on refuses new sessions and jobs. */
  stopAccepting(): void {
    this.isRefusing = true;
  }

  /** Opens a session for a team. */
  openSession(team: string, reply: Reply): void {
    const refusal = this.findRefusal(team);
    if (refusal !== undefined) return this.refuse(reply, refusal);
    const {keyTables, incarnation, readMonotonicMs} = this.options;
    const keyTable = keyTables.getTable(incarnation)!;
    const serial = keyTable.openSession(readMonotonicMs());
    reply({kind: ReplyKind.SESSION, serial, team});
  }

  /** Accepts a job, unless its key is known or the job is refused. */
  submit(message: SubmitMessage): void {
    const {key, draft, digest, isDetached, reply} = message;
    const nowMs = this.options.readMonotonicMs();
    if (key !== undefined) {
      const keyTable = this.options.keyTables.getTable(key.owner);
      if (keyTable === undefined) return this.refuse(reply, SESSION_ENDED);
      const lookup = keyTable.submit(key.serial, key.name, digest, nowMs);
      if (lookup.verdict !== KeyVerdict.NEW) {
        return this.answerKnown(key, lookup, isDetached, reply);
      }
    }
    const refusal = this.findRefusal(draft.team);
    if (refusal !== undefined) {
      if (key !== undefined) this.releaseKey(key);
      return this.refuse(reply, refusal);
    }
    this.options.getJobs().submit(key, draft, isDetached, reply);
  }

  /** Replies with the progress of a job, or with its answer. */
  lookUp(key: LocalKey, reply: Reply): void {
    const nowMs = this.options.readMonotonicMs();
    const keyTable = this.options.keyTables.getTable(key.owner);
    if (keyTable === undefined) return this.refuse(reply, SESSION_ENDED);
    const lookup = keyTable.lookUp(key.serial, key.name, nowMs);
    if (lookup.verdict === KeyVerdict.NEW) {
      return this.refuse(reply, NOT_FOUND);
    }
    this.answerKnown(key, lookup, true, reply);
  }

  /** Cancels a job; the reply is its answer. */
  cancel(key: LocalKey, reply: Reply): void {
    const job = this.options.getJobs().findJob(key);
    if (job === undefined) return this.lookUp(key, reply);
    job.replies.push(reply);
    job.run.cancel(Problem.CANCELLED);
  }

  /** Stores an answer, unless the job provably did not run. */
  recordAnswer(key: LocalKey, answer: JobAnswer): void {
    if (answer.outcome === Outcome.DID_NOT_RUN) {
      this.releaseKey(key);
      return;
    }
    const keyTable = this.options.keyTables.getTable(key.owner);
    keyTable?.settle(key.serial, key.name, answer, measureAnswerBytes(answer));
  }

  /** Removes a key whose job provably did not run, so that it may be reused. */
  releaseKey(key: LocalKey): void {
    this.options.keyTables.getTable(key.owner)?.release(key.serial, key.name);
  }

  private answerKnown(
    key: LocalKey,
    lookup: KeyLookup<JobAnswer>,
    isDetached: boolean,
    reply: Reply,
  ): void {
    if (lookup.verdict === KeyVerdict.RUNNING) {
      const job = this.options.getJobs().findJob(key);
      if (job === undefined) return this.refuse(reply, SESSION_ENDED);
      if (isDetached) return this.options.getJobs().reportProgress(job, reply);
      job.replies.push(reply);
      return;
    }
    if (lookup.answer !== undefined) {
      reply({kind: ReplyKind.ANSWER, answer: lookup.answer});
      return;
    }
    this.refuse(reply, describeVerdict(lookup.verdict));
  }

  private findRefusal(team: string): Refusal | undefined {
    const view = this.options.getView();
    if (view === undefined) return NOT_READY;
    if (this.isRefusing) return STOPPING;
    if (!view.teams.has(team)) return describeUnknownTeam(team);
    return undefined;
  }

  private refuse(reply: Reply, refusal: Refusal): void {
    this.options.counters.jobsRefused += 1;
    reply({kind: ReplyKind.REFUSAL, refusal});
  }
}
