/** The agent's task that owns the streams to the entries. */
import type {StopTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {EntryFrameKind} from '../../core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import {PingSchedule} from '../../decisions/ping_schedule.js';
import type {DueMessages} from '../../decisions/ping_schedule.js';
import {computeReconnectPause} from '../../decisions/reconnect_pause.js';
import {
  computeConnectDeadline,
  createLink,
  describeLink,
} from './entry_link.js';
import type {EntryLink} from './entry_link.js';
import {EntryLookUp} from './entry_look_up.js';
import {LinkSelection} from './link_selection.js';
import type {EntryLinkManagerOptions} from './entry_link_manager_options.js';
import {LinkMessageKind, RunnerMessageKind} from './runner_messages.js';
import type {LinkMessage} from './runner_messages.js';

/** Minimum delay in milliseconds between two checks. */
const MIN_CHECK_DELAY_MS = 10;

/** Time in milliseconds without a frame after which a link is reopened. */
const LINK_TIMEOUT_MS = 450;

const MAILBOX_CAPACITY = 100_000;

/**
 * Keeps one stream open to each entry of the agent's subset: sends pings, reopens
 * streams that time out, and batches the frames sent within one turn of the event
 * loop into one message.
 */
export class EntryLinkManager {
  private readonly task: Task<LinkMessage>;
  private readonly links = new Map<string, EntryLink>();
  private readonly linkById = new Map<number, EntryLink>();
  private readonly selection: LinkSelection;
  private lastLinkId = 0;
  private readonly lookUp: EntryLookUp;
  private readonly schedule = PingSchedule.create();
  private stopTimer: StopTimer = () => undefined;
  private isFlushDue = false;

  private constructor(private readonly options: EntryLinkManagerOptions) {
    this.selection = LinkSelection.create(options.agent, options.seeds);
    this.task = Task.create<LinkMessage>({
      name: 'entry links',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    const publish = (addresses: readonly string[]) =>
      void this.post({kind: LinkMessageKind.ADD_ADDRESSES, addresses});
    const nowMs = options.readMonotonicMs();
    this.lookUp = EntryLookUp.create({...options, publish}, nowMs);
  }

  /** Creates the manager and starts to connect to the seeds. */
  static create(options: EntryLinkManagerOptions): EntryLinkManager {
    const manager = new EntryLinkManager(options);
    manager.task.store.add(() => manager.closeAll());
    manager.task.store.add(() => manager.stopTimer());
    manager.post({kind: LinkMessageKind.TICK});
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
      case LinkMessageKind.CLOSE: {
        const link = this.linkById.get(message.linkId);
        if (link?.isWanted === false) this.close(link, 'not needed');
        break;
      }
      case LinkMessageKind.ADD_ADDRESSES:
        this.selection.add(message.addresses, this.options.readMonotonicMs());
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

  /** Creates the links that are wanted, and releases those that are not. */
  private selectLinks(nowMs: number): void {
    this.selection.removeStale(nowMs);
    const wanted = new Set(
      this.selection.listWanted(
        address => this.links.get(address)?.hasFailed !== true,
      ),
    );
    for (const address of wanted) {
      if (this.links.has(address)) continue;
      this.links.set(address, createLink(address, nowMs));
    }
    for (const link of this.links.values()) {
      const isWanted = wanted.has(link.address);
      if (link.isWanted === isWanted) continue;
      link.isWanted = isWanted;
      if (link.incarnation === '') continue;
      const {incarnation: entry} = link;
      this.options.post({kind: RunnerMessageKind.LINK_WANTED, entry, isWanted});
    }
  }

  private checkAll(): void {
    const nowMs = this.options.readMonotonicMs();
    const due = this.schedule.take(nowMs, this.options.readSystemMs());
    this.selectLinks(nowMs);
    for (const link of this.links.values()) this.check(link, due, nowMs);
    this.lookUp.advance(this.hasOpenLink(), nowMs);
    const delayMs = Math.max(MIN_CHECK_DELAY_MS, this.computeDueMs() - nowMs);
    this.stopTimer = this.options.startTimer(delayMs, () =>
      this.post({kind: LinkMessageKind.TICK}),
    );
  }

  /** Returns the time of the next ping, connection attempt or its timeout. */
  private computeDueMs(): number {
    let dueMs = this.schedule.dueMs;
    for (const link of this.links.values()) {
      if (link.incarnation !== '') continue;
      const isOpening = link.stream !== undefined;
      const atMs = isOpening ? computeConnectDeadline(link) : link.retryAtMs;
      dueMs = Math.min(dueMs, atMs);
    }
    return dueMs;
  }

  private isLinkedTo(incarnation: string): boolean {
    const links = [...this.links.values()];
    return links.some(link => link.incarnation === incarnation);
  }

  private hasOpenLink(): boolean {
    const links = [...this.links.values()];
    return links.some(({incarnation}) => incarnation !== '');
  }

  private check(link: EntryLink, due: DueMessages, nowMs: number): void {
    if (link.stream === undefined) {
      if (!link.isWanted) this.links.delete(link.address);
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
    const {linkId, incarnation} = link;
    if (due.isReportDue) this.options.reportLoad(incarnation);
    if (!due.isPingDue) return;
    this.enqueue(linkId, this.options.createPing(incarnation, nowMs));
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
    for (const frame of frames) {
      if (frame.kind === EntryFrameKind.PONG) link.answeredAtMs = nowMs;
      if (frame.kind === EntryFrameKind.HELLO) this.markOpen(link, frame.life);
      else if (frame.kind === EntryFrameKind.ENTRIES) {
        this.selection.setAdvice(linkId, frame, nowMs);
      }
      if (link.incarnation === '') continue;
      const entry = link.incarnation;
      this.options.post({kind: RunnerMessageKind.FRAME, linkId, entry, frame});
    }
  }

  private markOpen(link: EntryLink, incarnation: string): void {
    // Each of two links to one entry would replace the other without end.
    if (this.isLinkedTo(incarnation)) {
      this.close(link, 'linked by another address');
      return;
    }
    link.incarnation = incarnation;
    link.hasFailed = false;
    const {linkId, address, openedAtMs} = link;
    this.selection.add([address], openedAtMs);
    this.report(link, true);
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
    const {incarnation} = link;
    this.selection.removeAdvice(linkId);
    link.stream = undefined;
    link.incarnation = '';
    link.hasFailed = link.isWanted;
    link.outbox = [];
    const nowMs = this.options.readMonotonicMs();
    if (incarnation !== '') link.disconnectedSinceMs = nowMs;
    link.retryAtMs =
      nowMs + computeReconnectPause(nowMs - link.disconnectedSinceMs);
    if (incarnation !== '') this.report(link, false, detail);
    this.options.post({
      kind: RunnerMessageKind.LINK_CLOSED,
      linkId,
      entry: incarnation,
      isRefused: detail.includes('ECONNREFUSED'),
    });
  }

  private report(link: EntryLink, isOpen: boolean, detail = ''): void {
    const fields = describeLink(link, this.options.readMonotonicMs());
    this.options.reportLink(isOpen, detail, fields);
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
