/** Switches of the store stand-in, as `POST /control` sets them. */
import {parseObject} from './http_listener.js';

/** States of `charts/store_stand_in.yaml`. */
export enum StoreMode {
  UP = 'up',
  DOWN = 'down',
  HANG = 'hang',
}

/** Which replies to value writes are lost after the write took effect. */
export enum LostReplies {
  NONE = 'none',
  NEXT_WRITE = 'next-write',
  ALL_WRITES = 'all-writes',
}

/** A change of switches; what is undefined stays. */
export interface StoreControl {
  readonly mode?: StoreMode;
  /** Delay in milliseconds before a call takes effect. */
  readonly slowMs?: number;
  readonly loseReplies?: LostReplies;
  /** Revision as of which reads answer; null for the newest. */
  readonly staleRevision?: number | null;
  readonly leasesExpireInOutage?: boolean;
  /** Cuts the connections of the watches that wait now. */
  readonly cutWatches?: boolean;
  /** Forgets the changes up to now. */
  readonly compact?: boolean;
}

/** Decodes a change of switches; undefined if any part of it is invalid. */
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
