/** The entry that holds the sessions of an ended entry incarnation. */
import type {PostOutcome} from '../core/task.js';

/** Kinds of holder of an ended incarnation's sessions. */
export enum HolderKind {
  SELF = 'self',
  PEER = 'peer',
  NONE = 'nobody',
}

/** The holder of an ended incarnation's sessions, with its address if any. */
export interface Holder {
  readonly kind: HolderKind;
  readonly address: string;
}

/** Finds the holder of the sessions that an incarnation has handed over. */
export type FindHolder = (incarnation: string) => Holder;

/** Calls a function once the holder of an incarnation's sessions is known. */
export type AwaitHolder = (
  incarnation: string,
  resume: () => void,
) => PostOutcome;
