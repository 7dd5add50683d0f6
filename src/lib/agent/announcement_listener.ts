/** HTTP listener of an agent on which its target announces itself. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {openHttpListener} from '../core/http_listener.js';
import type {HttpListener} from '../core/http_listener.js';
import {BodyOutcome, readBody} from '../core/read_body.js';
import type {Post} from '../core/task.js';
import {TargetMessageKind} from './runner_messages.js';
import type {TargetAnnouncement, TargetMessage} from './runner_messages.js';

const MAX_BODY_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 5000;
const MAX_SLOTS = 100_000;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const PATH_PATTERN = /^\/v1\/targets\/([^/?]+)$/;

/** Options of `openAnnouncementListener`. */
export interface AnnouncementListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Time in milliseconds within which a target must renew; sent in the answer. */
  readonly leaseMs: number;
  readonly postToTarget: Post<TargetMessage>;
  /** Tells whether `/readyz` answers that the agent is ready. */
  readonly isReady: () => boolean;
}

/** Opens the listener; announcements are posted to the target's task. */
export function openAnnouncementListener(
  options: AnnouncementListenerOptions,
): Promise<HttpListener> {
  return openHttpListener({
    host: options.host,
    port: options.port,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    handle: (request, response) => {
      void answerRequest(options, request, response);
    },
  });
}

async function answerRequest(
  options: AnnouncementListenerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = request.url ?? '';
  if (path === '/healthz') return sendJson(response, 200, {state: 'alive'});
  if (path === '/readyz') {
    const isReady = options.isReady();
    return sendJson(response, isReady ? 200 : 503, {isReady});
  }
  const name = PATH_PATTERN.exec(path)?.[1];
  if (name === undefined) {
    return sendProblem(response, 404, 'not-found', `Nothing is at ${path}.`);
  }
  const body = await readBody(request, MAX_BODY_BYTES);
  if (body.outcome === BodyOutcome.ABORTED) return;
  if (body.outcome === BodyOutcome.TOO_LARGE) {
    response.setHeader('connection', 'close');
    return sendProblem(
      response,
      413,
      'body-too-large',
      `The body is over ${MAX_BODY_BYTES} bytes.`,
    );
  }
  if (request.method === 'PUT') {
    return handleAnnouncement(options, name, body.bytes, response);
  }
  if (request.method === 'DELETE') {
    return handleDeregistration(options, name, body.bytes, response);
  }
  sendProblem(response, 405, 'request-invalid', 'Use PUT or DELETE.');
}

function handleAnnouncement(
  options: AnnouncementListenerOptions,
  name: string,
  bytes: Buffer,
  response: ServerResponse,
): void {
  const announcement = parseAnnouncement(name, parseObject(bytes));
  if (typeof announcement === 'string') {
    return sendProblem(response, 400, 'request-invalid', announcement);
  }
  options.postToTarget({kind: TargetMessageKind.ANNOUNCED, announcement});
  sendJson(response, 200, {renewWithinMs: options.leaseMs});
}

function handleDeregistration(
  options: AnnouncementListenerOptions,
  name: string,
  bytes: Buffer,
  response: ServerResponse,
): void {
  const instance = parseObject(bytes)?.instance;
  if (typeof instance !== 'string') {
    const detail = 'A goodbye needs {"instance": string}.';
    return sendProblem(response, 400, 'request-invalid', detail);
  }
  options.postToTarget({
    kind: TargetMessageKind.DEREGISTERED,
    name,
    instance,
  });
  response.writeHead(204).end();
}

function parseObject(bytes: Buffer): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    if (typeof value !== 'object' || value === null) return undefined;
    return value as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

/** Returns the announcement, or a message that describes its first error. */
function parseAnnouncement(
  name: string,
  body: Record<string, unknown> | undefined,
): TargetAnnouncement | string {
  if (body === undefined) return 'The body is not a JSON object.';
  const {address, instance, slots, connections} = body;
  if (!NAME_PATTERN.test(name)) {
    return 'The name may hold 1 to 64 letters, digits, ".", "_" and "-".';
  }
  if (typeof address !== 'string' || !isHttpUrl(address)) {
    return '"address" must be an http:// URL.';
  }
  if (typeof instance !== 'string' || instance === '') {
    return '"instance" must be a text that differs for each life of the target.';
  }
  if (!isCount(slots)) return '"slots" must be a whole number above 0.';
  if (!isCount(connections)) {
    return '"connections" must be a whole number above 0.';
  }
  return {
    name,
    address,
    instance,
    slots: Math.min(slots, connections),
    connections,
  };
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && new URL(text).protocol === 'http:';
}

function isCount(value: unknown): value is number {
  return (
    Number.isInteger(value) &&
    (value as number) > 0 &&
    (value as number) <= MAX_SLOTS
  );
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response
    .writeHead(status, {'content-type': 'application/json'})
    .end(JSON.stringify(body));
}

function sendProblem(
  response: ServerResponse,
  status: number,
  code: string,
  detail: string,
): void {
  const type = `urn:foxtailbay:problem:${code}`;
  response
    .writeHead(status, {'content-type': 'application/problem+json'})
    .end(JSON.stringify({type, title: code, status, code, detail}));
}
