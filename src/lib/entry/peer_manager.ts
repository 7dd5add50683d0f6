/** The task of an entry that owns the connections to the other entries. */
import type {ProcessIdentity} from '../core/identity.js';
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import type {
  ConfigurationView,
  EntryAddress,
} from '../records/configuration_view.js';
import {PeerCallOutcome} from '../wire/peer_client.js';
import type {ConnectPeer, PeerConnection} from '../wire/peer_client.js';
import type {PeerConfigurationState} from '../wire/peer_codec.js';
import {describeUnreachableOwner} from './answer_encoding.js';
import {HandOverOutcome, PeerMessageKind} from './peer_messages.js';
import type {MajorityWaiter, PeerMessage} from './peer_messages.js';
import type {Holder} from './holder.js';
import {HolderDirectory} from './holder_directory.js';
import type {Answer, CallerRequest} from './request_router.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';

/** Dependencies of the peer manager. */
export interface PeerManagerOptions {
  readonly identity: ProcessIdentity;
  /** `host:port` at which other entries reach this one. */
  readonly address: string;
  readonly connect: ConnectPeer;
  /** Longest time in milliseconds for a forwarded request. */
  readonly forwardTimeoutMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/** The newest configuration state that a peer has reported. */
export interface PeerStatus {
  readonly state: PeerConfigurationState;
  /** Monotonic time in milliseconds at which the peer answered. */
  readonly heardAtMs: number;
}

const MAILBOX_CAPACITY = 100_000;
const ANNOUNCE_TIMEOUT_MS = 5000;
const ANNOUNCE_RETRY_DELAY_MS = 1000;
const HAND_OVER_TIMEOUT_MS = 4000;

/**
 * Forwards requests to the owner of their key, announces a newer configuration
 * to the peers and tracks the revision that each of them has in force.
 */
export class PeerManager {
  private readonly task: Task<PeerMessage>;
  private readonly connections = new Map<string, PeerConnection>();
  /** Reported states of the peers, by incarnation. */
  private readonly statuses = new Map<string, PeerStatus>();
  private view: ConfigurationView | undefined;
  private waiters: MajorityWaiter[] = [];
  private readonly holders: HolderDirectory;

