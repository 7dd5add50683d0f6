/** Carries out changes of records at the store, whatever becomes of replies. */
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
import {WriteTrace, judgeRemoval, judgeWrite} from './read_back.js';
import type {FoundValue, ReadBack} from './read_back.js';
import {WritePlanKind, planWrite} from './write_plan.js';
import type {RecordChange, WritePlan} from './write_plan.js';

/** What the writer needs. */
export interface RecordWriterOptions {
  readonly store: Pick<PlatformStore, 'list' | 'write' | 'remove'>;
  readonly prefix: string;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** A change that stands in the store, or why it does not. */
export type WriteResult =
  | {
      readonly isStored: true;
      /** Revision at which what was asked for stood in the store. */
      readonly revision: number;
      /** False if it stood before. */
      readonly isChanged: boolean;
    }
  | {readonly isStored: false; readonly refusal: AdministrationRefusal};

/** A plan that sends something to the store. */
type SendingPlan = Extract<WritePlan, {expectedRevision: number}>;

/** Looks at the record after a lost reply, and sends where that is safe. */
const ATTEMPTS_AT_MOST = 4;

const BACKOFF_LIMITS = {firstMs: 50, longestMs: 500};

/**
 * Writes and deletes records by compare-and-swap.
 *
 * A lost reply is followed by reading back: the write's id, kept in the record
 * and in its history, tells success from conflict. Sending again is safe for a
 * record that exists, since only one of several sends with one expected revision
 * can take effect.
 */
export class RecordWriter {
  private constructor(private readonly options: RecordWriterOptions) {}

  /** Creates a writer that uses the store passed in. */
  static create(options: RecordWriterOptions): RecordWriter {
    return new RecordWriter(options);
  }

  /** Makes a change, or says why it was not made. */
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
      case WritePlanKind.KEEP:
        return {isStored: true, revision: plan.revision, isChanged: false};
      case WritePlanKind.WRITE:
      case WritePlanKind.REMOVE:
        return this.performPlan(change, plan);
    }
  }

  private async performPlan(
    change: RecordChange,
    plan: SendingPlan,
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
    return this.followUp(change, plan);
  }

  /** Finds out what became of a send whose reply was lost. */
  private async followUp(
    change: RecordChange,
    plan: SendingPlan,
  ): Promise<WriteResult> {
    for (let attempt = 1; attempt < ATTEMPTS_AT_MOST; attempt += 1) {
      const result = await this.findResult(change, plan);
      if (result !== undefined) return result;
      await this.pause(attempt);
      const resent = await this.sendAgain(change, plan);
      if (resent !== undefined) return resent;
    }
    return (await this.findResult(change, plan)) ?? refuseUnknown(change);
  }

  /** Sends once more where that is safe; undefined if nothing was learned. */
  private async sendAgain(
    change: RecordChange,
    plan: SendingPlan,
  ): Promise<WriteResult | undefined> {
    // A record may be absent twice: the first send may have created it and a
    // rival may have deleted it since. A second send would undo the rival.
    if (plan.expectedRevision === ABSENT_REVISION) return undefined;
    try {
      return confirmWrite(await this.sendPlan(change, plan));
    } catch {
      // The next look at the record tells what happened.
      return undefined;
    }
  }

  private sendPlan(change: RecordChange, plan: SendingPlan): Promise<number> {
    const {store, prefix} = this.options;
    const key = formatRecordKey(prefix, change.identity);
    const {expectedRevision} = plan;
    return plan.kind === WritePlanKind.WRITE
      ? store.write({key, value: plan.value, expectedRevision})
      : store.remove(key, expectedRevision);
  }

  /** Reads back; undefined if the change is to be sent again. */
  private async findResult(
    change: RecordChange,
    plan: SendingPlan,
  ): Promise<WriteResult | undefined> {
    let readBack: ReadBack;
    try {
      readBack = judge(
        change,
        plan,
        await findValue(this.options, change.identity),
      );
    } catch {
      return undefined;
    }
    switch (readBack.trace) {
      case WriteTrace.TOOK_EFFECT:
        return confirmWrite(readBack.revision);
      case WriteTrace.NOT_YET:
        return undefined;
      case WriteTrace.OVERTAKEN:
        return refuseConflict(readBack.revision);
      case WriteTrace.UNTRACEABLE:
        return refuseUnknown(change, readBack.revision);
    }
  }

  private pause(attempt: number): Promise<void> {
    const {drawRandom, startTimer} = this.options;
    const delayMs = computeBackoffMs(attempt, BACKOFF_LIMITS, drawRandom);
    return new Promise(resolve => void startTimer(delayMs, resolve));
  }
}

function judge(
  {version}: RecordChange,
  {expectedRevision}: SendingPlan,
  value: FoundValue,
): ReadBack {
  return version === undefined
    ? judgeRemoval(value, expectedRevision)
    : judgeWrite(value, version.writeId, expectedRevision);
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

/** Turns a failed read, or a write that provably was not made, into a refusal. */
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
  const trace =
    version === undefined ? '' : ` Look for writeId ${version.writeId}.`;
  const refusal = createRefusal(
    AdministrationProblem.OUTCOME_UNKNOWN,
    `It is not known whether ${identity.kind}/${identity.name} was changed.${trace}`,
    standingRevision,
  );
  return {isStored: false, refusal};
}
