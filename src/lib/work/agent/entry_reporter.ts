/** Sends hello, run ends, target reports and configuration to the entries. */
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
 * Minimum time in milliseconds between two target reports, as each goes to all
 * entries. Nothing urgent waits for one: run ends are sent at once, and an
 * entry accounts for its own orders itself.
 */
const REPORT_PERIOD_MS = 10;

/** Dependencies of the reporter. */
export interface EntryReporterOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly postToLinks: Post<LinkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Describes the target; `through` is added for each receiver. */
  readonly describeTarget: () => Omit<TargetReport, 'through'>;
}

/** Sends frames to the entries on behalf of the work runner, which owns it. */
export class EntryReporter {
  private readonly entries = EntryRegistry.create();
  private isReportScheduled = false;
  private lastReport = '';
  private lastReportMs = 0;

  private constructor(private readonly options: EntryReporterOptions) {}

  /** Creates a reporter that knows no entry. */
  static create(options: EntryReporterOptions): EntryReporter {
    return new EntryReporter(options);
  }

  /** Finds an entry by its incarnation. */
  find(incarnation: string): KnownEntry | undefined {
    return this.entries.find(incarnation);
  }

  /** Lists the backlogs of the linked entries that have one. */
  listBacklogs(): readonly PeerBacklog[] {
    return this.entries
      .listEntries()
      .filter(entry => entry.linkId !== undefined && entry.backlog > 0)
      .map(({incarnation, backlog}) => ({entry: incarnation, backlog}));
  }

  /** Returns whether every linked entry has acknowledged all run ends. */
  hasDeliveredEnds(): boolean {
    return this.entries
      .listEntries()
      .every(
        entry =>
          entry.linkId === undefined || entry.unacknowledgedEnds.size === 0,
      );
  }

  /**
   * Records an opened link, and sends the entry its runs, the run ends that it
   * has not acknowledged, a ping, the configuration and a target report.
   */
  openLink(
    incarnation: string,
    linkId: number,
    runs: readonly HeldRun[],
    configuration: FleetConfiguration | undefined,
    openedAtMs: number,
  ): void {
    const entry = this.entries.openLink(incarnation, linkId, openedAtMs);
    const {agent, incarnation: agentIncarnation, dataCentre} = this.options;
    this.send(entry, {
      kind: AgentFrameKind.HELLO,
      agent,
      life: agentIncarnation,
      dataCentre,
      held: runs
        .filter(run => run.owner === incarnation)
        .map(({order}) => ({
          task: order.task,
          run: order.run,
          job: order.job,
        })),
      ends: [...entry.unacknowledgedEnds.values()],
      through: entry.lastOrderSequence,
    });
    const sentAtMs = this.options.readMonotonicMs();
    this.send(entry, {kind: AgentFrameKind.PING, sentAtMs, backlogs: []});
    if (configuration !== undefined) {
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
    this.send(entry, this.describe(entry));
  }

  /** Records a closed link. */
  closeLink(incarnation: string, linkId: number): void {
    this.entries.closeLink(incarnation, linkId);
  }

  /** Sends a run end, and stores it until its entry acknowledges it. */
  deliverEnd(owner: string, report: RunEndReport): void {
    this.entries.addEnd(owner, report);
    const entry = this.entries.find(owner);
    if (entry !== undefined) {
      this.send(entry, {kind: AgentFrameKind.END, report});
    }
  }

  /** Removes a run end that its entry has acknowledged. */
  acknowledge(owner: string, task: string, run: number): void {
    this.entries.removeEnd(owner, task, run);
  }

  /** Sends the configuration to all entries except the one it came from. */
  publishConfiguration(
    configuration: FleetConfiguration,
    source: string,
  ): void {
    for (const entry of this.entries.listEntries()) {
      if (entry.incarnation === source) continue;
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Removes entries that have been without contact for too long. */
  removeStale(nowMs: number): void {
    this.entries.removeStale(nowMs);
  }

  /** Schedules a target report to all entries; skipped if nothing changed. */
  scheduleReport(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    const sinceMs = this.options.readMonotonicMs() - this.lastReportMs;
    if (sinceMs >= REPORT_PERIOD_MS) setImmediate(this.report);
    else this.options.startTimer(REPORT_PERIOD_MS - sinceMs, this.report);
  }

  private readonly report = (): void => {
    this.isReportScheduled = false;
    this.lastReportMs = this.options.readMonotonicMs();
    const entries = this.entries.listEntries();
    const current = JSON.stringify([
      this.options.describeTarget(),
      entries.map(entry => entry.lastOrderSequence),
    ]);
    if (current === this.lastReport) return;
    this.lastReport = current;
    for (const entry of entries) this.send(entry, this.describe(entry));
  };

  private describe({lastOrderSequence: through}: KnownEntry): AgentFrame {
    const report = {through, ...this.options.describeTarget()};
    return {kind: AgentFrameKind.REPORT, report};
  }

  private send(entry: KnownEntry, frame: AgentFrame): void {
    if (entry.linkId === undefined) return;
    const {linkId} = entry;
    this.options.postToLinks({kind: LinkMessageKind.SEND, linkId, frame});
  }
}
