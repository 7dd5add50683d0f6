/**
 * Confines a queue whose jobs crash targets to a part of the targets, so that the
 * other queues keep theirs: a bulkhead.
 */
import {rankAddresses} from './choose_links.js';

/** Time in milliseconds for which a queue is confined after a deadly task of it. */
const CONFINEMENT_MS = 10_000;

/** Share of the targets that a confined queue may use. */
const CONFINED_SHARE = 0.25;

/** The queues that had a deadly task lately. */
export class QueueContainment {
  /** Time of the latest proof of a deadly task, by queue. */
  private readonly provenAtMs = new Map<string, number>();

  private constructor() {}

  /** Creates a containment that confines no queue. */
  static create(): QueueContainment {
    return new QueueContainment();
  }

  /** Records that a task of the queue was proven deadly. */
  recordDeadly(queue: string, nowMs: number): void {
    this.provenAtMs.set(queue, nowMs);
  }

  /** Returns whether the queue is confined. */
  isConfined(queue: string, nowMs: number): boolean {
    const provenAtMs = this.provenAtMs.get(queue) ?? -Infinity;
    return nowMs - provenAtMs < CONFINEMENT_MS;
  }
}

/**
 * Lists the agents whose targets a confined queue may use: the same at each entry
 * that knows the same agents, and others for another queue.
 *
 * @param agents Names of the agents of the service, whether their targets are up
 *     or not: a queue must not move on to the targets that are left.
 */
export function listConfined(
  queue: string,
  agents: readonly string[],
): readonly string[] {
  const count = Math.ceil(agents.length * CONFINED_SHARE);
  return rankAddresses(queue, agents).slice(0, count);
}