  private constructor(private readonly options: PeerManagerOptions) {
    this.holders = HolderDirectory.create(options);
    this.task = Task.create<PeerMessage>({
      name: 'peer manager',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates a manager without connections. */
  static create(options: PeerManagerOptions): PeerManager {
    const manager = new PeerManager(options);
    manager.task.store.add(() => manager.closeAll());
    manager.task.store.add(() => manager.holders.close());
    return manager;
  }

  /** Posts a message to the manager's mailbox. */
  get post(): Post<PeerMessage> {
    return this.task.post;
  }

  /** Returns the state that an entry incarnation has reported, if any. */
  getStatus(incarnation: string): PeerStatus | undefined {
    return this.statuses.get(incarnation);
  }

  /** Finds the holder of the sessions of an ended entry incarnation. */
  findHolder(incarnation: string): Holder {
    return this.holders.find(incarnation);
  }

  /** Resolves to whether a majority of the entries holds a revision in time. */
  awaitMajority(revision: number, timeoutMs: number): Promise<boolean> {
    return new Promise(resolve => {
      const stop = this.options.startTimer(timeoutMs, () =>
        this.post({kind: PeerMessageKind.MAJORITY_TIMEOUT, waiter}),
      );
      const waiter: MajorityWaiter = {
        revision,
        settle: isHeld => {
          stop();
          resolve(isHeld);
        },
      };
      this.post({kind: PeerMessageKind.AWAIT_MAJORITY, waiter});
    });
  }

  /** Stops the task and closes the connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.FORWARD:
        void this.forward(message.address, message.request, message.answer);
        break;
      case PeerMessageKind.VIEW:
        this.applyView(message.view);
        break;
      case PeerMessageKind.ANNOUNCED:
        this.recordState(message.state);
        break;
      case PeerMessageKind.RETRY_ANNOUNCEMENT:
        this.retryAnnouncement(message.address, message.revision);
        break;
      case PeerMessageKind.OWN_HELD:
        this.holders.setOwn(message.incarnations);
        if (this.view !== undefined) this.announceToAll(this.view);
        break;
      case PeerMessageKind.PEER_HELD:
        this.holders.record(message.address, message.incarnations);
        break;
      case PeerMessageKind.AWAIT_HOLDER:
        this.holders.await(message.incarnation, message.resume);
        break;
      case PeerMessageKind.HAND_OVER:
        void this.handOver(message.keyTables).then(message.reportOutcome);
        break;
      case PeerMessageKind.AWAIT_MAJORITY:
        this.waiters.push(message.waiter);
        this.settleWaiters();
        break;
      case PeerMessageKind.MAJORITY_TIMEOUT:
        this.expire(message.waiter);
        break;
    }
  }

  private async forward(
    address: string,
    request: CallerRequest,
    answer: Answer,
  ): Promise<void> {
    const {kind, body, trace, isDetached} = request;
    const key = request.key ?? '';
    const result = await this.open(address).forward(
      {kind, key, body, trace, isDetached},
      this.options.forwardTimeoutMs,
    );
    answer(result.value ?? describeUnreachableOwner(key));
  }

  private applyView(view: ConfigurationView): void {
    this.view = view;
    const live = new Set(view.entries.map(entry => entry.incarnation));
    for (const incarnation of this.statuses.keys()) {
      if (!live.has(incarnation)) this.statuses.delete(incarnation);
    }
    this.holders.setPeers(this.listPeers(view).map(({address}) => address));
    this.settleWaiters();
    this.announceToAll(view);
  }

  private announceToAll(view: ConfigurationView): void {
    for (const entry of this.listPeers(view)) {
      void this.announceView(entry.address, view);
    }
  }

  private listPeers(view: ConfigurationView): readonly EntryAddress[] {
    const own = this.options.identity.incarnation;
    return view.entries.filter(entry => entry.incarnation !== own);
  }

  // Another peer is tried only after a refusal: if a reply is lost, the first
  // peer may hold the sessions, and two holders could both run a new key.
  private async handOver(
    keyTables: readonly KeyTableSnapshot[],
  ): Promise<HandOverOutcome> {
    const peers = this.view === undefined ? [] : this.listPeers(this.view);
    for (const peer of peers) {
      const connection = this.open(peer.address);
      const {outcome} = await connection.sendKeyTables(
        keyTables,
        HAND_OVER_TIMEOUT_MS,
      );
      if (outcome === PeerCallOutcome.ANSWERED) return HandOverOutcome.ACCEPTED;
      if (outcome === PeerCallOutcome.LOST) return HandOverOutcome.LOST;
    }
    return HandOverOutcome.REFUSED;
  }

  private async announceView(
    address: string,
    view: ConfigurationView,
  ): Promise<void> {
    const configuration = {
      view,
      senderAddress: this.options.address,
      heldIncarnations: this.holders.own,
    };
    const result = await this.open(address).announce(
      configuration,
      ANNOUNCE_TIMEOUT_MS,
    );
    if (result.outcome === PeerCallOutcome.ANSWERED) {
      this.post({kind: PeerMessageKind.ANNOUNCED, state: result.value!});
      return;
    }
    const {revision} = view;
    const stop = this.options.startTimer(ANNOUNCE_RETRY_DELAY_MS, () =>
      this.post({kind: PeerMessageKind.RETRY_ANNOUNCEMENT, address, revision}),
    );
    this.task.store.add(stop);
  }

  // A newer view has its own announcement; an entry that has left gets none.
  private retryAnnouncement(address: string, revision: number): void {
    const {view} = this;
    if (view === undefined || view.revision !== revision) return;
    if (!view.entries.some(entry => entry.address === address)) return;
    void this.announceView(address, view);
  }

  private recordState(state: PeerConfigurationState): void {
    const {incarnation} = state.entry;
    const known = this.statuses.get(incarnation)?.state.revision ?? 0;
    if (state.revision < known) return;
    const heardAtMs = this.options.readMonotonicMs();
    this.statuses.set(incarnation, {state, heardAtMs});
    this.settleWaiters();
  }

  private settleWaiters(): void {
    if (this.waiters.length === 0) return;
    const settled = this.waiters.filter(waiter =>
      this.isHeldByMajority(waiter.revision),
    );
    if (settled.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !settled.includes(waiter));
    for (const waiter of settled) waiter.settle(true);
  }

  private isHeldByMajority(revision: number): boolean {
    const entries = this.view?.entries ?? [];
    const holders = entries.filter(
      entry => this.findRevision(entry.incarnation) >= revision,
    );
    return holders.length > entries.length / 2;
  }

  private findRevision(incarnation: string): number {
    if (incarnation === this.options.identity.incarnation) {
      return this.view?.revision ?? 0;
    }
    return this.statuses.get(incarnation)?.state.revision ?? 0;
  }

  private expire(waiter: MajorityWaiter): void {
    if (!this.waiters.includes(waiter)) return;
    this.waiters = this.waiters.filter(other => other !== waiter);
    waiter.settle(false);
  }

  private open(address: string): PeerConnection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const connection = this.options.connect(address);
    this.connections.set(address, connection);
    return connection;
  }

  private closeAll(): void {
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
  }
}
