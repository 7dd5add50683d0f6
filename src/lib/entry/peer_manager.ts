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
import {HolderKind} from './request_router.js';
import type {Answer, CallerRequest, Holder} from './request_router.js';
import type {KeyTableSnapshot} from './dispatcher_messages.js';

/** What the keeper needs to be created. */
export interface PeerManagerOptions {
  readonly identity: ProcessIdentity;
  /** `host:port` at which other entries reach this one. */
  readonly address: string;
  readonly connect: ConnectPeer;
  /** Time in milliseconds that a forwarded request may take. */
  readonly forwardWithinMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/** What is known of the configuration that a peer has in force. */
export interface PeerStatus {
  readonly state: PeerConfigurationState;
  /** Monotonic time in milliseconds at which the peer answered. */
  readonly heardAtMs: number;
}

const MAILBOX_CAPACITY = 100_000;
const ANNOUNCE_WITHIN_MS = 5000;
const ANNOUNCE_AGAIN_AFTER_MS = 1000;
const HAND_OVER_WITHIN_MS = 4000;

/**
 * Hands requests to the owner of their key, tells peers of a newer
 * configuration and knows which revision each of them holds.
 */
export class PeerManager {
  private readonly task: Task<PeerMessage>;
  private readonly connections = new Map<string, PeerConnection>();
  /** What each other entry is known to hold, by incarnation. */
  private readonly held = new Map<string, PeerStatus>();
  private view: ConfigurationView | undefined;
  private waiters: MajorityWaiter[] = [];
  /** Ended lives whose sessions are held here. */
  private ownHeld: readonly string[] = [];
  /** Peers that hold the sessions of ended lives: life, address. */
  private readonly holders = new Map<string, string>();

  private constructor(private readonly options: PeerManagerOptions) {
    this.task = Task.create<PeerMessage>({
      name: 'peer keeper',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates a keeper without connections. */
  static create(options: PeerManagerOptions): PeerManager {
    const keeper = new PeerManager(options);
    keeper.task.store.add(() => keeper.closeAll());
    return keeper;
  }

  /** Hands a message to the keeper. */
  get post(): Post<PeerMessage> {
    return this.task.post;
  }

  /** Returns what an entry's life is known to hold. */
  getStatus(incarnation: string): PeerStatus | undefined {
    return this.held.get(incarnation);
  }

  /** Finds who holds the sessions of an ended life of an entry. */
  findHolder(incarnation: string): Holder {
    if (this.ownHeld.includes(incarnation)) {
      return {kind: HolderKind.SELF, address: this.options.address};
    }
    const address = this.holders.get(incarnation);
    if (address === undefined) return NO_HOLDER;
    return {kind: HolderKind.PEER, address};
  }

  /** Waits until a majority of the registered entries hold a revision. */
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

  /** Closes the connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.FORWARD:
        void this.forward(message.address, message.request, message.answer);
        break;
      case PeerMessageKind.VIEW:
        this.takeView(message.view);
        break;
      case PeerMessageKind.ANNOUNCED:
        this.recordState(message.state);
        break;
      case PeerMessageKind.RETRY_ANNOUNCEMENT:
        this.announceAgain(message.address, message.revision);
        break;
      case PeerMessageKind.OWN_HELD:
        this.ownHeld = message.incarnations;
        if (this.view !== undefined) this.sendToAll(this.view);
        break;
      case PeerMessageKind.PEER_HELD:
        for (const incarnation of message.incarnations) {
          this.holders.set(incarnation, message.address);
        }
        break;
      case PeerMessageKind.HAND_OVER:
        void this.sendLedgers(message.keyTables).then(message.reportOutcome);
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
      this.options.forwardWithinMs,
    );
    answer(result.value ?? describeUnreachableOwner(key));
  }

  private takeView(view: ConfigurationView): void {
    this.view = view;
    const live = new Set(view.entries.map(entry => entry.incarnation));
    for (const incarnation of this.held.keys()) {
      if (!live.has(incarnation)) this.held.delete(incarnation);
    }
    const addresses = new Set(view.entries.map(entry => entry.address));
    for (const [incarnation, address] of this.holders) {
      if (!addresses.has(address)) this.holders.delete(incarnation);
    }
    this.settleWaiters();
    this.sendToAll(view);
  }

  private sendToAll(view: ConfigurationView): void {
    for (const entry of this.listPeers(view)) {
      void this.sendView(entry.address, view);
    }
  }

  private listPeers(view: ConfigurationView): readonly EntryAddress[] {
    const own = this.options.identity.incarnation;
    return view.entries.filter(entry => entry.incarnation !== own);
  }

  // Another peer is asked only after a refusal: if an answer is lost the first
  // may hold the sessions, and two holders could both run a new key.
  private async sendLedgers(
    ledgers: readonly KeyTableSnapshot[],
  ): Promise<HandOverOutcome> {
    const peers = this.view === undefined ? [] : this.listPeers(this.view);
    for (const peer of peers) {
      const connection = this.open(peer.address);
      const {outcome: end} = await connection.sendKeyTables(
        ledgers,
        HAND_OVER_WITHIN_MS,
      );
      if (end === PeerCallOutcome.ANSWERED) return HandOverOutcome.ACCEPTED;
      if (end === PeerCallOutcome.LOST) return HandOverOutcome.LOST;
    }
    return HandOverOutcome.REFUSED;
  }

  private async sendView(
    address: string,
    view: ConfigurationView,
  ): Promise<void> {
    const configuration = {
      view,
      senderAddress: this.options.address,
      heldIncarnations: this.ownHeld,
    };
    const result = await this.open(address).announce(
      configuration,
      ANNOUNCE_WITHIN_MS,
    );
    if (result.outcome === PeerCallOutcome.ANSWERED) {
      this.post({kind: PeerMessageKind.ANNOUNCED, state: result.value!});
      return;
    }
    const {revision} = view;
    const stop = this.options.startTimer(ANNOUNCE_AGAIN_AFTER_MS, () =>
      this.post({kind: PeerMessageKind.RETRY_ANNOUNCEMENT, address, revision}),
    );
    this.task.store.add(stop);
  }

  // A newer view has been announced by itself; an entry that left is not asked.
  private announceAgain(address: string, revision: number): void {
    const {view} = this;
    if (view === undefined || view.revision !== revision) return;
    if (!view.entries.some(entry => entry.address === address)) return;
    void this.sendView(address, view);
  }

  private recordState(state: PeerConfigurationState): void {
    const {incarnation} = state.entry;
    const known = this.held.get(incarnation)?.state.revision ?? 0;
    if (state.revision < known) return;
    const heardAtMs = this.options.readMonotonicMs();
    this.held.set(incarnation, {state, heardAtMs});
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
    return this.held.get(incarnation)?.state.revision ?? 0;
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

const NO_HOLDER: Holder = {kind: HolderKind.NONE, address: ''};
