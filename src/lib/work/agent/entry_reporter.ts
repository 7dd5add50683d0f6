/** Sends hello, run ends, target reports and configuration to the entries. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {ObservedCrash} from '../../decisions/crash_evidence.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {AgentFrameKind} from '../../core/work_frames.js';
import type {
  AgentFrame,
  RunEndReport,
  TargetReport,
} from '../../core/work_frames.js';
import {CrashLog} from './crash_log.js';
import {ConfigurationRelay} from './configuration_relay.js';
import {EntryRegistry} from './entry_registry.js';
import type {KnownEntry} from './entry_registry.js';
import {LinkMessageKind} from './runner_messages.js';
import type {LinkMessage} from './runner_messages.js';
import {TargetReporter} from './target_reporter.js';
import type {ComputeOutlook} from './target_status.js';

/**
 * Time in milliseconds between the report that an entry gets no more capacity
 * and the end of its link: orders in flight still arrive.
 */
const RELEASE_NOTICE_MS = 500;

/** Dependencies of the reporter. */
export interface EntryReporterOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly postToLinks: Post<LinkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Describes the target; `through` is added for each receiver. */
  readonly describeTarget: () => Omit<TargetReport, 'through'>;
  /** Tells when capacity comes free; undefined unless the agent plans ahead. */
  readonly computeOutlook?: ComputeOutlook;
}

/** Sends frames to the entries on behalf of the work runner, which owns it. */
export class EntryReporter {
  private readonly entries = EntryRegistry.create();
  private readonly crashes = CrashLog.create();
  /** Number of the latest hello to any entry. */
  private lastHello = 0;
  /** Carries configurations between entries. */
  readonly configurations: ConfigurationRelay;
  private readonly reporter: TargetReporter;

  private constructor(private readonly options: EntryReporterOptions) {
    const common = {
      listEntries: () => this.entries.listEntries(),
      send: (entry: KnownEntry, frame: AgentFrame) => this.send(entry, frame),
    };
    this.configurations = ConfigurationRelay.create(common);
    this.reporter = TargetReporter.create({...options, ...common});
  }

  /** Creates a reporter that knows no entry. */
  static create(options: EntryReporterOptions): EntryReporter {
    return new EntryReporter(options);
  }

  /** Finds an entry by its incarnation. */
  find(incarnation: string): KnownEntry | undefined {
    return this.entries.find(incarnation);
  }

  /** Reports the load to an entry if it has changed since its last report. */
  reportLoad(incarnation: string): void {
    const entry = this.entries.find(incarnation);
    if (entry !== undefined) this.reporter.reportChange(entry);
  }

  /** Creates a ping to an entry. */
  createPing(incarnation: string, sentAtMs: number): AgentFrame {
    let peerBacklog = 0;
    let links = 0;
    for (const entry of this.entries.listEntries()) {
      if (entry.linkId === undefined) continue;
      links += 1;
      if (entry.incarnation !== incarnation) peerBacklog += entry.backlog;
    }
    const {revision} = this.configurations.summary;
    return {kind: AgentFrameKind.PING, sentAtMs, peerBacklog, revision, links};
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
   * has not acknowledged, a ping and a target report.
   */
  openLink(
    incarnation: string,
    linkId: number,
    runs: readonly HeldRun[],
    openedAtMs: number,
  ): void {
    const entry = this.entries.openLink(incarnation, linkId, openedAtMs);
    const {agent, incarnation: agentIncarnation, dataCentre} = this.options;
    this.lastHello += 1;
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
      number: this.lastHello,
      crashes: this.crashes.list(this.options.readMonotonicMs()),
    });
    const sentAtMs = this.options.readMonotonicMs();
    this.send(entry, this.createPing(incarnation, sentAtMs));
    this.reporter.report(entry);
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
      entry.isReportUrgent = true;
    }
  }

  /** Tells the linked entries what ran on a target that crashed. */
  publishCrash(observed: ObservedCrash, nowMs: number): void {
    const crash = this.crashes.record(observed, nowMs);
    if (crash === undefined) return;
    for (const entry of this.entries.listEntries()) {
      this.send(entry, {kind: AgentFrameKind.CRASH, crash});
    }
  }

  /** Removes a run end that its entry has acknowledged. */
  acknowledge(owner: string, task: string, run: number): void {
    this.entries.removeEnd(owner, task, run);
  }

  /** Marks whether the link to an entry is wanted or to be closed once idle. */
  markWanted(incarnation: string, isWanted: boolean, nowMs: number): void {
    const entry = this.entries.find(incarnation);
    if (entry !== undefined) entry.releasedAtMs = isWanted ? 0 : nowMs;
  }

  /** Closes the links to be closed that no run and no run end needs. */
  closeReleased(runs: readonly HeldRun[], nowMs: number): void {
    for (const entry of this.entries.listEntries()) {
      const {releasedAtMs, linkId, incarnation, unacknowledgedEnds} = entry;
      if (releasedAtMs === 0 || linkId === undefined) continue;
      const isNeeded =
        nowMs - releasedAtMs < RELEASE_NOTICE_MS ||
        unacknowledgedEnds.size > 0 ||
        runs.some(({owner}) => owner === incarnation);
      if (isNeeded) continue;
      this.options.postToLinks({kind: LinkMessageKind.CLOSE, linkId});
    }
  }

  /** Removes entries that have been without contact for too long. */
  removeStale(nowMs: number): void {
    this.entries.removeStale(nowMs);
  }

  /** Schedules the target reports of this turn of the event loop. */
  scheduleReport(): void {
    this.reporter.schedule();
  }

  private send(entry: KnownEntry, frame: AgentFrame): void {
    if (entry.linkId === undefined) return;
    const {linkId} = entry;
    this.options.postToLinks({kind: LinkMessageKind.SEND, linkId, frame});
  }
}
