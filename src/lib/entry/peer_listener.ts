/** The gRPC listener of an entry for agents and other entries. */
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

/** Options of the listener for agents and other entries. */
export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly postToDispatcher: Post<DispatcherMessage>;
  readonly router: RequestRouter;
  readonly revisions: RevisionWaiters;
  /** Applies a configuration that a peer has sent, if it is newer. */
  readonly learn: (view: ConfigurationView) => void;
  readonly postToPeers: Post<PeerMessage>;
  /** Whether key tables of other entries are still taken over. */
  readonly isAdopting: () => boolean;
  readonly getContact: () => StoreContact;
}

/**
 * Opens the listener and posts what it receives to the entry's tasks.
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
    // The reply states that the revision is in force, so it waits for that.
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
    handleHandOver: (keyTables, answer) => {
      if (!options.isAdopting()) return answer(false);
      adoptAll(postToDispatcher, keyTables, () => answer(true));
    },
  });
}

// The last confirmation covers all key tables: the dispatcher handles messages
// in order.
function adoptAll(
  postToDispatcher: Post<DispatcherMessage>,
  keyTables: readonly KeyTableSnapshot[],
  confirm: () => void,
): void {
  if (keyTables.length === 0) return confirm();
  for (const [index, keyTable] of keyTables.entries()) {
    const isLast = index === keyTables.length - 1;
    postToDispatcher({
      kind: DispatcherMessageKind.ADOPT_KEY_TABLE,
      keyTable,
      confirm: isLast ? confirm : () => undefined,
    });
  }
}
