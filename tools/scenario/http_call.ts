/** HTTP calls of the scenario tools; each is sent at most once. */
import {Agent, request} from 'undici';
import {ScenarioError} from './scenario_error.js';

/** One call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Sent as it is, in place of `body`. */
  readonly text?: string;
  readonly timeoutMs?: number;
}

/** What came back. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Makes a call; rejects when no whole reply arrives. */
export type CallHttp = (call: HttpCall) => Promise<HttpReply>;

const CALL_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Makes calls over connections of its own until it is closed. */
export interface HttpCaller {
  readonly call: CallHttp;
  readonly close: () => Promise<void>;
}

/** Creates a caller with its own connections. */
export function createHttpCaller(): HttpCaller {
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

/** Returns the parsed body of a successful reply. */
export function readReply<T>(call: HttpCall, reply: HttpReply): T {
  if (reply.status >= 300) {
    throw new ScenarioError(
      `${call.method} ${call.url} was answered ${reply.status}: ${reply.text}`,
    );
  }
  return (reply.text === '' ? undefined : JSON.parse(reply.text)) as T;
}
