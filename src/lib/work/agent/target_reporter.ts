/** Reports the state of an agent's target to the entries. */
import {AgentFrameKind, TargetPhase} from '../../core/work_frames.js';
import type {
  AgentFrame,
  TargetDescription,
  TargetReport,
} from '../../core/work_frames.js';
import type {KnownEntry} from './entry_registry.js';
import type {ComputeOutlook} from './target_status.js';

/** Dependencies of a target reporter. */
export interface TargetReporterOptions {
  readonly listEntries: () => readonly KnownEntry[];
  /** Describes the target; `through` is added for each receiver. */
  readonly describeTarget: () => Omit<TargetReport, 'through'>;
  /** Tells when capacity comes free; undefined unless the agent plans ahead. */
  readonly computeOutlook?: ComputeOutlook;
  readonly send: (entry: KnownEntry, frame: AgentFrame) => void;
}

/**
 * Sends each entry what has changed since its last report: a change of the
 * description at once, the load with the end of a run of that entry and once
 * a period. An entry accounts for its own orders itself, so nothing waits for more.
 *
 * The target is described once per turn of the event loop, whatever the number
 * of entries; numbers tell which of them have the latest description and load.
 */
export class TargetReporter {
  private isTurnDue = false;
  private target: Omit<TargetReport, 'through'>;
  private description = '';
  private load = '';
  private descriptionNumber = 0;
  private loadNumber = 0;

  private constructor(private readonly options: TargetReporterOptions) {
    this.target = options.describeTarget();
  }

  /** Creates a reporter that sends nothing until it is called. */
  static create(options: TargetReporterOptions): TargetReporter {
    return new TargetReporter(options);
  }

  /** Schedules the reports of this turn of the event loop. */
  schedule(): void {
    if (this.isTurnDue) return;
    this.isTurnDue = true;
    setImmediate(this.reportDue);
  }

  /** Reports to one entry at once. */
  report(entry: KnownEntry): void {
    this.describe();
    this.sendChanges(entry);
  }

  /** Reports to one entry if anything has changed since its last report. */
  reportChange(entry: KnownEntry): void {
    if (this.hasChanged(entry)) this.sendChanges(entry);
  }

  private readonly reportDue = (): void => {
    this.isTurnDue = false;
    this.describe();
    for (const entry of this.options.listEntries()) {
      if (entry.linkId === undefined || !this.hasChanged(entry)) continue;
      const isDue = entry.isReportUrgent || this.hasNewDescription(entry);
      if (isDue) this.sendChanges(entry);
    }
  };

  /** Describes the target anew and numbers what has changed. */
  private describe(): void {
    this.target = this.options.describeTarget();
    const {phase, service, life, labels, capacity, kinds} = this.target;
    const {free, waiting, slowness, isSuspect} = this.target;
    const description = JSON.stringify([
      phase,
      service,
      life,
      labels,
      capacity,
      kinds,
    ]);
    const load = JSON.stringify([free, waiting, slowness, isSuspect]);
    if (description !== this.description) this.descriptionNumber += 1;
    if (load !== this.load) this.loadNumber += 1;
    this.description = description;
    this.load = load;
  }

  private hasChanged(entry: KnownEntry): boolean {
    const {reported} = entry;
    return (
      reported.loadNumber !== this.loadNumber ||
      reported.through !== entry.lastOrderSequence ||
      this.hasNewDescription(entry)
    );
  }

  private hasNewDescription({reported, releasedAtMs}: KnownEntry): boolean {
    return (
      reported.descriptionNumber !== this.descriptionNumber ||
      reported.isReleased !== releasedAtMs > 0
    );
  }

  private sendChanges(entry: KnownEntry): void {
    if (this.hasNewDescription(entry)) {
      const target = this.describeTo(entry);
      this.options.send(entry, {kind: AgentFrameKind.TARGET, target});
    }
    const {free, waiting, slowness, isSuspect} = this.target;
    const through = entry.lastOrderSequence;
    const load = {through, free, waiting, slowness, isSuspect};
    // Changes with each millisecond, so it is computed only for what is sent anyway.
    const outlook = this.options.computeOutlook?.();
    const report = outlook === undefined ? load : {...load, outlook};
    this.options.send(entry, {kind: AgentFrameKind.REPORT, report});
    entry.isReportUrgent = false;
    const {descriptionNumber, loadNumber} = this;
    const isReleased = entry.releasedAtMs > 0;
    entry.reported = {descriptionNumber, loadNumber, through, isReleased};
  }

  private describeTo({releasedAtMs}: KnownEntry): TargetDescription {
    const {service, life, labels, capacity, token, kinds} = this.target;
    // An entry whose link is to be closed must place nothing more here.
    const isReleased =
      releasedAtMs > 0 && this.target.phase === TargetPhase.READY;
    const phase = isReleased ? TargetPhase.DRAINING : this.target.phase;
    return {phase, service, life, labels, capacity, token, kinds};
  }
}
