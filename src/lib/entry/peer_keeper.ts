/** The task of an entry that owns the connections to the other entries. */
import {Outcome, Problem} from '../core/job.js';
import type {ProcessIdentity} from '../core/identity.js';
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
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

const MAILBOX_CAPACITY = 100_000;
const ANNOUNCE_WITHIN_MS = 2000;
const RETRY_AFTER_MS = 1000;

/**
 * Hands requests to the owner of their key, tells peers of a newer
 * configuration and knows which revision each of them holds.
 */
export class PeerKeeper {
  private readonly task: Task<PeerMessage>;
  private readonly connections = new Map<string, PeerConnection>();
  /** Revision that each entry of the view is known to hold, by incarnation. */
  private readonly held = new Map<string, number>();
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

  /** Returns the revision that an entry's life is known to hold, or 0. */
  getRevision(incarnation: string): number {
    return this.held.get(incarnation) ?? 0;
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
        this.recordRevision(
          message.state.entry.incarnation,
          message.state.revision,
        );
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
    this.recordRevision(this.options.identity.incarnation, view.revision);
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
    if (result.end !== PeerCallEnd.ANSWERED) return;
    this.post({kind: PeerMessageKind.ANNOUNCED, state: result.value!});
  }

  private recordRevision(incarnation: string, revision: number): void {
    if (revision <= this.getRevision(incarnation)) return;
    this.held.set(incarnation, revision);
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
      entry => this.getRevision(entry.incarnation) >= revision,
    );
    return holders.length > entries.length / 2;
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
