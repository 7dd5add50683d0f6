/** What a runner has to send on each of its links. */
import type {Defer, StartTimer} from '../core/clock.js';
import type {LoadReport, TaskReport} from '../core/link_messages.js';
import {LinkMessageKind} from './runner_messages.js';
import type {LinkMessage} from './runner_messages.js';

/** Shortest time between two load reports to an entry that nothing else is sent to. */
const LOAD_PERIOD_MS = 10;

/**
 * Time in milliseconds after which an entry that has not come back is given up.
 * Entries give a missing agent up well before.
 */
const FORGET_AFTER_MS = 10_000;

/** Counts of what an agent has done since it started. */
export interface RunnerCounters {
  ordersTaken: number;
  starts: number;
  refusals: number;
  framesSent: number;
  loadReports: number;
}

/** What the runner knows of one link. */
export interface LinkView {
  /** Name of the entry at the other end; empty before the first welcome. */
  entryId: string;
  /** Incarnation of the entry at the other end; empty before the first welcome. */
  entry: string;
  isOpen: boolean;
  /** Monotonic time in milliseconds at which the link was last open. */
  openedUntilMs: number;
  /** Reports to send with the next frame. */
  pending: TaskReport[];
  isLoadStale: boolean;
}

/** What the links' view needs to be created. */
export interface RunnerLinksOptions {
  readonly counters: RunnerCounters;
  readonly startTimer: StartTimer;
  /** Gathers what one turn of the event loop produced before it is sent. */
  readonly defer: Defer;
  /** Describes the agent's load to an entry's life. */
  readonly describeLoad: (entry: string) => LoadReport;
  /** Hands a message to the link of that address. */
  readonly postToLink: (link: string, message: LinkMessage) => void;
  /** Posts to the owner's mailbox that load reports are due. */
  readonly postLoadDue: () => void;
}

/**
 * Gathers reports for each link and sends them once a turn of the event loop.
 * An entry to which nothing else is sent is told a changed load after a moment,
 * so that many changes make one message.
 */
export class RunnerLinks {
  private readonly links = new Map<string, LinkView>();
  private isFlushScheduled = false;
  private isLoadTimerRunning = false;

  private constructor(private readonly options: RunnerLinksOptions) {}

  /** Creates a view without links. */
  static create(options: RunnerLinksOptions): RunnerLinks {
    return new RunnerLinks(options);
  }

  /** Notes that a link is closed. */
  close(link: string, nowMs: number): void {
    const view = this.getOrCreate(link);
    if (view.isOpen) view.openedUntilMs = nowMs;
    view.isOpen = false;
  }

  /**
   * Gives up the entries' lives whose links have long been closed, and returns
   * them. The next greeting says that nothing is known of such a life, so that
   * the entry takes nothing for proven.
   */
  expireDisconnected(nowMs: number): string[] {
    const lost: string[] = [];
    for (const view of this.links.values()) {
      if (view.isOpen || view.entry === '') continue;
      if (nowMs - view.openedUntilMs < FORGET_AFTER_MS) continue;
      lost.push(view.entry);
      view.entry = '';
    }
    return lost;
  }

  /** Adds a report to the links of an entry's life. */
  addReport(entry: string, report: TaskReport): void {
    for (const view of this.links.values()) {
      if (view.entry === entry && view.isOpen) view.pending.push(report);
      view.isLoadStale = true;
    }
    this.scheduleFlush();
  }

  /** Tells every entry of a changed load, after a moment. */
  scheduleLoadReports(): void {
    for (const view of this.links.values()) view.isLoadStale = true;
    this.startLoadTimer();
  }

  /** Sends what has gathered at the end of this turn. */
  scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.defer(() => this.flushReports());
  }

  private flushReports(): void {
    this.isFlushScheduled = false;
    for (const [link, view] of this.links) {
      if (view.isOpen && view.pending.length > 0) this.send(link, view);
    }
    this.startLoadTimer();
  }

  private startLoadTimer(): void {
    if (this.isLoadTimerRunning) return;
    const isAnyStale = [...this.links.values()].some(
      view => view.isOpen && view.isLoadStale,
    );
    if (!isAnyStale) return;
    this.isLoadTimerRunning = true;
    this.options.startTimer(LOAD_PERIOD_MS, this.options.postLoadDue);
  }

  /** Sends the loads that have changed. */
  flushLoads(): void {
    this.isLoadTimerRunning = false;
    for (const [link, view] of this.links) {
      if (!view.isOpen || !view.isLoadStale) continue;
      this.options.counters.loadReports += 1;
      this.send(link, view);
    }
  }

  private send(link: string, view: LinkView): void {
    const reports = view.pending;
    view.pending = [];
    view.isLoadStale = false;
    this.options.counters.framesSent += 1;
    this.options.postToLink(link, {
      kind: LinkMessageKind.SEND,
      reports,
      load: this.options.describeLoad(view.entry),
    });
  }

  /** Returns the view of a link, a new one if it is not known. */
  getOrCreate(link: string): LinkView {
    const known = this.links.get(link);
    if (known !== undefined) return known;
    const view: LinkView = {
      entryId: '',
      entry: '',
      isOpen: false,
      openedUntilMs: 0,
      pending: [],
      isLoadStale: false,
    };
    this.links.set(link, view);
    return view;
  }
}
