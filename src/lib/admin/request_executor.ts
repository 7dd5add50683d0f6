/** Executes operators' requests, independently of the front end. */
import type {DrawRandom, StartTimer} from '../core/clock.js';
import type {PlatformStore} from '../store/platform_store.js';
import {NEWEST_SCHEMA_VERSION, RecordKind} from '../records/record.js';
import type {RecordIdentity} from '../records/record.js';
import {AnswerKind} from './administration_answer.js';
import type {AdministrationAnswer} from './administration_answer.js';
import {
  AdministrationProblem,
  createRefusal,
} from './administration_problem.js';
import {AdministrationRequestKind} from './administration_request.js';
import type {
  AdministrationRequest,
  RequestOf,
} from './administration_request.js';
import {
  getDataCentre,
  getHistory,
  getRecord,
  listRecords,
} from './record_reader.js';
import {RecordWriter, refuseUnavailable} from './record_writer.js';
import type {WriteResult} from './record_writer.js';
import {describeRevision} from './status_report.js';
import type {StatusReport} from './status_report.js';
import {PreconditionKind} from './write_plan.js';
import type {RecordChange} from './write_plan.js';

/** A change that an operator made or attempted, for the log. */
export interface AdministrationAction {
  readonly by: string;
  readonly request: AdministrationRequestKind;
  readonly identity: RecordIdentity;
  /** Revision at which the change took effect; undefined if it was refused. */
  readonly revision: number | undefined;
  readonly isChanged: boolean;
  readonly problem: AdministrationProblem | undefined;
}

/** Dependencies of the executor. */
export interface RequestExecutorOptions {
  readonly store: PlatformStore;
  readonly prefix: string;
  /** Returns this entry's current view of the fleet. */
  readonly readStatus: () => StatusReport;
  /**
   * Waits until a majority of the registered entries has a revision in force;
   * resolves to false on time-out.
   */
  readonly awaitMajority: (
    revision: number,
    timeoutMs: number,
  ) => Promise<boolean>;
  /** Called for each change, made or refused. */
  readonly reportAction: (action: AdministrationAction) => void;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Time limit for the majority to apply a change; after it the answer is 202. */
const MAJORITY_TIMEOUT_MS = 5000;

/** Limit on attempts of a service change that conflicts with other writes. */
const MAX_SERVICE_ATTEMPTS = 3;

type ChangeRequest = RequestOf<
  | AdministrationRequestKind.PUT_RECORD
  | AdministrationRequestKind.DELETE_RECORD
  | AdministrationRequestKind.SET_SERVICE
>;

/** Executes requests against the store and reports on the fleet. */
export class RequestExecutor {
  private readonly writer: RecordWriter;

  private constructor(private readonly options: RequestExecutorOptions) {
    this.writer = RecordWriter.create(options);
  }

  /** Creates an executor. */
  static create(options: RequestExecutorOptions): RequestExecutor {
    return new RequestExecutor(options);
  }

  /** Executes one request; a failure of the store is answered with a refusal. */
  async execute(request: AdministrationRequest): Promise<AdministrationAnswer> {
    switch (request.kind) {
      case AdministrationRequestKind.PUT_RECORD:
      case AdministrationRequestKind.DELETE_RECORD:
      case AdministrationRequestKind.SET_SERVICE:
        return this.change(request);
      case AdministrationRequestKind.GET_STATUS:
        return {kind: AnswerKind.STATUS, report: this.options.readStatus()};
      case AdministrationRequestKind.GET_REVISION:
        return {
          kind: AnswerKind.REVISION,
          status: this.describe(request.revision),
        };
      case AdministrationRequestKind.LIST_RECORDS:
      case AdministrationRequestKind.GET_RECORD:
      case AdministrationRequestKind.GET_HISTORY:
      case AdministrationRequestKind.GET_DATA_CENTRE:
        return this.read(request).catch(failure => ({
          kind: AnswerKind.REFUSAL,
          refusal: refuseUnavailable(failure).refusal,
        }));
    }
  }

