/** The operators' configuration of queues, and the data centres taken out. */

/** A queue: where its jobs come in and how they are treated. */
export interface QueueRule {
  readonly name: string;
  /** Host name that callers ask for; compared without case. */
  readonly host: string;
  /** Paths of the queue begin with this. */
  readonly prefix: string;
  /** Service whose targets run the tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of a task after which its job has failed. */
  readonly attemptsAtMost: number;
  /** Objective of a job: `stretch` times its longest chain of work ... */
  readonly stretch: number;
  /** ... and this much more, in milliseconds. */
  readonly allowanceMs: number;
}

/** Limits on what callers send. */
export interface CallerLimits {
  readonly bodyBytes: number;
}

/** The configuration and the data centres out, as of one revision of the store. */
export interface FleetConfiguration {
  /** Revision of the store at which both were read; decides which is newer. */
  readonly revision: number;
  readonly version: number;
  readonly queues: readonly QueueRule[];
  readonly services: readonly string[];
  readonly limits: CallerLimits;
  /** Data centres that get no new task. */
  readonly dataCentresOut: readonly string[];
}

/** Finds the queue of a request: same host, longest prefix of the path. */
export function findQueue(
  configuration: FleetConfiguration,
  host: string,
  path: string,
): QueueRule | undefined {
  let best: QueueRule | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (best === undefined || queue.prefix.length > best.prefix.length) {
      best = queue;
    }
  }
  return best;
}
