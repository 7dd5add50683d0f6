/** The task of an agent that owns its streams to the entries. */
import type {ReadMonotonicMs, StartTimer, StopTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {AgentFrameKind, EntryFrameKind} from '../../core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  PeerBacklog,
} from '../../core/work_frames.js';
import {computeReconnectPause} from '../../decisions/reconnect_pause.js';
import type {OpenFrameStream} from '../link/frame_stream.js';
import {computeConnectDeadline} from './entry_link.js';
import type {EntryLink} from './entry_link.js';
import {LinkMessageKind, RunnerMessageKind} from './runner_messages.js';
import type {LinkMessage, RunnerMessage} from './runner_messages.js';

/** What the links need to be created. */
export interface EntryLinkManagerOptions {
  /** Addresses to begin with, `host:port`. */
  readonly seeds: readonly string[];
  readonly open: OpenFrameStream<AgentFrame, EntryFrame>;
  /** Reads the entries' addresses elsewhere when no link is open. */
  readonly findEntries: () => Promise<readonly string[]>;
  readonly listBacklogs: () => readonly PeerBacklog[];
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportLink: (
    address: string,
    isOpen: boolean,
    detail: string,
  ) => void;
  readonly reportFailure: (failure: unknown) => void;
}

/** Period of pings in milliseconds; a proof of life of each link. */
const PING_MS = 100;

/** Shortest time in milliseconds between two checks. */
const SHORTEST_CHECK_MS = 10;

/** Silence in milliseconds after which a link counts as dead and is reopened. */
const SILENCE_MS = 400;

/** Time in milliseconds after which an address that never answers is dropped. */
const FORGET_AFTER_MS = 20_000;

/** Pause in milliseconds between look-ups of entries while no link is open. */
const LOOK_UP_PAUSE_MS = 2000;

const MAILBOX_CAPACITY = 100_000;

/**
 * Keeps one stream to each entry known, sends pings, reopens what falls silent
 * and gathers what is sent within one turn of the event loop into one message.
 */
export class EntryLinkManager {
  private readonly task: Task<LinkMessage>;
  private readonly peers = new Map<string, EntryLink>();
  private readonly peerByLink = new Map<number, EntryLink>();
  private lastLink = 0;
  private lookedUpAtMs = 0;
  private pingedAtMs = 0;
  private stopTimer: StopTimer = () => undefined;
  private isFlushDue = false;

