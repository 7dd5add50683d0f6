/** Messages to the threads that own the relays. */
import type {
  RelayAddress,
  RelayRules,
} from '../../stand_ins/relay_connection.js';

/** Kinds of message. */
export enum RelayMessageKind {
  ENTRY_UP,
  RULES,
  RESET,
}

/** A message to the relay between an agent and an entry. */
export type RelayMessage = {
  readonly agent: number;
  readonly entry: number;
} & (
  | {readonly kind: RelayMessageKind.ENTRY_UP; readonly isUp: boolean}
  | {
      readonly kind: RelayMessageKind.RULES;
      readonly rules: RelayRules;
      readonly isRefusing: boolean;
    }
  | {readonly kind: RelayMessageKind.RESET}
);

/** A relay: where agents connect, where the entry is, and what it replaces. */
export interface RelayPlan {
  readonly agent: number;
  readonly entry: number;
  readonly address: RelayAddress;
  readonly to: RelayAddress;
  /** Beginning of the entries' addresses, and of the agent's relays. */
  readonly entriesPrefix: string;
  readonly relaysPrefix: string;
}
