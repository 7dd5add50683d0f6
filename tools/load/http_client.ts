/** HTTP requests of the load tool to the stand-ins and the administration API. */
import {request} from 'undici';
import {RequestError} from '../../src/lib/core/errors.js';
import {ADMINISTRATION_KEY, LOOPBACK_HOST} from './fleet_files.js';

const CALL_TIMEOUT_MS = 10_000;

/** One HTTP request to a process on loopback. */
export interface Call {
  readonly port: number;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
}

/**
 * Sends a request and returns the JSON of the response.
 *
 * @throws RequestError if the status is 300 or above.
 */
export async function callJson<T>(call: Call): Promise<T> {
  const {port, method = 'GET', path, body} = call;
  const response = await request(`http://${LOOPBACK_HOST}:${port}${path}`, {
    method,
    body,
    headers: {
      authorization: `Bearer ${ADMINISTRATION_KEY}`,
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
    },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new RequestError(
      `${method} ${path} answered ${response.statusCode}: ${text}`,
    );
  }
  return JSON.parse(text || 'null') as T;
}
