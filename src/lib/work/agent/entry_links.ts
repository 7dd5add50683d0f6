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
import {computePause} from '../../decisions/link_pace.js';
import type {OpenFrameStream} from '../link/frame_stream.js';
import {computeOpeningEnd} from './linked_entry.js';
import type {LinkedEntry} from './linked_entry.js';
import {LinksMessageKind, WorkMessageKind} from './runner_messages.js';
import type {LinksMessage, WorkMessage} from './runner_messages.js';

/** What the links need to be created. */
export interface EntryLinksOptions {
  /** Addresses to begin with, `host:port`. */
  readonly seeds: readonly string[];
  readonly open: OpenFrameStream<AgentFrame, EntryFrame>;
  /** Reads the entries' addresses elsewhere when no link is open. */
  readonly findEntries: () => Promise<readonly string[]>;
  readonly listBacklogs: () => readonly PeerBacklog[];
  readonly post: Post<WorkMessage>;
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
export class EntryLinks {
  private readonly task: Task<LinksMessage>;
  private readonly peers = new Map<string, LinkedEntry>();
  private readonly peerByLink = new Map<number, LinkedEntry>();
  private lastLink = 0;
  private lookedUpAtMs = 0;
  private pingedAtMs = 0;
  private stopTimer: StopTimer = () => undefined;
  private isFlushDue = false;

  private constructor(private readonly options: EntryLinksOptions) {
    this.task = Task.create<LinksMessage>({
      name: 'entry links',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the links and opens those to the seeds. */
  static create(options: EntryLinksOptions): EntryLinks {
    const links = new EntryLinks(options);
    const {task} = links;
    for (const address of options.seeds) links.addPeer(address, true);
    task.store.add(() => links.closeAll());
    task.store.add(() => links.stopTimer());
    task.post({kind: LinksMessageKind.TICK});
    return links;
  }

  /** Hands a message to the links. */
  get post(): Post<LinksMessage> {
    return this.task.post;
  }

  /** Closes all streams. */
  stop(): Promise<void> {
    this.flush();
    return this.task.stop();
  }

  private handle(message: LinksMessage): void {
    switch (message.kind) {
      case LinksMessageKind.SEND:
        this.enqueue(message.link, message.frame);
        break;
      case LinksMessageKind.LEARN:
        for (const address of message.addresses) this.addPeer(address, false);
        break;
      case LinksMessageKind.RECEIVED:
        this.receive(message.link, message.frames);
        break;
      case LinksMessageKind.BROKEN:
        this.lose(message.link, message.detail);
        break;
      case LinksMessageKind.TICK:
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
      life: '',
      openedAtMs: 0,
      heardAtMs: 0,
      nextAttemptMs: nowMs,
      silentSinceMs: nowMs,
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
      this.post({kind: LinksMessageKind.TICK}),
    );
  }

  /** Finds the time of the next check: a ping, an attempt or the end of one. */
  private findDueMs(): number {
    let dueMs = this.pingedAtMs + PING_MS;
    for (const peer of this.peers.values()) {
      if (peer.life !== '') continue;
      const isOpening = peer.stream !== undefined;
      const atMs = isOpening ? computeOpeningEnd(peer) : peer.nextAttemptMs;
      dueMs = Math.min(dueMs, atMs);
    }
    return dueMs;
  }

  private check(peer: LinkedEntry, isPingDue: boolean, nowMs: number): void {
    if (peer.stream === undefined) {
      const isOld = nowMs - peer.lastSeenMs > FORGET_AFTER_MS;
      if (isOld && !peer.isSeed) this.peers.delete(peer.address);
      else if (nowMs >= peer.nextAttemptMs) this.open(peer, nowMs);
      return;
    }
    if (peer.life === '') {
      if (nowMs >= computeOpeningEnd(peer)) this.drop(peer, 'no greeting');
      return;
    }
    if (nowMs - peer.heardAtMs > SILENCE_MS) {
      this.drop(peer, 'silent');
      return;
    }
    if (!isPingDue) return;
    const backlogs = this.options.listBacklogs();
    this.enqueue(peer.link, {
      kind: AgentFrameKind.PING,
      sentAtMs: nowMs,
      backlogs: backlogs.filter(({entry}) => entry !== peer.life),
    });
  }

  private open(peer: LinkedEntry, nowMs: number): void {
    this.lastLink += 1;
    const link = this.lastLink;
    peer.link = link;
    peer.life = '';
    peer.openedAtMs = nowMs;
    this.peerByLink.set(link, peer);
    peer.stream = this.options.open(peer.address, {
      receive: frames =>
        this.post({kind: LinksMessageKind.RECEIVED, link, frames}),
      fail: detail => this.post({kind: LinksMessageKind.BROKEN, link, detail}),
    });
    // The stream opens with its first message.
    peer.stream.send([]);
  }

  private receive(link: number, frames: readonly EntryFrame[]): void {
    const peer = this.peerByLink.get(link);
    if (peer === undefined || peer.link !== link) return;
    const nowMs = this.options.readMonotonicMs();
    peer.heardAtMs = nowMs;
    peer.lastSeenMs = nowMs;
    for (const frame of frames) {
      if (frame.kind === EntryFrameKind.HELLO) this.greet(peer, frame.life);
      else if (frame.kind === EntryFrameKind.PONG) {
        for (const address of frame.entries) this.addPeer(address, false);
      }
      if (peer.life === '') continue;
      const entry = peer.life;
      this.options.post({kind: WorkMessageKind.FRAME, link, entry, frame});
    }
  }

  private greet(peer: LinkedEntry, life: string): void {
    peer.life = life;
    const {link, address} = peer;
    this.options.reportLink(address, true, '');
    this.options.post({
      kind: WorkMessageKind.LINK_OPENED,
      link,
      entry: life,
      address,
    });
  }

  private drop(peer: LinkedEntry, detail: string): void {
    peer.stream?.close();
    this.lose(peer.link, detail);
  }

  private lose(link: number, detail: string): void {
    const peer = this.peerByLink.get(link);
    this.peerByLink.delete(link);
    if (peer === undefined || peer.link !== link) return;
    const {life, address} = peer;
    peer.stream = undefined;
    peer.life = '';
    peer.outbox = [];
    const nowMs = this.options.readMonotonicMs();
    if (life !== '') peer.silentSinceMs = nowMs;
    peer.nextAttemptMs = nowMs + computePause(nowMs - peer.silentSinceMs);
    if (life !== '') this.options.reportLink(address, false, detail);
    this.options.post({
      kind: WorkMessageKind.LINK_CLOSED,
      link,
      entry: life,
      isRefused: detail.includes('ECONNREFUSED'),
    });
  }

  private lookUp(nowMs: number): void {
    const isLinked = [...this.peers.values()].some(peer => peer.life !== '');
    if (isLinked || nowMs - this.lookedUpAtMs < LOOK_UP_PAUSE_MS) return;
    this.lookedUpAtMs = nowMs;
    void this.options.findEntries().then(
      addresses => this.post({kind: LinksMessageKind.LEARN, addresses}),
      failure => this.options.reportFailure(failure),
    );
  }

  private enqueue(link: number, frame: AgentFrame): void {
    const peer = this.peerByLink.get(link);
    if (peer === undefined || peer.life === '') return;
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
