/** Decodes operators' HTTP requests. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
  RECORD_NAME_PATTERN,
  RecordKind,
  ServiceState,
  parseRecordKind,
} from '../records/record.js';
import type {RecordIdentity} from '../records/record.js';
import {
  AdministrationProblem,
  createRefusal,
} from './administration_problem.js';
import type {AdministrationRefusal} from './administration_problem.js';
import {AdministrationRequestKind} from './administration_request.js';
import type {AdministrationRequest} from './administration_request.js';
import {PreconditionKind} from './write_plan.js';
import type {Precondition} from './write_plan.js';

/** The parts of an HTTP request that are decoded; header names in lower case. */
export interface HttpRequestParts {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** A decoded request, or the refusal of a malformed one. */
export type DecodedRequest =
  | {readonly isValid: true; readonly request: AdministrationRequest}
  | {readonly isValid: false; readonly refusal: AdministrationRefusal};

/** Decodes a request to one resource, given the path segments below it. */
type DecodeRoute = (
  parts: HttpRequestParts,
  segments: readonly string[],
  createWriteId: () => string,
) => DecodedRequest;

/** Header with the operator's name, which is stored in records and logged. */
const OPERATOR_HEADER = 'foxtailbay-operator';
const UNNAMED_OPERATOR = 'unnamed';
const OPERATOR_PATTERN = /^[\x20-\x7e]{1,64}$/;
const WRITE_ID_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const REVISION_PATTERN = /^(?:W\/)?"?(\d{1,15})"?$/;

/** Checks in constant time whether an `Authorization` header carries the key. */
export function checkAuthorization(
  header: string | undefined,
  key: string,
): boolean {
  const given = /^Bearer (.+)$/i.exec(header ?? '')?.[1] ?? '';
  return timingSafeEqual(computeDigest(given), computeDigest(key));
}

/** Decodes a request; `createWriteId` is called if a change has no idempotency key. */
export function decodeRequest(
  parts: HttpRequestParts,
  createWriteId: () => string,
): DecodedRequest {
  const segments = parseSegments(parts.path);
  const [version, resource] = segments ?? [];
  const decode = version === 'v1' ? ROUTES.get(resource) : undefined;
  if (decode === undefined) return refusePath(parts);
  return decode(parts, segments!.slice(2), createWriteId);
}

const ROUTES = new Map<string, DecodeRoute>([
  ['records', decodeRecords],
  ['data-centres', decodeDataCentre],
  ['status', decodeStatus],
  ['revisions', decodeRevision],
]);

function decodeRecords(
  parts: HttpRequestParts,
  [kindText, name, tail, ...rest]: readonly string[],
  createWriteId: () => string,
): DecodedRequest {
  if (kindText === undefined) return decodeList(parts);
  const kind = parseRecordKind(kindText);
  if (kind === undefined) return refuseKind(kindText);
  if (name === undefined) return decodeList(parts, kind);
  if (!RECORD_NAME_PATTERN.test(name)) return refuseName(name);
  const identity = {kind, name};
  if (tail === undefined) return decodeRecord(parts, identity, createWriteId);
  if (tail !== 'history' || rest.length > 0) return refusePath(parts);
  if (parts.method !== 'GET') return refuseMethod('GET');
  return accept({kind: AdministrationRequestKind.GET_HISTORY, identity});
}

function decodeList(
  parts: HttpRequestParts,
  recordKind?: RecordKind,
): DecodedRequest {
  if (parts.method !== 'GET') return refuseMethod('GET');
  return accept({kind: AdministrationRequestKind.LIST_RECORDS, recordKind});
}

function decodeRecord(
  parts: HttpRequestParts,
  identity: RecordIdentity,
  createWriteId: () => string,
): DecodedRequest {
  if (parts.method === 'GET') {
    return accept({kind: AdministrationRequestKind.GET_RECORD, identity});
  }
  const isPut = parts.method === 'PUT';
  if (!isPut && parts.method !== 'DELETE') {
    return refuseMethod('GET, PUT or DELETE');
  }
  const change = readChange(parts, createWriteId);
  if (change === undefined) return refuseHeaders();
  const {by, precondition, writeId} = change;
  if (isPut) return decodePut(parts, {identity, by, precondition, writeId});
  const kind = AdministrationRequestKind.DELETE_RECORD;
  return accept({kind, identity, by, precondition});
}

function decodePut(
  parts: HttpRequestParts,
  change: ChangeHeaders & {identity: RecordIdentity},
): DecodedRequest {
  const body = parseObject(parts.body);
  const {kind, name} = change.identity;
  if (body === undefined || !Number.isInteger(body.schemaVersion)) {
    return refuse(
      AdministrationProblem.REQUEST_INVALID,
      'The body must be {"schemaVersion": whole number, "spec": {...}}.',
    );
  }
  const isOtherRecord =
    (body.kind ?? kind) !== kind || (body.name ?? name) !== name;
  if (isOtherRecord) {
    return refuse(
      AdministrationProblem.REQUEST_INVALID,
      `The body is of another record than the path's ${kind}/${name}.`,
    );
  }
  return accept({
    kind: AdministrationRequestKind.PUT_RECORD,
    ...change,
    schemaVersion: body.schemaVersion as number,
    spec: body.spec,
  });
}

function decodeDataCentre(
  parts: HttpRequestParts,
  [name, action, ...rest]: readonly string[],
  createWriteId: () => string,
): DecodedRequest {
  if (name === undefined || rest.length > 0) return refusePath(parts);
  if (!RECORD_NAME_PATTERN.test(name)) return refuseName(name);
  if (action === undefined) {
    if (parts.method !== 'GET') return refuseMethod('GET');
    return accept({kind: AdministrationRequestKind.GET_DATA_CENTRE, name});
  }
  const service = Object.values(ServiceState).find(state => state === action);
  if (service === undefined) return refusePath(parts);
  if (parts.method !== 'POST') return refuseMethod('POST');
  const change = readChange(parts, createWriteId);
  if (change === undefined) return refuseHeaders();
  const kind = AdministrationRequestKind.SET_SERVICE;
  return accept({kind, name, service, ...change});
}

function decodeStatus(
  parts: HttpRequestParts,
  segments: readonly string[],
): DecodedRequest {
  if (segments.length > 0) return refusePath(parts);
  if (parts.method !== 'GET') return refuseMethod('GET');
  return accept({kind: AdministrationRequestKind.GET_STATUS});
}

function decodeRevision(
  parts: HttpRequestParts,
  [text, ...rest]: readonly string[],
): DecodedRequest {
  if (rest.length > 0 || !/^\d{1,15}$/.test(text ?? '')) {
    return refusePath(parts);
  }
  if (parts.method !== 'GET') return refuseMethod('GET');
  const revision = Number(text);
  return accept({kind: AdministrationRequestKind.GET_REVISION, revision});
}

interface ChangeHeaders {
  readonly by: string;
  readonly writeId: string;
  readonly precondition: Precondition;
}

/** Reads the headers of a change; undefined if one of them is invalid. */
function readChange(
  {headers}: HttpRequestParts,
  createWriteId: () => string,
): ChangeHeaders | undefined {
  const by = readHeader(headers[OPERATOR_HEADER]) ?? UNNAMED_OPERATOR;
  const writeId = readHeader(headers['idempotency-key']) ?? createWriteId();
  const precondition = readPrecondition(
    readHeader(headers['if-match']),
    readHeader(headers['if-none-match']),
  );
  const isValid = OPERATOR_PATTERN.test(by) && WRITE_ID_PATTERN.test(writeId);
  if (!isValid || precondition === undefined) return undefined;
  return {by, writeId, precondition};
}

function readPrecondition(
  match: string | undefined,
  noneMatch: string | undefined,
): Precondition | undefined {
  if (match === undefined && noneMatch === undefined) {
    return {kind: PreconditionKind.NONE, revision: 0};
  }
  if (match === undefined) {
    if (noneMatch !== '*') return undefined;
    return {kind: PreconditionKind.ABSENT, revision: 0};
  }
  const revision = REVISION_PATTERN.exec(match)?.[1];
  if (revision === undefined || noneMatch !== undefined) return undefined;
  return {kind: PreconditionKind.REVISION, revision: Number(revision)};
}

function readHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}

