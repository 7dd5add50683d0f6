/** The agent's task that owns the streams to the entries. */
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

/** Dependencies of the link manager. */
export interface EntryLinkManagerOptions {
  /** Initial addresses, `host:port`; these are never dropped. */
  readonly seeds: readonly string[];
  readonly open: OpenFrameStream<AgentFrame, EntryFrame>;
  /** Looks up the entries' addresses; called while no link is open. */
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

/** Period of the pings on each link in milliseconds. */
const PING_PERIOD_MS = 100;

/** Minimum delay in milliseconds between two checks. */
const MIN_CHECK_DELAY_MS = 10;

/** Time in milliseconds without a frame after which a link is reopened. */
const LINK_TIMEOUT_MS = 400;

/**
 * Time in milliseconds since the last frame from an address, or since it was
 * last listed, after which it is dropped.
 */
const ADDRESS_RETENTION_MS = 20_000;

/** Period in milliseconds of the look-ups of entries while no link is open. */
const LOOK_UP_PERIOD_MS = 2000;

const MAILBOX_CAPACITY = 100_000;

/**
 * Keeps one stream open to each known entry: sends pings, reopens streams that
 * time out, and batches the frames sent within one turn of the event loop into
 * one message.
 */
export class EntryLinkManager {
  private readonly task: Task<LinkMessage>;
  private readonly links = new Map<string, EntryLink>();
  private readonly linkById = new Map<number, EntryLink>();
  private lastLinkId = 0;
  private lastLookUpMs = 0;
  private lastPingMs = 0;
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

  /** Creates the manager and starts to connect to the seeds. */
  static create(options: EntryLinkManagerOptions): EntryLinkManager {
    const manager = new EntryLinkManager(options);
    const {task} = manager;
    for (const address of options.seeds) manager.add(address, true);
    task.store.add(() => manager.closeAll());
    task.store.add(() => manager.stopTimer());
    task.post({kind: LinkMessageKind.TICK});
    return manager;
  }

  /** Posts a message to this task. */
  get post(): Post<LinkMessage> {
    return this.task.post;
  }

  /** Sends the queued frames and closes all streams. */
  stop(): Promise<void> {
    this.flush();
    return this.task.stop();
  }

  private handle(message: LinkMessage): void {
    switch (message.kind) {
      case LinkMessageKind.SEND:
        this.enqueue(message.linkId, message.frame);
        break;
      case LinkMessageKind.ADD_ADDRESSES:
        for (const address of message.addresses) this.add(address, false);
        break;
      case LinkMessageKind.RECEIVED:
        this.receive(message.linkId, message.frames);
        break;
      case LinkMessageKind.STREAM_FAILED:
        this.handleDisconnect(message.linkId, message.detail);
        break;
      case LinkMessageKind.TICK:
        this.checkAll();
        break;
    }
  }

  private add(address: string, isSeed: boolean): void {
    const nowMs = this.options.readMonotonicMs();
    const known = this.links.get(address);
    if (known !== undefined) {
      known.lastSeenMs = nowMs;
      return;
    }
    this.links.set(address, {
      address,
      isSeed,
      linkId: 0,
      stream: undefined,
      incarnation: '',
      openedAtMs: 0,
      lastReceivedAtMs: 0,
      retryAtMs: nowMs,
      disconnectedSinceMs: nowMs,
      lastSeenMs: nowMs,
      outbox: [],
    });
  }

  private checkAll(): void {
    const nowMs = this.options.readMonotonicMs();
    // A timer has millisecond resolution and may fire up to 1 ms early.
    const isPingDue = nowMs - this.lastPingMs >= PING_PERIOD_MS - 1;
    if (isPingDue) this.lastPingMs = nowMs;
    for (const link of this.links.values()) this.check(link, isPingDue, nowMs);
    this.lookUp(nowMs);
    const delayMs = Math.max(MIN_CHECK_DELAY_MS, this.computeDueMs() - nowMs);
    this.stopTimer = this.options.startTimer(delayMs, () =>
      this.post({kind: LinkMessageKind.TICK}),
    );
  }

  /** Returns the time of the next ping, connection attempt or its timeout. */
  private computeDueMs(): number {
    let dueMs = this.lastPingMs + PING_PERIOD_MS;
    for (const link of this.links.values()) {
      if (link.incarnation !== '') continue;
      const isOpening = link.stream !== undefined;
      const atMs = isOpening ? computeConnectDeadline(link) : link.retryAtMs;
      dueMs = Math.min(dueMs, atMs);
    }
    return dueMs;
  }

