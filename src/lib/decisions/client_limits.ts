/** Computes what clients may hold of a process from its memory and descriptors. */

import {computeDescriptorShares} from './descriptor_shares.js';

/** Limits of the HTTP connections of a process. */
export interface ClientLimits {
  /** Bytes that all connections together may hold. */
  readonly bytesAtMost: number;
  readonly connectionsAtMost: number;
}

/** Memory and descriptors of a process; undefined if not known. */
export interface ProcessResources {
  readonly memoryMb: number | undefined;
  readonly descriptorsAtMost: number | undefined;
  /** Largest size of the JavaScript heap. */
  readonly heapBytes: number;
}

const BYTES_PER_MB = 1024 * 1024;

/** Memory in MB of an entry that has not been sent anything, with its code and buffers. */
const OWN_MB = 96;

/**
 * Share of the other memory for what is received. As much again is taken by
 * objects that are no longer used but not yet collected, and by admitted jobs.
 */
const RECEIVE_SHARE = 1 / 3;

/** Bounds in MB: a few of the largest bodies, and half of the smallest heap. */
const MIN_RECEIVE_MB = 4;
const MAX_RECEIVE_MB = 64;

/** Share of the heap for what is received, where the memory is not known. */
const HEAP_SHARE = 1 / 4;

/** Computes the limits; without known descriptors, connections are not limited. */
export function computeClientLimits({
  memoryMb,
  descriptorsAtMost,
  heapBytes,
}: ProcessResources): ClientLimits {
  return {
    bytesAtMost:
      memoryMb === undefined
        ? heapBytes * HEAP_SHARE
        : computeReceiveBytes(memoryMb),
    connectionsAtMost:
      descriptorsAtMost === undefined
        ? Infinity
        : computeDescriptorShares(descriptorsAtMost).callers,
  };
}

function computeReceiveBytes(memoryMb: number): number {
  const megabytes = (memoryMb - OWN_MB) * RECEIVE_SHARE;
  return (
    BYTES_PER_MB * Math.min(MAX_RECEIVE_MB, Math.max(MIN_RECEIVE_MB, megabytes))
  );
}
