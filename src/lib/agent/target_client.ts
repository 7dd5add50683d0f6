/** HTTP client that runs tasks on a target. */
import {startTimer} from '../core/clock.js';
import {openHttpConnections} from '../core/http_connections.js';
import type {HttpConnections} from '../core/http_connections.js';
import {SendOutcome} from '../core/send_once.js';
import type {SendResult} from '../core/send_once.js';
import {AgentTaskEvent} from '../decisions/agent_task.js';
import type {AgentTask, RunEnd} from '../decisions/agent_task.js';
import type {TargetAnnouncement} from './runner_messages.js';

/** Response header in which a target reports that a task was not started. */
export const STARTED_HEADER = 'foxtailbay-started';

/** Statuses that, together with the header, prove that a task was not started. */
const NOT_STARTED_STATUSES = new Set([409, 421, 503]);

const IDLE_TIMEOUT_MS = 4000;
const MAX_DETAIL_BYTES = 1024;
const NO_BYTES = new Uint8Array(0);

type Reply = Extract<SendResult, {outcome: SendOutcome.REPLIED}>;

/** Limits of one run. */
export interface RunLimits {
  /** Host's monotonic time in milliseconds after which the target must not start. */
  readonly startBeforeMs: number;
  readonly resultBytesAtMost: number;
}

/** Runs one task; resolves with its end and never rejects. */
export type RunOnTarget = (
  task: AgentTask,
  limits: RunLimits,
) => Promise<RunEnd>;

/** The connections to one instance of a target. */
export interface TargetConnections {
  readonly run: RunOnTarget;
  /** Waits for requests in progress, then closes the connections. */
  readonly close: () => Promise<void>;
}

/** Connects to a target that has announced itself. */
export type ConnectTarget = (
  announcement: TargetAnnouncement,
) => TargetConnections;

/** Connects over HTTP/1.1 without pipelining; no request is sent twice. */
export const connectTarget: ConnectTarget = announcement => {
  const connections = openHttpConnections({
    origin: announcement.address,
    connectionsAtMost: announcement.connections,
    idleMs: IDLE_TIMEOUT_MS,
    startTimer,
  });
  return {
    run: (task, limits) =>
      runTask(connections, announcement.instance, task, limits),
    close: connections.close,
  };
};

async function runTask(
  connections: HttpConnections,
  instance: string,
  task: AgentTask,
  limits: RunLimits,
): Promise<RunEnd> {
  const result = await connections.send({
    method: 'POST',
    path: '/v1/tasks',
    headers: listHeaders(instance, task, limits.startBeforeMs),
    body: task.order.payload,
    timeoutMs: task.order.runWithinMs,
  });
  switch (result.outcome) {
    case SendOutcome.REPLIED:
      return readEnd(result, limits.resultBytesAtMost);
    case SendOutcome.NOT_SENT:
      return describeFailure(AgentTaskEvent.UNSENT, result.cause);
    case SendOutcome.UNANSWERED:
      return describeFailure(AgentTaskEvent.BROKEN, result.cause);
  }
}

function listHeaders(
  instance: string,
  task: AgentTask,
  startBeforeMs: number,
): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(task.order.payload.length),
    'foxtailbay-job': task.order.job,
    'foxtailbay-task': String(task.order.index),
    'foxtailbay-instance': instance,
    'foxtailbay-start-before': startBeforeMs.toFixed(3),
  };
  if (task.order.trace !== '') headers.traceparent = task.order.trace;
  return headers;
}

function readEnd(reply: Reply, maxBytes: number): RunEnd {
  const targetStatus = reply.status;
  const isUnstarted =
    NOT_STARTED_STATUSES.has(targetStatus) &&
    reply.headers.get(STARTED_HEADER) === 'no';
  const {body} = reply;
  if (isUnstarted) {
    return {event: AgentTaskEvent.UNSENT, result: NO_BYTES, targetStatus};
  }
  if (targetStatus < 200 || targetStatus > 299) {
    const result = body.subarray(0, MAX_DETAIL_BYTES);
    return {event: AgentTaskEvent.REJECTED, result, targetStatus};
  }
  if (body.length > maxBytes) {
    const detail = `The result of ${body.length} bytes is over the limit of ${maxBytes}.`;
    return rejectResult(detail, targetStatus);
  }
  if (!isJson(body)) {
    return rejectResult('The result is not JSON.', targetStatus);
  }
  return {event: AgentTaskEvent.ANSWERED, result: body, targetStatus};
}

function rejectResult(detail: string, targetStatus: number): RunEnd {
  const result = new TextEncoder().encode(detail);
  return {event: AgentTaskEvent.REJECTED, result, targetStatus};
}

function isJson(body: Uint8Array): boolean {
  try {
    JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(body));
    return true;
  } catch {
    return false;
  }
}

function describeFailure(
  event: AgentTaskEvent.UNSENT | AgentTaskEvent.BROKEN,
  cause: unknown,
): RunEnd {
  const text = cause instanceof Error ? cause.message : 'No answer in time.';
  const result = new TextEncoder().encode(text);
  return {event, result, targetStatus: 0};
}
