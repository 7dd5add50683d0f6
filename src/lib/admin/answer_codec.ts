/** Encodes answers to operators as HTTP responses. */
import {AnswerKind} from './administration_answer.js';
import type {AdministrationAnswer} from './administration_answer.js';
import {AdministrationProblem} from './administration_problem.js';
import type {AdministrationRefusal} from './administration_problem.js';

/** An HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const STATUS_BY_PROBLEM: Readonly<Record<AdministrationProblem, number>> = {
  [AdministrationProblem.UNAUTHORIZED]: 401,
  [AdministrationProblem.NOT_FOUND]: 404,
  [AdministrationProblem.METHOD_NOT_ALLOWED]: 405,
  [AdministrationProblem.REQUEST_INVALID]: 400,
  [AdministrationProblem.REQUEST_TIMEOUT]: 408,
  [AdministrationProblem.BODY_TOO_LARGE]: 413,
  [AdministrationProblem.RECORD_INVALID]: 422,
  [AdministrationProblem.PRECONDITION_FAILED]: 412,
  [AdministrationProblem.CONFLICT]: 409,
  [AdministrationProblem.STORE_UNAVAILABLE]: 503,
  [AdministrationProblem.OUTCOME_UNKNOWN]: 504,
  [AdministrationProblem.BUSY]: 503,
  [AdministrationProblem.INTERNAL]: 500,
};

const RETRY_AFTER_S = '1';

/** Encodes an answer as JSON, with the record's revision as ETag. */
export function encodeAnswer(answer: AdministrationAnswer): HttpResponse {
  switch (answer.kind) {
    case AnswerKind.RECORDS: {
      const {revision, records} = answer;
      return encodeJson(200, {revision, records});
    }
    case AnswerKind.RECORD:
      return encodeJson(200, answer.record, answer.record.revision);
    case AnswerKind.HISTORY: {
      const {identity, versions} = answer;
      return encodeJson(200, {...identity, versions});
    }
    case AnswerKind.CHANGE: {
      const {identity, isChanged, status} = answer;
      const code = status.isAccepted ? 200 : 202;
      const body = {...identity, isChanged, ...status};
      return encodeJson(code, body, status.revision);
    }
    case AnswerKind.DATA_CENTRE: {
      const {name, service, by, status} = answer;
      return encodeJson(200, {name, service, by, ...status}, status.revision);
    }
    case AnswerKind.STATUS:
      return encodeJson(200, answer.report);
    case AnswerKind.REVISION:
      return encodeJson(200, answer.status);
    case AnswerKind.REFUSAL:
      return encodeRefusal(answer.refusal);
  }
}

/** Encodes a refusal as problem details (RFC 9457). */
export function encodeRefusal(refusal: AdministrationRefusal): HttpResponse {
  const {problem, detail, standingRevision} = refusal;
  const status = STATUS_BY_PROBLEM[problem];
  const isRetryable = status === 503;
  return {
    status,
    headers: {
      'content-type': 'application/problem+json',
      ...(isRetryable ? {'retry-after': RETRY_AFTER_S} : {}),
      ...(status === 401 ? {'www-authenticate': 'Bearer'} : {}),
    },
    body: JSON.stringify({
      type: `urn:foxtailbay:problem:${problem}`,
      title: problem,
      status,
      code: problem,
      detail,
      standingRevision,
    }),
  };
}

function encodeJson(
  status: number,
  body: object,
  revision?: number,
): HttpResponse {
  const etag: Record<string, string> =
    revision === undefined ? {} : {etag: `"${revision}"`};
  return {
    status,
    headers: {'content-type': 'application/json', ...etag},
    body: JSON.stringify(body),
  };
}
