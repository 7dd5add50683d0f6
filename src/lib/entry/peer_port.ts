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
import type {DispatcherMessage} from './dispatcher_messages.js';
import {RequestOrigin} from './request_desk.js';
import type {RequestDesk} from './request_desk.js';
import type {RevisionWaiters} from './revision_waiters.js';

/** What the port needs to be opened. */
export interface PeerPortOptions {
  readonly host: string;
  readonly port: number;
  readonly identity: ProcessIdentity;
  readonly postToDispatcher: Post<DispatcherMessage>;
  readonly desk: RequestDesk;
  readonly revisions: RevisionWaiters;
  /** Puts a configuration in force that a peer has told, if it is newer. */
  readonly learn: (view: ConfigurationView) => void;
  readonly getContact: () => StoreContact;
}

/**
 * Opens the port.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export function openPeerPort(options: PeerPortOptions): Promise<LinkServer> {
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
      options.desk.handle(request, RequestOrigin.PEER, answer),
    // The answer says that the revision is in force here, so it waits for that.
    handleAnnouncement: (view, answer) => {
      options.learn(view);
      revisions.add(view.revision, () =>
        answer({
          entry: identity,
          revision: revisions.current,
          contact: options.getContact(),
        }),
      );
    },
  });
}