  private constructor(private readonly options: EntryLinkManagerOptions) {
    this.task = Task.create<LinkMessage>({
      name: 'entry links',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the links and opens those to the seeds. */
  static create(options: EntryLinkManagerOptions): EntryLinkManager {
    const links = new EntryLinkManager(options);
    const {task} = links;
    for (const address of options.seeds) links.addPeer(address, true);
    task.store.add(() => links.closeAll());
    task.store.add(() => links.stopTimer());
    task.post({kind: LinkMessageKind.TICK});
    return links;
  }

  /** Hands a message to the links. */
  get post(): Post<LinkMessage> {
    return this.task.post;
  }

  /** Closes all streams. */
  stop(): Promise<void> {
    this.flush();
    return this.task.stop();
  }

  private handle(message: LinkMessage): void {
    switch (message.kind) {
      case LinkMessageKind.SEND:
        this.enqueue(message.link, message.frame);
        break;
      case LinkMessageKind.ADD_ADDRESSES:
        for (const address of message.addresses) this.addPeer(address, false);
        break;
      case LinkMessageKind.RECEIVED:
        this.receive(message.link, message.frames);
        break;
      case LinkMessageKind.STREAM_FAILED:
        this.lose(message.link, message.detail);
        break;
      case LinkMessageKind.TICK:
        this.checkAll();
        break;
    }
  }

  private addPeer(address: string, isSeed: boolean): void {
    const nowMs = this.options.readMonotonicMs();
    const known = this.peers.get(address);
    if (known !== undefined) {
      known.lastSeenMs = nowMs;
      return;
    }
    this.peers.set(address, {
      address,
      isSeed,
      link: 0,
      stream: undefined,
      incarnation: '',
      openedAtMs: 0,
      lastReceivedAtMs: 0,
      nextAttemptMs: nowMs,
      disconnectedSinceMs: nowMs,
      lastSeenMs: nowMs,
      outbox: [],
    });
  }

  private checkAll(): void {
    const nowMs = this.options.readMonotonicMs();
    // A timer may fire early by the part of a millisecond that it cannot tell.
    const isPingDue = nowMs - this.pingedAtMs >= PING_MS - 1;
    if (isPingDue) this.pingedAtMs = nowMs;
    for (const peer of this.peers.values()) this.check(peer, isPingDue, nowMs);
    this.lookUp(nowMs);
    const delayMs = Math.max(SHORTEST_CHECK_MS, this.findDueMs() - nowMs);
    this.stopTimer = this.options.startTimer(delayMs, () =>
      this.post({kind: LinkMessageKind.TICK}),
    );
  }

  /** Finds the time of the next check: a ping, an attempt or the end of one. */
  private findDueMs(): number {
    let dueMs = this.pingedAtMs + PING_MS;
    for (const peer of this.peers.values()) {
      if (peer.incarnation !== '') continue;
      const isOpening = peer.stream !== undefined;
      const atMs = isOpening
        ? computeConnectDeadline(peer)
        : peer.nextAttemptMs;
      dueMs = Math.min(dueMs, atMs);
    }
    return dueMs;
  }

  private check(peer: EntryLink, isPingDue: boolean, nowMs: number): void {
    if (peer.stream === undefined) {
      const isOld = nowMs - peer.lastSeenMs > FORGET_AFTER_MS;
      if (isOld && !peer.isSeed) this.peers.delete(peer.address);
      else if (nowMs >= peer.nextAttemptMs) this.open(peer, nowMs);
      return;
    }
    if (peer.incarnation === '') {
      if (nowMs >= computeConnectDeadline(peer)) this.drop(peer, 'no greeting');
      return;
    }
    if (nowMs - peer.lastReceivedAtMs > SILENCE_MS) {
      this.drop(peer, 'silent');
      return;
    }
    if (!isPingDue) return;
    const backlogs = this.options.listBacklogs();
    this.enqueue(peer.link, {
      kind: AgentFrameKind.PING,
      sentAtMs: nowMs,
      backlogs: backlogs.filter(({entry}) => entry !== peer.incarnation),
    });
  }

  private open(peer: EntryLink, nowMs: number): void {
    this.lastLink += 1;
    const link = this.lastLink;
    peer.link = link;
    peer.incarnation = '';
    peer.openedAtMs = nowMs;
    this.peerByLink.set(link, peer);
    peer.stream = this.options.open(peer.address, {
      receive: frames =>
        this.post({kind: LinkMessageKind.RECEIVED, link, frames}),
      fail: detail =>
        this.post({kind: LinkMessageKind.STREAM_FAILED, link, detail}),
    });
    // The stream opens with its first message.
    peer.stream.send([]);
  }

  private receive(link: number, frames: readonly EntryFrame[]): void {
    const peer = this.peerByLink.get(link);
    if (peer === undefined || peer.link !== link) return;
    const nowMs = this.options.readMonotonicMs();
    peer.lastReceivedAtMs = nowMs;
    peer.lastSeenMs = nowMs;
    for (const frame of frames) {
      if (frame.kind === EntryFrameKind.HELLO) this.greet(peer, frame.life);
      else if (frame.kind === EntryFrameKind.PONG) {
        for (const address of frame.entries) this.addPeer(address, false);
      }
      if (peer.incarnation === '') continue;
      const entry = peer.incarnation;
      this.options.post({kind: RunnerMessageKind.FRAME, link, entry, frame});
    }
  }

  private greet(peer: EntryLink, life: string): void {
    peer.incarnation = life;
    const {link, address} = peer;
    this.options.reportLink(address, true, '');
    this.options.post({
      kind: RunnerMessageKind.LINK_OPENED,
      link,
      entry: life,
      address,
    });
  }

  private drop(peer: EntryLink, detail: string): void {
    peer.stream?.close();
    this.lose(peer.link, detail);
  }

  private lose(link: number, detail: string): void {
    const peer = this.peerByLink.get(link);
    this.peerByLink.delete(link);
    if (peer === undefined || peer.link !== link) return;
    const {incarnation: life, address} = peer;
    peer.stream = undefined;
    peer.incarnation = '';
    peer.outbox = [];
    const nowMs = this.options.readMonotonicMs();
    if (life !== '') peer.disconnectedSinceMs = nowMs;
    peer.nextAttemptMs =
      nowMs + computeReconnectPause(nowMs - peer.disconnectedSinceMs);
    if (life !== '') this.options.reportLink(address, false, detail);
    this.options.post({
      kind: RunnerMessageKind.LINK_CLOSED,
      link,
      entry: life,
      isRefused: detail.includes('ECONNREFUSED'),
    });
  }

  private lookUp(nowMs: number): void {
    const isLinked = [...this.peers.values()].some(
      peer => peer.incarnation !== '',
    );
    if (isLinked || nowMs - this.lookedUpAtMs < LOOK_UP_PAUSE_MS) return;
    this.lookedUpAtMs = nowMs;
    void this.options.findEntries().then(
      addresses => this.post({kind: LinkMessageKind.ADD_ADDRESSES, addresses}),
      failure => this.options.reportFailure(failure),
    );
  }

  private enqueue(link: number, frame: AgentFrame): void {
    const peer = this.peerByLink.get(link);
    if (peer === undefined || peer.incarnation === '') return;
    peer.outbox.push(frame);
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isFlushDue = false;
    for (const peer of this.peers.values()) {
      if (peer.outbox.length === 0) continue;
      peer.stream?.send(peer.outbox);
      peer.outbox = [];
    }
  }

  private closeAll(): void {
    for (const peer of this.peers.values()) peer.stream?.close();
  }
}
