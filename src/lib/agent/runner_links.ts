/** Batching of the reports that the runner sends on its links. */
import type {Defer, StartTimer} from '../core/clock.js';
import type {LoadReport, TaskReport} from '../core/link_messages.js';
import {LinkMessageKind} from './runner_messages.js';
import type {LinkMessage} from './runner_messages.js';

/** Minimum period of load reports on a link without other traffic. */
const LOAD_REPORT_PERIOD_MS = 10;

/**
 * Time in milliseconds after which a disconnected entry is considered lost.
 * Entries consider a disconnected agent lost well before.
 */
const LOST_AFTER_MS = 10_000;

/** Counters of an agent since its start. */
export interface RunnerCounters {
  ordersReceived: number;
  starts: number;
  refusals: number;
  framesSent: number;
  loadReports: number;
}

/** The runner's state of one link. */
export interface LinkView {
  /** Id of the connected entry; empty before the first welcome. */
  entryId: string;
  /** Incarnation of the connected entry; empty before the first welcome. */
  entry: string;
  isOpen: boolean;
  /** Monotonic time in milliseconds at which the link was last open. */
  lastOpenAtMs: number;
  /** Reports to send with the next frame. */
  pending: TaskReport[];
  isLoadStale: boolean;
}

/** Options of `RunnerLinks.create`. */
export interface RunnerLinksOptions {
  readonly counters: RunnerCounters;
  readonly startTimer: StartTimer;
  /** Defers sending, to batch the reports of one turn of the event loop. */
  readonly defer: Defer;
  /** Describes the agent's load to an incarnation of an entry. */
  readonly describeLoad: (entry: string) => LoadReport;
  /** Posts a message to the link of an address. */
  readonly postToLink: (link: string, message: LinkMessage) => void;
  /** Notifies the runner, through its mailbox, that load reports are due. */
  readonly postLoadDue: () => void;
}

/**
 * Collects reports for each link and sends them once per turn of the event loop.
 * A changed load is sent with the next reports, or after `LOAD_REPORT_PERIOD_MS`
 * if there are none, so that many changes make one message.
 */
export class RunnerLinks {
  private readonly links = new Map<string, LinkView>();
  private isFlushScheduled = false;
  private isLoadTimerRunning = false;

  private constructor(private readonly options: RunnerLinksOptions) {}

  /** Creates an instance without links. */
  static create(options: RunnerLinksOptions): RunnerLinks {
    return new RunnerLinks(options);
  }

  /** Marks a link as closed. */
  close(link: string, nowMs: number): void {
    const view = this.getOrCreate(link);
    if (view.isOpen) view.lastOpenAtMs = nowMs;
    view.isOpen = false;
  }

  /**
   * Removes the incarnations of entries whose links have been closed for
   * `LOST_AFTER_MS`, and returns them. The next `Hello` then reports no known
   * incarnation, so that the entry treats no task as proven not to have run.
   */
  expireLost(nowMs: number): string[] {
    const lost: string[] = [];
    for (const view of this.links.values()) {
      if (view.isOpen || view.entry === '') continue;
      if (nowMs - view.lastOpenAtMs < LOST_AFTER_MS) continue;
      lost.push(view.entry);
      view.entry = '';
    }
    return lost;
  }

  /** Queues a report on the links to an incarnation of an entry. */
  addReport(entry: string, report: TaskReport): void {
    for (const view of this.links.values()) {
      if (view.entry === entry && view.isOpen) view.pending.push(report);
      view.isLoadStale = true;
    }
    this.scheduleFlush();
  }

  /** Schedules a load report to every entry after the load has changed. */
  scheduleLoadReports(): void {
    for (const view of this.links.values()) view.isLoadStale = true;
    this.startLoadTimer();
  }

  /** Schedules sending of the queued reports at the end of this turn. */
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
    this.options.startTimer(LOAD_REPORT_PERIOD_MS, this.options.postLoadDue);
  }

  /** Sends load reports on the links where the last one is out of date. */
  flushLoadReports(): void {
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

  /** Returns the state of a link; creates it if there is none. */
  getOrCreate(link: string): LinkView {
    const known = this.links.get(link);
    if (known !== undefined) return known;
    const view: LinkView = {
      entryId: '',
      entry: '',
      isOpen: false,
      lastOpenAtMs: 0,
      pending: [],
      isLoadStale: false,
    };
    this.links.set(link, view);
    return view;
  }
}
