/** The entries of an agent: greetings, orders taken, ends delivered, reports. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {HeldRun} from '../../decisions/held_run.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {AgentFrameKind} from '../../core/work_frames.js';
import type {
  AgentFrame,
  PeerBacklog,
  RunEndReport,
  TargetReport,
} from '../../core/work_frames.js';
import {EntryRegistry} from './entry_registry.js';
import type {KnownEntry} from './entry_registry.js';
import {LinkMessageKind} from './runner_messages.js';
import type {LinkMessage} from './runner_messages.js';

/**
 * Shortest time in milliseconds between two reports. Each goes to all entries;
 * ends are told at once, and an entry counts its own orders itself.
 */
const REPORT_PERIOD_MS = 10;

/** What the desk needs. */
export interface EntryReporterOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly postToLinks: Post<LinkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Describes the target; the receiver's own sequence is added. */
  readonly describeTarget: () => Omit<TargetReport, 'through'>;
}

/** Speaks with the entries for the runner, which owns it. */
export class EntryReporter {
  private readonly entries = EntryRegistry.create();
  private isReportDue = false;
  private lastReport = '';
  private reportedAtMs = 0;

  private constructor(private readonly options: EntryReporterOptions) {}

  /** Creates a desk that knows no entry. */
  static create(options: EntryReporterOptions): EntryReporter {
    return new EntryReporter(options);
  }

  /** Finds a life of an entry. */
  find(life: string): KnownEntry | undefined {
    return this.entries.find(life);
  }

  /** Lists what waits at the linked entries. */
  listBacklogs(): readonly PeerBacklog[] {
    return this.entries
      .listEntries()
      .filter(entry => entry.link !== undefined && entry.backlog > 0)
      .map(({incarnation: life, backlog}) => ({entry: life, backlog}));
  }

  /** Tells whether every linked entry has acknowledged all ends. */
  hasDeliveredEnds(): boolean {
    return this.entries
      .listEntries()
      .every(
        entry =>
          entry.link === undefined || entry.unacknowledgedEnds.size === 0,
      );
  }

  /** Takes an opened link: tells what is held for the entry and what ended. */
  openLink(
    life: string,
    link: number,
    runs: readonly HeldRun[],
    configuration: FleetConfiguration | undefined,
    nowMs: number,
  ): void {
    const entry = this.entries.openLink(life, link, nowMs);
    const {agent, incarnation: own, dataCentre} = this.options;
    this.send(entry, {
      kind: AgentFrameKind.HELLO,
      agent,
      life: own,
      dataCentre,
      held: runs
        .filter(run => run.owner === life)
        .map(({order}) => ({
          task: order.task,
          run: order.run,
          job: order.job,
        })),
      ends: [...entry.unacknowledgedEnds.values()],
      through: entry.lastOrderSequence,
    });
    if (configuration !== undefined) {
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
    this.send(entry, this.describe(entry));
  }

  /** Takes a closed link. */
  closeLink(life: string, link: number): void {
    this.entries.closeLink(life, link);
  }

  /** Keeps an end until its entry acknowledges it, and sends it. */
  deliverEnd(owner: string, report: RunEndReport): void {
    this.entries.addEnd(owner, report);
    const entry = this.entries.find(owner);
    if (entry !== undefined) {
      this.send(entry, {kind: AgentFrameKind.END, report});
    }
  }

  /** Drops an end that its entry has. */
  acknowledge(owner: string, task: string, run: number): void {
    this.entries.removeEnd(owner, task, run);
  }

  /** Tells the configuration to all entries but the one it came from. */
  publishConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): void {
    for (const entry of this.entries.listEntries()) {
      if (entry.incarnation === source) continue;
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Forgets entries that have long been without contact. */
  removeStale(nowMs: number): void {
    this.entries.removeStale(nowMs);
  }

  /** Reports the target to all entries soon, if it changed. */
  scheduleReport(): void {
    if (this.isReportDue) return;
    this.isReportDue = true;
    const sinceMs = this.options.readMonotonicMs() - this.reportedAtMs;
    if (sinceMs >= REPORT_PERIOD_MS) setImmediate(this.report);
    else this.options.startTimer(REPORT_PERIOD_MS - sinceMs, this.report);
  }

  private readonly report = (): void => {
    this.isReportDue = false;
    this.reportedAtMs = this.options.readMonotonicMs();
    const entries = this.entries.listEntries();
    const present = JSON.stringify([
      this.options.describeTarget(),
      entries.map(entry => entry.lastOrderSequence),
    ]);
    if (present === this.lastReport) return;
    this.lastReport = present;
    for (const entry of entries) this.send(entry, this.describe(entry));
  };

  private describe({lastOrderSequence: through}: KnownEntry): AgentFrame {
    const report = {through, ...this.options.describeTarget()};
    return {kind: AgentFrameKind.REPORT, report};
  }

  private send(entry: KnownEntry, frame: AgentFrame): void {
    if (entry.link === undefined) return;
    const {link} = entry;
    this.options.postToLinks({kind: LinkMessageKind.SEND, link, frame});
  }
}
