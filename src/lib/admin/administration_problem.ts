/** Why a request of an operator was not carried out. */

/** Stable codes of refusals; `docs/ADMINISTRATION.md` lists them. */
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
  /** Revision at which the record stands, if that is why. */
  readonly standingRevision?: number;
}

/** Creates a refusal. */
export function createRefusal(
  problem: AdministrationProblem,
  detail: string,
  standingRevision?: number,
): AdministrationRefusal {
  return {problem, detail, standingRevision};
}
