/** The task of an entry that owns the connections to the other entries. */
import {Outcome, Problem} from '../core/job.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import {PeerCallEnd} from '../wire/peer_client.js';
import type {ConnectPeer, PeerConnection} from '../wire/peer_client.js';
import type {PeerConfigurationState} from '../wire/peer_codec.js';
import {encodeProblem} from './answer_encoding.js';
import type {EncodedAnswer} from './answer_encoding.js';
import type {Answer, CallerRequest} from './request_desk.js';

/** Kinds of message that the keeper takes. */
export enum PeerMessageKind {
  FORWARD = 'forward',
  VIEW = 'view',
  ANNOUNCED = 'announced',
  AWAIT_MAJORITY = 'await-majority',
  MAJORITY_TIMEOUT = 'majority-timeout',
  ANNOUNCE_AGAIN = 'announce-again',
}

/** Messages that the keeper takes. */
export type PeerMessage =
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
      readonly kind: PeerMessageKind.ANNOUNCE_AGAIN;
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

/** What the keeper needs to be created. */
export interface PeerKeeperOptions {
  readonly identity: ProcessIdentity;
  readonly connect: ConnectPeer;
  /** Time in milliseconds that a forwarded request may take. */
  readonly forwardWithinMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/** What is known of the configuration that a peer has in force. */
export interface PeerKnowledge {
  readonly state: PeerConfigurationState;
  /** Monotonic time in milliseconds at which the peer answered. */
  readonly heardAtMs: number;
}

const MAILBOX_CAPACITY = 100_000;
const ANNOUNCE_WITHIN_MS = 2000;
const ANNOUNCE_AGAIN_AFTER_MS = 1000;
const RETRY_AFTER_MS = 1000;

/**
 * Hands requests to the owner of their key, tells peers of a newer
 * configuration and knows which revision each of them holds.
 */
export class PeerKeeper {
  private readonly task: Task<PeerMessage>;
  private readonly connections = new Map<string, PeerConnection>();
  /** What each other entry is known to hold, by incarnation. */
  private readonly held = new Map<string, PeerKnowledge>();
  private view: ConfigurationView | undefined;
  private waiters: MajorityWaiter[] = [];

  private constructor(private readonly options: PeerKeeperOptions) {
    this.task = Task.create<PeerMessage>({
      name: 'peer keeper',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates a keeper without connections. */
  static create(options: PeerKeeperOptions): PeerKeeper {
    const keeper = new PeerKeeper(options);
    keeper.task.store.add(() => keeper.closeAll());
    return keeper;
  }

  /** Hands a message to the keeper. */
  get post(): Post<PeerMessage> {
    return this.task.post;
  }

  /** Returns what an entry's life is known to hold. */
  getKnowledge(incarnation: string): PeerKnowledge | undefined {
    return this.held.get(incarnation);
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
      case PeerMessageKind.ANNOUNCE_AGAIN:
        this.announceAgain(message.address, message.revision);
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
    answer(result.value ?? describeLostOwner(key));
  }

  private takeView(view: ConfigurationView): void {
    this.view = view;
    const live = new Set(view.entries.map(entry => entry.incarnation));
    for (const incarnation of this.held.keys()) {
      if (!live.has(incarnation)) this.held.delete(incarnation);
    }
    this.settleWaiters();
    for (const entry of view.entries) {
      if (entry.incarnation === this.options.identity.incarnation) continue;
      void this.sendView(entry.address, view);
    }
  }

  private async sendView(
    address: string,
    view: ConfigurationView,
  ): Promise<void> {
    const result = await this.open(address).announce(view, ANNOUNCE_WITHIN_MS);
    if (result.end === PeerCallEnd.ANSWERED) {
      this.post({kind: PeerMessageKind.ANNOUNCED, state: result.value!});
      return;
    }
    const {revision} = view;
    const stop = this.options.startTimer(ANNOUNCE_AGAIN_AFTER_MS, () =>
      this.post({kind: PeerMessageKind.ANNOUNCE_AGAIN, address, revision}),
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

function describeLostOwner(key: string): EncodedAnswer {
  return encodeProblem({
    problem: Problem.OWNER_UNREACHABLE,
    outcome: Outcome.UNKNOWN,
    detail:
      'The entry that owns this key gave no answer. Asking again under the ' +
      'same key is safe.',
    key,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
