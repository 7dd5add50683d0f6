/** HTTP client of the scenario tools; it never retries a call. */
import {Agent, request} from 'undici';
import {ScenarioError} from './scenario_error.js';

/** An HTTP request; `timeoutMs` covers the whole call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Sent unchanged instead of `body`. */
  readonly text?: string;
  readonly timeoutMs?: number;
}

/** Status, headers and complete body of a response. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Makes a call; rejects if no complete reply arrives in time. */
export type CallHttp = (call: HttpCall) => Promise<HttpReply>;

const CALL_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** HTTP client with its own connection pool. */
export interface HttpClient {
  readonly call: CallHttp;
  readonly close: () => Promise<void>;
}

/** Creates a client; closing it destroys its connections. */
export function createHttpClient(): HttpClient {
  const dispatcher = new Agent({
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    call: call => callOnce(call, dispatcher),
    close: () => dispatcher.destroy(),
  };
}

async function callOnce(call: HttpCall, dispatcher: Agent): Promise<HttpReply> {
  const text =
    call.text ?? (call.body === undefined ? null : JSON.stringify(call.body));
  const reply = await request(call.url, {
    dispatcher,
    method: call.method,
    headers: {
      ...(text === null ? {} : {'content-type': 'application/json'}),
      ...call.headers,
    },
    body: text,
    signal: AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS),
  });
  return {
    status: reply.statusCode,
    headers: reply.headers,
    text: await reply.body.text(),
  };
}

/** Returns the parsed body of a reply. @throws ScenarioError for status 300 and above. */
export function readReply<T>(call: HttpCall, reply: HttpReply): T {
  if (reply.status >= 300) {
    throw new ScenarioError(
      `${call.method} ${call.url} failed with status ${reply.status}: ${reply.text}`,
    );
  }
  return (reply.text === '' ? undefined : JSON.parse(reply.text)) as T;
}
