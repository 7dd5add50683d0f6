/** The operators' configuration: queues, services, limits and data centres out of service. */

/** A queue: which requests belong to it and how their jobs are run. */
export interface QueueRule {
  readonly name: string;
  /** Host name of the requests; `findQueue` compares it exactly, including case. */
  readonly host: string;
  /** Prefix of the paths of the requests. */
  readonly prefix: string;
  /** Service whose targets run the tasks. */
  readonly service: string;
  /** Priority of the jobs; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Number of failed runs of one task after which its job fails; absent if the
   * configuration has no valid one, so that failed runs prove nothing.
   */
  readonly attemptsAtMost?: number;
  /**
   * Factor of the latency objective of a job, which is `stretch` times its
   * critical path plus `allowanceMs`.
   */
  readonly stretch: number;
  /** Constant part of the latency objective, in milliseconds. */
  readonly allowanceMs: number;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly bodyBytes: number;
}

/** The configuration and the data centres out of service at one revision of the store. */
export interface FleetConfiguration {
  /** Store revision at which both were read; the higher one is newer. */
  readonly revision: number;
  readonly version: number;
  readonly queues: readonly QueueRule[];
  readonly services: readonly string[];
  readonly limits: CallerLimits;
  /** Data centres in which no new task may start. */
  readonly dataCentresOut: readonly string[];
}

/** Finds the queue of a request: the one of the host with the longest matching prefix. */
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
