/**
 * Messages of the target stand-in's task, and their decoding from HTTP
 * requests.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {HttpExchange} from './http_listener.js';
import {decodeTargetControl} from './target_control.js';
import type {TargetControl} from './target_control.js';
import {readTaskRequest} from './target_request.js';
import type {TaskRequest} from './target_request.js';
import type {WorkPlan} from './target_work.js';

/** Kinds of message that the target's task handles. */
export enum MessageKind {
  RUN,
  RUN_ENDED,
  ABANDONED,
  RENEW,
  CONTROL,
  REPORT,
  DISCONNECTED,
  STOP,
}

/** A message to the target's task. */
export type TargetMessage =
  | {
      readonly kind: MessageKind.RUN;
      readonly request: TaskRequest;
      readonly response: ServerResponse;
    }
  | {
      readonly kind: MessageKind.RUN_ENDED;
      readonly sequence: number;
      readonly plan: WorkPlan;
      readonly response: ServerResponse;
    }
  | {readonly kind: MessageKind.ABANDONED; readonly sequence: number}
  | {readonly kind: MessageKind.RENEW | MessageKind.STOP}
  | {
      readonly kind: MessageKind.CONTROL;
      readonly control: TargetControl;
      readonly response: ServerResponse;
    }
  | {
      readonly kind: MessageKind.REPORT;
      readonly after: number;
      readonly response: ServerResponse;
    }
  | {readonly kind: MessageKind.DISCONNECTED; readonly socket: Socket};

const TASKS_PATH = '/v1/tasks';
const RECORD_PATH = '/record';
const CONTROL_PATH = '/control';

/**
 * Decodes a request; returns undefined for an unknown path or an invalid
 * control request.
 */
export function decodeTargetMessage(
  exchange: HttpExchange,
): TargetMessage | undefined {
  const {method, url, body, response} = exchange;
  const {pathname} = url;
  if (method === 'POST' && pathname === TASKS_PATH) {
    const request = readTaskRequest(exchange);
    return {kind: MessageKind.RUN, request, response};
  }
  if (method === 'GET' && pathname === RECORD_PATH) {
    const after = Number(url.searchParams.get('after') ?? 0);
    return {kind: MessageKind.REPORT, after, response};
  }
  if (method !== 'POST' || pathname !== CONTROL_PATH) return undefined;
  const control = decodeTargetControl(body);
  return control && {kind: MessageKind.CONTROL, control, response};
}
