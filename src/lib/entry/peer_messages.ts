/** Messages that the keeper of an entry's peers takes. */
import type {ConfigurationView} from '../records/configuration_view.js';
import type {PeerConfigurationState} from '../wire/peer_codec.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';
import type {Answer, CallerRequest} from './request_router.js';

/** How handing over the sessions ended. */
export enum HandOverOutcome {
  /** A peer holds them. */
  ACCEPTED = 'taken',
  /** No peer could be asked, or every one refused. */
  REFUSED = 'refused',
  /** A peer may or may not hold them; no other was asked. */
  LOST = 'lost',
}

/** Kinds of message that the keeper takes. */
export enum PeerMessageKind {
  FORWARD = 'forward',
  VIEW = 'view',
  ANNOUNCED = 'announced',
  AWAIT_MAJORITY = 'await-majority',
  MAJORITY_TIMEOUT = 'majority-timeout',
  RETRY_ANNOUNCEMENT = 'announce-again',
  OWN_HELD = 'own-held',
  PEER_HELD = 'peer-held',
  HAND_OVER = 'hand-over',
}

/** Messages that the keeper takes. */
export type PeerMessage =
  | {
      readonly kind: PeerMessageKind.OWN_HELD;
      readonly incarnations: readonly string[];
    }
  | {
      readonly kind: PeerMessageKind.PEER_HELD;
      readonly address: string;
      readonly incarnations: readonly string[];
    }
  | {
      readonly kind: PeerMessageKind.HAND_OVER;
      readonly keyTables: readonly KeyTableSnapshot[];
      readonly reportOutcome: (end: HandOverOutcome) => void;
    }
  | {
      readonly kind: PeerMessageKind.FORWARD;
      readonly address: string;
      readonly request: CallerRequest;
      readonly answer: Answer;
    }
  | {readonly kind: PeerMessageKind.VIEW; readonly view: ConfigurationView}
  | {
      readonly kind: PeerMessageKind.ANNOUNCED;
      readonly state: PeerConfigurationState;
    }
  | {
      readonly kind: PeerMessageKind.RETRY_ANNOUNCEMENT;
      readonly address: string;
      readonly revision: number;
    }
  | {
      readonly kind: PeerMessageKind.AWAIT_MAJORITY;
      readonly waiter: MajorityWaiter;
    }
  | {
      readonly kind: PeerMessageKind.MAJORITY_TIMEOUT;
      readonly waiter: MajorityWaiter;
    };

/** Somebody who waits for a revision to be held by a majority of the entries. */
export interface MajorityWaiter {
  readonly revision: number;
  readonly settle: (isHeld: boolean) => void;
}
