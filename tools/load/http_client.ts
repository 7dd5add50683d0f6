/** Small HTTP calls of the load tool to stand-ins and administration. */
import {request} from 'undici';
import {RequestError} from '../../src/lib/core/errors.js';
import {ADMINISTRATION_KEY, HOST} from './fleet_files.js';

const CALL_TIMEOUT_MS = 10_000;

/** The parts of a call. */
export interface Call {
  readonly port: number;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
}

/**
 * Makes one call and returns the JSON of its answer.
 *
 * @throws RequestError if the status is not of the 200s.
 */
export async function callJson<T>(call: Call): Promise<T> {
  const {port, method = 'GET', path, body} = call;
  const answer = await request(`http://${HOST}:${port}${path}`, {
    method,
    body,
    headers: {
      authorization: `Bearer ${ADMINISTRATION_KEY}`,
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
    },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) {
    throw new RequestError(
      `${method} ${path} answered ${answer.statusCode}: ${text}`,
    );
  }
  return JSON.parse(text || 'null') as T;
}
