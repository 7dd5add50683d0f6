/** The messages that the configuration task handles. */
import type {ReceivedConfiguration} from '../records/configuration_mirror.js';
import type {StoreChanges, StoreSnapshot} from '../store/platform_store.js';
import type {EntryRegistrationEvent} from './entry_registration_chart.js';
import type {ConfigurationWatchEvent} from './configuration_watch_chart.js';

/** Kinds of message that the configuration task handles. */
export enum ConfigurationMessageKind {
  /** A peer sent a configuration; it is applied if it is newer. */
  LEARN = 'learn',
  /** This entry is stopping: its registration is withdrawn. */
  LEAVE = 'leave',
  /** The store answered a list call. */
  LISTED = 'listed',
  /** The store answered a watch call. */
  WATCHED = 'watched',
  /** A list or watch call failed, or a timer of the watch fired. */
  WATCH_EVENT = 'watch-event',
  /** A call of the registration ended, or a timer of it fired. */
  REGISTRATION_EVENT = 'registration-event',
}

/** A message that other tasks may post. */
export type ConfigurationRequest =
  | {
      readonly kind: ConfigurationMessageKind.LEARN;
      readonly learned: ReceivedConfiguration;
    }
  | {readonly kind: ConfigurationMessageKind.LEAVE};

/** A message that the watch posts to its own task. */
export type WatchMessage =
  | {
      readonly kind: ConfigurationMessageKind.LISTED;
      readonly snapshot: StoreSnapshot;
      /** Monotonic time at which the call was sent. */
      readonly sentAtMs: number;
    }
  | {
      readonly kind: ConfigurationMessageKind.WATCHED;
      readonly changes: StoreChanges;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: ConfigurationMessageKind.WATCH_EVENT;
      readonly event: ConfigurationWatchEvent;
    };

/** A message that the registration posts to its own task. */
export interface RegistrationMessage {
  readonly kind: ConfigurationMessageKind.REGISTRATION_EVENT;
  readonly event: EntryRegistrationEvent;
  /** Number of the call that ended; absent if a timer fired. */
  readonly call?: number;
  /** Lease that the call opened. */
  readonly lease?: string;
  /** Store revision at which the registration was found or written. */
  readonly revision?: number;
}

/** Every message that the configuration task handles. */
export type ConfigurationMessage =
  ConfigurationRequest | WatchMessage | RegistrationMessage;
