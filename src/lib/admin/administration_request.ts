/** Requests of operators, independent of HTTP. */
import type {
  RecordIdentity,
  RecordKind,
  ServiceState,
} from '../records/record.js';
import type {Precondition} from './write_plan.js';

/** Kinds of request of an operator. */
export enum AdministrationRequestKind {
  LIST_RECORDS = 'list-records',
  GET_RECORD = 'get-record',
  GET_HISTORY = 'get-history',
  PUT_RECORD = 'put-record',
  DELETE_RECORD = 'delete-record',
  SET_SERVICE = 'set-service',
  GET_DATA_CENTRE = 'get-data-centre',
  GET_STATUS = 'get-status',
  GET_REVISION = 'get-revision',
}

/** A request of an operator. */
export type AdministrationRequest =
  | {
      readonly kind: AdministrationRequestKind.LIST_RECORDS;
      /** Absent: records of all kinds. */
      readonly recordKind?: RecordKind;
    }
  | {
      readonly kind:
        | AdministrationRequestKind.GET_RECORD
        | AdministrationRequestKind.GET_HISTORY;
      readonly identity: RecordIdentity;
    }
  | {
      readonly kind: AdministrationRequestKind.PUT_RECORD;
      readonly identity: RecordIdentity;
      readonly precondition: Precondition;
      readonly schemaVersion: number;
      readonly spec: unknown;
      readonly by: string;
      readonly writeId: string;
    }
  | {
      readonly kind: AdministrationRequestKind.DELETE_RECORD;
      readonly identity: RecordIdentity;
      readonly precondition: Precondition;
      readonly by: string;
    }
  | {
      readonly kind: AdministrationRequestKind.SET_SERVICE;
      readonly name: string;
      readonly service: ServiceState;
      readonly precondition: Precondition;
      readonly by: string;
      readonly writeId: string;
    }
  | {
      readonly kind: AdministrationRequestKind.GET_DATA_CENTRE;
      readonly name: string;
    }
  | {readonly kind: AdministrationRequestKind.GET_STATUS}
  | {
      readonly kind: AdministrationRequestKind.GET_REVISION;
      readonly revision: number;
    };

/** The request type of the given kind or kinds. */
export type RequestOf<K extends AdministrationRequestKind> = Extract<
  AdministrationRequest,
  {readonly kind: K}
>;
