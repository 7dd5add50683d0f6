/** Messages that the peer manager of an entry handles. */
import type {ConfigurationView} from '../records/configuration_view.js';
import type {PeerConfigurationState} from '../wire/peer_codec.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';
import type {Answer, CallerRequest} from './request_router.js';

/** The outcome of handing over the sessions. */
export enum HandOverOutcome {
  /** A peer has accepted the sessions. */
  ACCEPTED = 'taken',
  /** There was no peer, or each of them refused. */
  REFUSED = 'refused',
  /** A reply was lost: that peer may hold the sessions; no other was tried. */
  LOST = 'lost',
}

/** Kinds of message that the peer manager handles. */
export enum PeerMessageKind {
  FORWARD = 'forward',
  VIEW = 'view',
  ANNOUNCED = 'announced',
  AWAIT_MAJORITY = 'await-majority',
  MAJORITY_TIMEOUT = 'majority-timeout',
  RETRY_ANNOUNCEMENT = 'announce-again',
  /** The ended incarnations whose sessions this entry holds have changed. */
  OWN_HELD = 'own-held',
  /** A peer has announced the ended incarnations whose sessions it holds. */
  PEER_HELD = 'peer-held',
  /** A request waits until the holder of an incarnation's sessions is known. */
  AWAIT_HOLDER = 'await-holder',
  HAND_OVER = 'hand-over',
}

/** Every message that the peer manager handles. */
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
      readonly kind: PeerMessageKind.AWAIT_HOLDER;
      readonly incarnation: string;
      readonly resume: () => void;
    }
  | {
      readonly kind: PeerMessageKind.HAND_OVER;
      readonly keyTables: readonly KeyTableSnapshot[];
      readonly reportOutcome: (outcome: HandOverOutcome) => void;
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

/** A pending wait until a majority of the entries holds a revision. */
export interface MajorityWaiter {
  readonly revision: number;
  readonly settle: (isHeld: boolean) => void;
}
