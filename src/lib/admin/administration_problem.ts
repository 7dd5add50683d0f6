/** Reasons for which operators' requests are refused. */

/** Stable error codes, documented in `docs/ADMINISTRATION.md`. */
export enum AdministrationProblem {
  UNAUTHORIZED = 'unauthorized',
  NOT_FOUND = 'not-found',
  METHOD_NOT_ALLOWED = 'method-not-allowed',
  REQUEST_INVALID = 'request-invalid',
  REQUEST_TIMEOUT = 'request-timeout',
  BODY_TOO_LARGE = 'body-too-large',
  RECORD_INVALID = 'record-invalid',
  PRECONDITION_FAILED = 'precondition-failed',
  CONFLICT = 'conflict',
  STORE_UNAVAILABLE = 'store-unavailable',
  OUTCOME_UNKNOWN = 'outcome-unknown',
  BUSY = 'busy',
  INTERNAL = 'internal',
}

/** A refusal: its code and one sentence for the operator. */
export interface AdministrationRefusal {
  readonly problem: AdministrationProblem;
  readonly detail: string;
  /** Current revision of the record, if it caused the refusal. */
  readonly standingRevision?: number;
}

/** Creates a refusal with a detail that is shown to the operator. */
export function createRefusal(
  problem: AdministrationProblem,
  detail: string,
  standingRevision?: number,
): AdministrationRefusal {
  return {problem, detail, standingRevision};
}