  private check(link: EntryLink, isPingDue: boolean, nowMs: number): void {
    if (link.stream === undefined) {
      const isStale = nowMs - link.lastSeenMs > ADDRESS_RETENTION_MS;
      if (isStale && !link.isSeed) this.links.delete(link.address);
      else if (nowMs >= link.retryAtMs) this.open(link, nowMs);
      return;
    }
    if (link.incarnation === '') {
      if (nowMs >= computeConnectDeadline(link)) this.close(link, 'no hello');
      return;
    }
    if (nowMs - link.lastReceivedAtMs > LINK_TIMEOUT_MS) {
      this.close(link, 'no frames');
      return;
    }
    if (!isPingDue) return;
    const backlogs = this.options.listBacklogs();
    this.enqueue(link.linkId, {
      kind: AgentFrameKind.PING,
      sentAtMs: nowMs,
      backlogs: backlogs.filter(({entry}) => entry !== link.incarnation),
    });
  }

  private open(link: EntryLink, nowMs: number): void {
    this.lastLinkId += 1;
    const linkId = this.lastLinkId;
    link.linkId = linkId;
    link.incarnation = '';
    link.openedAtMs = nowMs;
    this.linkById.set(linkId, link);
    link.stream = this.options.open(link.address, {
      receive: frames =>
        this.post({kind: LinkMessageKind.RECEIVED, linkId, frames}),
      fail: detail =>
        this.post({kind: LinkMessageKind.STREAM_FAILED, linkId, detail}),
    });
    // A transport may open the stream only with the first message.
    link.stream.send([]);
  }

  private receive(linkId: number, frames: readonly EntryFrame[]): void {
    const link = this.linkById.get(linkId);
    if (link === undefined || link.linkId !== linkId) return;
    const nowMs = this.options.readMonotonicMs();
    link.lastReceivedAtMs = nowMs;
    link.lastSeenMs = nowMs;
    for (const frame of frames) {
      if (frame.kind === EntryFrameKind.HELLO) this.markOpen(link, frame.life);
      else if (frame.kind === EntryFrameKind.PONG) {
        for (const address of frame.entries) this.add(address, false);
      }
      if (link.incarnation === '') continue;
      const entry = link.incarnation;
      this.options.post({kind: RunnerMessageKind.FRAME, linkId, entry, frame});
    }
  }

  private markOpen(link: EntryLink, incarnation: string): void {
    link.incarnation = incarnation;
    const {linkId, address, openedAtMs} = link;
    this.options.reportLink(address, true, '');
    this.options.post({
      kind: RunnerMessageKind.LINK_OPENED,
      linkId,
      entry: incarnation,
      address,
      openedAtMs,
    });
  }

  private close(link: EntryLink, detail: string): void {
    link.stream?.close();
    this.handleDisconnect(link.linkId, detail);
  }

  private handleDisconnect(linkId: number, detail: string): void {
    const link = this.linkById.get(linkId);
    this.linkById.delete(linkId);
    if (link === undefined || link.linkId !== linkId) return;
    const {incarnation, address} = link;
    link.stream = undefined;
    link.incarnation = '';
    link.outbox = [];
    const nowMs = this.options.readMonotonicMs();
    if (incarnation !== '') link.disconnectedSinceMs = nowMs;
    link.retryAtMs =
      nowMs + computeReconnectPause(nowMs - link.disconnectedSinceMs);
    if (incarnation !== '') this.options.reportLink(address, false, detail);
    this.options.post({
      kind: RunnerMessageKind.LINK_CLOSED,
      linkId,
      entry: incarnation,
      isRefused: detail.includes('ECONNREFUSED'),
    });
  }

  private lookUp(nowMs: number): void {
    const isLinked = [...this.links.values()].some(
      link => link.incarnation !== '',
    );
    if (isLinked || nowMs - this.lastLookUpMs < LOOK_UP_PERIOD_MS) return;
    this.lastLookUpMs = nowMs;
    void this.options.findEntries().then(
      addresses => this.post({kind: LinkMessageKind.ADD_ADDRESSES, addresses}),
      failure => this.options.reportFailure(failure),
    );
  }

  private enqueue(linkId: number, frame: AgentFrame): void {
    const link = this.linkById.get(linkId);
    if (link === undefined || link.incarnation === '') return;
    link.outbox.push(frame);
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isFlushDue = false;
    for (const link of this.links.values()) {
      if (link.outbox.length === 0) continue;
      link.stream?.send(link.outbox);
      link.outbox = [];
    }
  }

  private closeAll(): void {
    for (const link of this.links.values()) link.stream?.close();
  }
}