  private async read(
    request: RequestOf<
      | AdministrationRequestKind.LIST_RECORDS
      | AdministrationRequestKind.GET_RECORD
      | AdministrationRequestKind.GET_HISTORY
      | AdministrationRequestKind.GET_DATA_CENTRE
    >,
  ): Promise<AdministrationAnswer> {
    switch (request.kind) {
      case AdministrationRequestKind.LIST_RECORDS: {
        const listed = await listRecords(this.options, request.recordKind);
        return {kind: AnswerKind.RECORDS, ...listed};
      }
      case AdministrationRequestKind.GET_RECORD: {
        const record = await getRecord(this.options, request.identity);
        return record === undefined
          ? refuseMissing(request.identity)
          : {kind: AnswerKind.RECORD, record};
      }
      case AdministrationRequestKind.GET_HISTORY: {
        const {identity} = request;
        const versions = await getHistory(this.options, identity);
        return versions.length === 0
          ? refuseMissing(identity)
          : {kind: AnswerKind.HISTORY, identity, versions};
      }
      case AdministrationRequestKind.GET_DATA_CENTRE: {
        const {name} = request;
        const {service, by, revision} = await getDataCentre(this.options, name);
        const status = this.describe(revision);
        return {kind: AnswerKind.DATA_CENTRE, name, service, by, status};
      }
    }
  }

  private async change(request: ChangeRequest): Promise<AdministrationAnswer> {
    const identity = identifyRecord(request);
    const result = await this.perform(request);
    this.options.reportAction({
      by: request.by,
      request: request.kind,
      identity,
      revision: result.isStored ? result.revision : undefined,
      isChanged: result.isStored && result.isChanged,
      problem: result.isStored ? undefined : result.refusal.problem,
    });
    if (!result.isStored) {
      return {kind: AnswerKind.REFUSAL, refusal: result.refusal};
    }
    const {revision, isChanged} = result;
    const isAccepted = await this.options.awaitMajority(
      revision,
      MAJORITY_TIMEOUT_MS,
    );
    const status = {...this.describe(revision), isAccepted};
    return {kind: AnswerKind.CHANGE, identity, isChanged, status};
  }

  private perform(request: ChangeRequest): Promise<WriteResult> {
    if (request.kind === AdministrationRequestKind.SET_SERVICE) {
      return this.setService(request);
    }
    return this.writer.change(toRecordChange(request));
  }

  /**
   * Sets a data centre in or out of service. The new state does not depend on the
   * previous one, so a change that conflicts with another write is made again on
   * top of it. It is written even if the state seems unchanged, since the read may
   * be stale.
   */
  private async setService(
    request: RequestOf<AdministrationRequestKind.SET_SERVICE>,
  ): Promise<WriteResult> {
    const change = toRecordChange(request);
    const isConditional = request.precondition.kind !== PreconditionKind.NONE;
    const maxAttempts = isConditional ? 1 : MAX_SERVICE_ATTEMPTS;
    let result = await this.writer.change(change);
    for (let attempt = 2; attempt <= maxAttempts; attempt += 1) {
      if (!isConflict(result)) return result;
      result = await this.writer.change(change);
    }
    return result;
  }

  private describe(revision: number) {
    return describeRevision(this.options.readStatus(), revision);
  }
}

function isConflict(result: WriteResult): boolean {
  if (result.isStored) return false;
  return result.refusal.problem === AdministrationProblem.CONFLICT;
}

function identifyRecord(request: ChangeRequest): RecordIdentity {
  return request.kind === AdministrationRequestKind.SET_SERVICE
    ? {kind: RecordKind.DATA_CENTRE, name: request.name}
    : request.identity;
}

function toRecordChange(request: ChangeRequest): RecordChange {
  const {precondition} = request;
  const identity = identifyRecord(request);
  switch (request.kind) {
    case AdministrationRequestKind.DELETE_RECORD:
      return {identity, precondition, version: undefined};
    case AdministrationRequestKind.PUT_RECORD: {
      const {schemaVersion, writeId, by, spec} = request;
      return {
        identity,
        precondition,
        version: {schemaVersion, writeId, by, spec},
      };
    }
    case AdministrationRequestKind.SET_SERVICE: {
      const {writeId, by, service} = request;
      const spec = {service};
      const schemaVersion = NEWEST_SCHEMA_VERSION;
      return {
        identity,
        precondition,
        version: {schemaVersion, writeId, by, spec},
      };
    }
  }
}

function refuseMissing({kind, name}: RecordIdentity): AdministrationAnswer {
  const refusal = createRefusal(
    AdministrationProblem.NOT_FOUND,
    `There is no record ${kind}/${name}.`,
  );
  return {kind: AnswerKind.REFUSAL, refusal};
}
