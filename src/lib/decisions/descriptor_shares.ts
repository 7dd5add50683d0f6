/** Divides the descriptors of a process among its doors, so that their sum fits. */

/** Largest numbers of connections by what they serve. */
export interface DescriptorShares {
  /** Connections of callers. */
  readonly callers: number;
  /** Connections for health checks, metrics and heartbeats. */
  readonly services: number;
  /** Streams between entries and agents. */
  readonly streams: number;
  /** Streams of which no hello has arrived. */
  readonly pendingStreams: number;
}

/** Descriptors that must stay free in every process. */
const SPARE_DESCRIPTORS = 200;

/** Descriptors of listeners, of calls to the store and of the log. */
const OWN_DESCRIPTORS = 32;

/** Share of the usable descriptors for callers. */
const CALLER_SHARE = 2 / 3;

/** Share for health checks, metrics and heartbeats, which are few. */
const SERVICE_SHARE = 1 / 8;
const MAX_SERVICES = 64;

/** Share of the streams that may be without a hello: all agents of an entry come at once. */
const PENDING_SHARE = 1 / 2;

/** Least numbers, for a process with hardly any descriptors. */
const MIN_CALLERS = 16;
const MIN_STREAMS = 8;

/** Computes the shares of a process that may open `descriptorsAtMost` descriptors. */
export function computeDescriptorShares(
  descriptorsAtMost: number,
): DescriptorShares {
  const usable = descriptorsAtMost - SPARE_DESCRIPTORS;
  const callers = Math.max(MIN_CALLERS, Math.floor(usable * CALLER_SHARE));
  const services = Math.max(
    1,
    Math.min(MAX_SERVICES, Math.floor(usable * SERVICE_SHARE)),
  );
  const rest = usable - callers - services - OWN_DESCRIPTORS;
  const streams = Math.max(MIN_STREAMS, rest);
  const pendingStreams = Math.max(1, Math.floor(streams * PENDING_SHARE));
  return {callers, services, streams, pendingStreams};
}
