/** Answers to operators, independent of HTTP. */
import type {RecordIdentity, ServiceState} from '../records/record.js';
import type {PastRecordVersion, RecordFault} from '../records/record_body.js';
import type {AdministrationRefusal} from './administration_problem.js';
import type {RevisionStatus, StatusReport} from './status_report.js';

/** Kinds of answer to an operator. */
export enum AnswerKind {
  RECORDS = 'records',
  RECORD = 'record',
  HISTORY = 'history',
  CHANGE = 'change',
  DATA_CENTRE = 'data-centre',
  STATUS = 'status',
  REVISION = 'revision',
  REFUSAL = 'refusal',
}

/** Why the newest version of a record is not in force. */
export interface StoredRecordFault {
  readonly fault: RecordFault;
  readonly detail: string;
}

/** A record as currently stored. */
export interface StoredRecord extends RecordIdentity {
  readonly revision: number;
  readonly schemaVersion: number;
  readonly by: string;
  readonly writeId: string;
  readonly spec: unknown;
  /** Absent if the newest version is valid. */
  readonly problem?: StoredRecordFault;
}

/** An answer to an operator. */
export type AdministrationAnswer =
  | {
      readonly kind: AnswerKind.RECORDS;
      readonly revision: number;
      readonly records: readonly StoredRecord[];
    }
  | {readonly kind: AnswerKind.RECORD; readonly record: StoredRecord}
  | {
      readonly kind: AnswerKind.HISTORY;
      readonly identity: RecordIdentity;
      readonly versions: readonly PastRecordVersion[];
    }
  | {
      readonly kind: AnswerKind.CHANGE;
      readonly identity: RecordIdentity;
      /** False if the change had been applied before. */
      readonly isChanged: boolean;
      readonly status: RevisionStatus;
    }
  | {
      readonly kind: AnswerKind.DATA_CENTRE;
      readonly name: string;
      readonly service: ServiceState;
      readonly by: string;
      readonly status: RevisionStatus;
    }
  | {readonly kind: AnswerKind.STATUS; readonly report: StatusReport}
  | {readonly kind: AnswerKind.REVISION; readonly status: RevisionStatus}
  | {
      readonly kind: AnswerKind.REFUSAL;
      readonly refusal: AdministrationRefusal;
    };
