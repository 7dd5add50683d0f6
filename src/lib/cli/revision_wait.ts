/** Waits until a change is in force at every process. */
import type {RevisionStatus} from '../admin/status_report.js';
import type {AdministrationClient} from './administration_client.js';
import {getRevision} from './administration_client.js';
import {MS_PER_S} from './entry_options.js';
import {isSuccess} from './http_exchange.js';
import type {HttpReply} from './http_exchange.js';
import {formatProcesses} from './results/change_result.js';

const POLL_INTERVAL_MS = 250;

/**
 * Polls until every known process has a revision in force or the command's time
 * limit is reached, and returns the last reply. A poll without a response is
 * repeated, since it only reads.
 */
export async function waitForRevision(
  client: AdministrationClient,
  revision: number,
): Promise<HttpReply> {
  const {context, options} = client;
  const endMs = context.readMonotonicMs() + options.timeout * MS_PER_S;
  for (;;) {
    const reply = await getRevision(client, revision);
    const isOver = context.readMonotonicMs() >= endMs;
    if (isOver || readRevision(reply)?.isEverywhere === true) return reply;
    showMissingProcesses(client, reply);
    await new Promise<void>(resolve => {
      context.startTimer(POLL_INTERVAL_MS, resolve);
    });
  }
}

/** Reads a revision's status from a reply; undefined if the request failed. */
export function readRevision(reply: HttpReply): RevisionStatus | undefined {
  return isSuccess(reply) ? (reply.document as RevisionStatus) : undefined;
}

function showMissingProcesses(
  {context}: AdministrationClient,
  reply: HttpReply,
): void {
  const missing = readRevision(reply)?.missing ?? [];
  context.terminal.showProgress(`waiting for ${formatProcesses(missing)}`);
}
