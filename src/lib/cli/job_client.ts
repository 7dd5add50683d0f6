/** Client of the API for callers. */
import type {CommandContext} from './command_context.js';
import type {EntryOptions} from './entry_options.js';
import {MS_PER_S} from './entry_options.js';
import {composeUrl, Method} from './http_exchange.js';
import type {HttpReply} from './http_exchange.js';
import type {JobFile} from './job_file.js';

/** Extra time for the response to arrive after the job's deadline. */
const ANSWER_MARGIN_MS = 5000;

/** The context and options that each call needs. */
export interface JobClient {
  readonly context: CommandContext;
  readonly options: EntryOptions;
}

/** Requests a new session for a team. */
export function openSession(
  client: JobClient,
  team: string,
): Promise<HttpReply> {
  return client.context.send({
    method: Method.POST,
    url: composeUrl(client.options.entry, 'v1', 'sessions'),
    body: {team},
    timeoutMs: client.options.timeout * MS_PER_S,
  });
}

/** Submits a job under an idempotency key and waits for its result. */
export function submitJob(
  client: JobClient,
  job: JobFile,
  key: string,
): Promise<HttpReply> {
  const timeoutMs = client.options.timeout * MS_PER_S;
  const deadlineMs = (job.deadlineMs ?? 0) + ANSWER_MARGIN_MS;
  return client.context.send({
    method: Method.POST,
    url: composeUrl(client.options.entry, 'v1', 'jobs'),
    headers: {'idempotency-key': key},
    body: job,
    timeoutMs: Math.max(timeoutMs, deadlineMs),
  });
}

/** Requests the result or the progress of a job. */
export function getJob(client: JobClient, key: string): Promise<HttpReply> {
  return sendJobRequest(client, Method.GET, key);
}

/** Requests the cancellation of a job. */
export function cancelJob(client: JobClient, key: string): Promise<HttpReply> {
  return sendJobRequest(client, Method.DELETE, key);
}

function sendJobRequest(
  {context, options}: JobClient,
  method: Method,
  key: string,
): Promise<HttpReply> {
  return context.send({
    method,
    url: composeUrl(options.entry, 'v1', 'jobs', key),
    timeoutMs: options.timeout * MS_PER_S,
  });
}
