/** Decoding of `POST /control` at the store stand-in. */
import {parseObject} from './http_listener.js';

/** States of `charts/store_stand_in.yaml`. */
export enum StoreMode {
  UP = 'up',
  DOWN = 'down',
  HANG = 'hang',
}

/**
 * Which replies to value writes are dropped after the write has taken effect.
 */
export enum LostReplies {
  NONE = 'none',
  NEXT_WRITE = 'next-write',
  ALL_WRITES = 'all-writes',
}

/** Request to change settings; undefined fields leave theirs unchanged. */
export interface StoreControl {
  readonly mode?: StoreMode;
  /** Delay in milliseconds before a call takes effect. */
  readonly slowMs?: number;
  readonly loseReplies?: LostReplies;
  /** Revision that reads return; null for the latest. */
  readonly staleRevision?: number | null;
  readonly leasesExpireInOutage?: boolean;
  /** Closes the connections of the watches that are waiting now. */
  readonly cutWatches?: boolean;
  /** Discards the history of changes. */
  readonly compact?: boolean;
}

/**
 * Decodes a control request; returns undefined if any field is unknown or
 * invalid.
 */
export function decodeControl(body: string): StoreControl | undefined {
  const input = parseObject(body);
  if (input === undefined) return undefined;
  const isValid = Object.entries(input).every(([name, value]) =>
    CHECKS.get(name)?.(value),
  );
  return isValid ? (input as StoreControl) : undefined;
}

const CHECKS: ReadonlyMap<string, (value: unknown) => boolean> = new Map([
  ['mode', (value: unknown) => isMember(StoreMode, value)],
  ['slowMs', isCount],
  ['loseReplies', (value: unknown) => isMember(LostReplies, value)],
  ['staleRevision', (value: unknown) => value === null || isCount(value)],
  ['leasesExpireInOutage', isBoolean],
  ['cutWatches', isBoolean],
  ['compact', isBoolean],
]);

function isMember(members: Record<string, string>, value: unknown): boolean {
  return Object.values(members).includes(value as string);
}

function isCount(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}

function isBoolean(value: unknown): boolean {
  return typeof value === 'boolean';
}
