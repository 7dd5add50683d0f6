/** The port of an entry on which agents and other entries reach it. */
import type {ProcessIdentity} from '../core/identity.js';
import type {Post} from '../core/task.js';
import type {
  ConfigurationView,
  StoreContact,
} from '../records/configuration_view.js';
import {openLinkServer} from '../wire/link_server.js';
import type {LinkServer} from '../wire/link_server.js';
import {DispatcherMessageKind} from './dispatcher_messages.js';
import type {
  DispatcherMessage,
  KeyTableSnapshot,
} from './dispatcher_messages.js';
import {PeerMessageKind} from './peer_messages.js';
import type {PeerMessage} from './peer_messages.js';
import {RequestOrigin} from './request_router.js';
import type {RequestRouter} from './request_router.js';
import type {RevisionWaiters} from './revision_waiters.js';

/** What the port needs to be opened. */
export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly postToDispatcher: Post<DispatcherMessage>;
  readonly router: RequestRouter;
  readonly revisions: RevisionWaiters;
  /** Puts a configuration in force that a peer has told, if it is newer. */
  readonly learn: (view: ConfigurationView) => void;
  readonly postToPeers: Post<PeerMessage>;
  /** Tells whether ledgers of others are still taken over. */
  readonly isAdopting: () => boolean;
  readonly getContact: () => StoreContact;
}

/**
 * Opens the port.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export function openPeerListener(
  options: PeerListenerOptions,
): Promise<LinkServer> {
  const {postToDispatcher, revisions, identity} = options;
  return openLinkServer({
    host: options.host,
    port: options.port,
    receiveFrame: (stream, frame) =>
      postToDispatcher(
        frame.hello === undefined
          ? {kind: DispatcherMessageKind.AGENT_FRAME, stream, frame}
          : {
              kind: DispatcherMessageKind.AGENT_HELLO,
              stream,
              hello: frame.hello,
            },
      ),
    reportClosed: stream =>
      postToDispatcher({kind: DispatcherMessageKind.AGENT_CLOSED, stream}),
    handleForward: (request, answer) =>
      options.router.handle(request, RequestOrigin.PEER, answer),
    // The answer says that the revision is in force here, so it waits for that.
    handleAnnouncement: (configuration, answer) => {
      const {view, senderAddress, heldIncarnations} = configuration;
      options.postToPeers({
        kind: PeerMessageKind.PEER_HELD,
        address: senderAddress,
        incarnations: heldIncarnations,
      });
      options.learn(view);
      revisions.add(view.revision, () =>
        answer({
          entry: identity,
          revision: revisions.current,
          contact: options.getContact(),
        }),
      );
    },
    handleHandOver: (ledgers, answer) => {
      if (!options.isAdopting()) return answer(false);
      adoptAll(postToDispatcher, ledgers, () => answer(true));
    },
  });
}

// The last confirmation covers all: the dispatcher takes messages in order.
function adoptAll(
  postToDispatcher: Post<DispatcherMessage>,
  ledgers: readonly KeyTableSnapshot[],
  confirm: () => void,
): void {
  if (ledgers.length === 0) return confirm();
  for (const [index, ledger] of ledgers.entries()) {
    const isLast = index === ledgers.length - 1;
    postToDispatcher({
      kind: DispatcherMessageKind.ADOPT_KEY_TABLE,
      keyTable: ledger,
      confirm: isLast ? confirm : () => undefined,
    });
  }
}
