/**
 * Decodes task requests at the target stand-in and decides whether the task
 * starts.
 */
import {parseObject} from './http_listener.js';
import type {HttpExchange} from './http_listener.js';
import {RefusalReason} from './target_record.js';
import type {TaskName} from './target_record.js';

/** Decoded request to run a task. */
export interface TaskRequest {
  readonly name: TaskName;
  readonly payload: unknown;
  /**
   * Instance of the target that the request is addressed to, if it names one.
   */
  readonly instance: string | undefined;
  /** Monotonic time in milliseconds after which the task must not start. */
  readonly startBeforeMs: number | undefined;
}

/** State of the target at the time a request arrives. */
export interface TargetStatus {
  readonly instance: string;
  readonly isLeaving: boolean;
  readonly nowMs: number;
}

/** Decodes the headers and the body of a task request. */
export function readTaskRequest(exchange: HttpExchange): TaskRequest {
  const {headers, body} = exchange;
  const payload = parsePayload(body);
  const startBefore = readHeader(headers['foxtailbay-start-before']);
  return {
    name: {
      job: readHeader(headers['foxtailbay-job']) ?? '',
      index: Number(readHeader(headers['foxtailbay-task']) ?? 0),
      id: parseObject(body)?.id ?? null,
    },
    payload,
    instance: readHeader(headers['foxtailbay-instance']),
    startBeforeMs: startBefore === undefined ? undefined : Number(startBefore),
  };
}

/** Returns why a task must not start, or undefined if it may start. */
export function findRefusal(
  request: TaskRequest,
  status: TargetStatus,
): RefusalReason | undefined {
  const {instance, startBeforeMs} = request;
  if (instance !== undefined && instance !== status.instance) {
    return RefusalReason.OTHER_INSTANCE;
  }
  if (startBeforeMs !== undefined && !(status.nowMs <= startBeforeMs)) {
    return RefusalReason.LATE;
  }
  return status.isLeaving ? RefusalReason.LEAVING : undefined;
}

function readHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function parsePayload(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}
