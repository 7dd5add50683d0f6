/** Writes changes of records to the store and resolves lost replies. */
import {computeBackoffMs} from '../core/backoff.js';
import type {DrawRandom, StartTimer} from '../core/clock.js';
import {ErrorCode, FoxtailbayError} from '../core/errors.js';
import {ABSENT_REVISION} from '../store/platform_store.js';
import type {PlatformStore, StoredValue} from '../store/platform_store.js';
import {formatRecordKey} from '../records/record.js';
import {
  AdministrationProblem,
  createRefusal,
} from './administration_problem.js';
import type {AdministrationRefusal} from './administration_problem.js';
import {findValue} from './record_reader.js';
import {WriteOutcome, classifyRemoval, classifyWrite} from './read_back.js';
import type {FoundValue, ReadBack} from './read_back.js';
import {WritePlanKind, planWrite} from './write_plan.js';
import type {RecordChange, WritePlan} from './write_plan.js';

/** Dependencies of the record writer. */
export interface RecordWriterOptions {
  readonly store: Pick<PlatformStore, 'list' | 'write' | 'remove'>;
  readonly prefix: string;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Result of a change: stored, or refused with a reason. */
export type WriteResult =
  | {
      readonly isStored: true;
      /** Revision at which the change took effect. */
      readonly revision: number;
      /** False if the change had been applied before. */
      readonly isChanged: boolean;
    }
  | {readonly isStored: false; readonly refusal: AdministrationRefusal};

/** A plan that makes a call to the store. */
type StoreCallPlan = Extract<WritePlan, {expectedRevision: number}>;

/** Limit on read-backs after a lost reply; the write is sent again between them if safe. */
const MAX_ATTEMPTS = 4;

const BACKOFF_LIMITS = {firstMs: 50, longestMs: 500};

/**
 * Writes and deletes records by compare-and-swap.
 *
 * After a lost reply the record is read back: the write id, stored in the record
 * and in its history, distinguishes success from conflict. Sending again is safe
 * for a record that exists, since at most one write per expected revision can
 * take effect.
 */
export class RecordWriter {
  private constructor(private readonly options: RecordWriterOptions) {}

  /** Creates a writer that uses the store passed in. */
  static create(options: RecordWriterOptions): RecordWriter {
    return new RecordWriter(options);
  }

  /** Makes a change, or returns the refusal with its reason. */
  async change(change: RecordChange): Promise<WriteResult> {
    let found: StoredValue | undefined;
    try {
      ({found} = await findValue(this.options, change.identity));
    } catch (failure) {
      return refuseUnavailable(failure);
    }
    const plan = planWrite(change, found);
    switch (plan.kind) {
      case WritePlanKind.REFUSE:
        return {isStored: false, refusal: plan.refusal};
      case WritePlanKind.ALREADY_APPLIED:
        return {isStored: true, revision: plan.revision, isChanged: false};
      case WritePlanKind.WRITE:
      case WritePlanKind.REMOVE:
        return this.performPlan(change, plan);
    }
  }

  private async performPlan(
    change: RecordChange,
    plan: StoreCallPlan,
  ): Promise<WriteResult> {
    try {
      return confirmWrite(await this.sendPlan(change, plan));
    } catch (failure) {
      const code = readCode(failure);
      if (code === ErrorCode.STORE_CONFLICT) return refuseConflict();
      if (code === ErrorCode.STORE_UNAVAILABLE) {
        return refuseUnavailable(failure);
      }
    }
    return this.resolveLostReply(change, plan);
  }

  /** Determines the outcome of a write whose reply was lost. */
  private async resolveLostReply(
    change: RecordChange,
    plan: StoreCallPlan,
  ): Promise<WriteResult> {
    for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = await this.findResult(change, plan);
      if (result !== undefined) return result;
      await this.pause(attempt);
      const resent = await this.sendAgain(change, plan);
      if (resent !== undefined) return resent;
    }
    return (await this.findResult(change, plan)) ?? refuseUnknown(change);
  }

  /** Sends the write again if that is safe; undefined if the outcome is still open. */
  private async sendAgain(
    change: RecordChange,
    plan: StoreCallPlan,
  ): Promise<WriteResult | undefined> {
    // An absent record is ambiguous: the first attempt may have created it and
    // another writer deleted it since. Sending again would undo that deletion.
    if (plan.expectedRevision === ABSENT_REVISION) return undefined;
    try {
      return confirmWrite(await this.sendPlan(change, plan));
    } catch {
      // The next read-back shows the outcome.
      return undefined;
    }
  }

  private sendPlan(change: RecordChange, plan: StoreCallPlan): Promise<number> {
    const {store, prefix} = this.options;
    const key = formatRecordKey(prefix, change.identity);
    const {expectedRevision} = plan;
    return plan.kind === WritePlanKind.WRITE
      ? store.write({key, value: plan.value, expectedRevision})
      : store.remove(key, expectedRevision);
  }

  /** Reads the record back; undefined if the change is to be sent again. */
  private async findResult(
    change: RecordChange,
    plan: StoreCallPlan,
  ): Promise<WriteResult | undefined> {
    let readBack: ReadBack;
    try {
      readBack = classifyResult(
        change,
        plan,
        await findValue(this.options, change.identity),
      );
    } catch {
      return undefined;
    }
    switch (readBack.outcome) {
      case WriteOutcome.APPLIED:
        return confirmWrite(readBack.revision);
      case WriteOutcome.PENDING:
        return undefined;
      case WriteOutcome.CONFLICTED:
        return refuseConflict(readBack.revision);
      case WriteOutcome.UNKNOWN:
        return refuseUnknown(change, readBack.revision);
    }
  }

  private pause(attempt: number): Promise<void> {
    const {drawRandom, startTimer} = this.options;
    const delayMs = computeBackoffMs(attempt, BACKOFF_LIMITS, drawRandom);
    return new Promise(resolve => void startTimer(delayMs, resolve));
  }
}

function classifyResult(
  {version}: RecordChange,
  {expectedRevision}: StoreCallPlan,
  value: FoundValue,
): ReadBack {
  return version === undefined
    ? classifyRemoval(value, expectedRevision)
    : classifyWrite(value, version.writeId, expectedRevision);
}

function readCode(failure: unknown): ErrorCode {
  return failure instanceof FoxtailbayError ? failure.code : ErrorCode.INTERNAL;
}

function confirmWrite(revision: number): WriteResult {
  return {isStored: true, revision, isChanged: true};
}

function refuseConflict(standingRevision?: number): WriteResult {
  const refusal = createRefusal(
    AdministrationProblem.CONFLICT,
    'The record has changed since it was read; this change was not made.',
    standingRevision,
  );
  return {isStored: false, refusal};
}

/** Creates the refusal for a failed read or a write that certainly had no effect. */
export function refuseUnavailable(failure: unknown): {
  readonly isStored: false;
  readonly refusal: AdministrationRefusal;
} {
  const refusal = createRefusal(
    AdministrationProblem.STORE_UNAVAILABLE,
    `The platform's store cannot be reached (${readCode(failure)}); nothing was changed.`,
  );
  return {isStored: false, refusal};
}

function refuseUnknown(
  {identity, version}: RecordChange,
  standingRevision?: number,
): WriteResult {
  const hint =
    version === undefined ? '' : ` Look for writeId ${version.writeId}.`;
  const refusal = createRefusal(
    AdministrationProblem.OUTCOME_UNKNOWN,
    `It is not known whether ${identity.kind}/${identity.name} was changed.${hint}`,
    standingRevision,
  );
  return {isStored: false, refusal};
}