function parseSegments(path: string): string[] | undefined {
  try {
    const [, ...segments] = path.split('?')[0].split('/');
    return segments.map(decodeURIComponent);
  } catch {
    return undefined;
  }
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== 'object' || value === null) return undefined;
    return value as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

function computeDigest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function accept(request: AdministrationRequest): DecodedRequest {
  return {isValid: true, request};
}

function refuse(
  problem: AdministrationProblem,
  detail: string,
): DecodedRequest {
  return {isValid: false, refusal: createRefusal(problem, detail)};
}

function refusePath({path}: HttpRequestParts): DecodedRequest {
  return refuse(AdministrationProblem.NOT_FOUND, `Nothing is at ${path}.`);
}

function refuseKind(kind: string): DecodedRequest {
  const kinds = Object.values(RecordKind).join(', ');
  const detail = `There is no kind "${kind}"; kinds are ${kinds}.`;
  return refuse(AdministrationProblem.NOT_FOUND, detail);
}

function refuseName(name: string): DecodedRequest {
  return refuse(
    AdministrationProblem.REQUEST_INVALID,
    `"${name}" is no name: 1 to 64 letters, digits, ".", "_" and "-", the first a letter or digit.`,
  );
}

function refuseMethod(allowed: string): DecodedRequest {
  const detail = `The method must be ${allowed}.`;
  return refuse(AdministrationProblem.METHOD_NOT_ALLOWED, detail);
}

function refuseHeaders(): DecodedRequest {
  return refuse(
    AdministrationProblem.REQUEST_INVALID,
    'If-Match takes one revision, If-None-Match takes *, not both; ' +
      'Foxtailbay-Operator takes 1 to 64 printable characters; ' +
      'Idempotency-Key takes 1 to 64 letters, digits, "_" and "-".',
  );
}
