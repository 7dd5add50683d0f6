/** Reports the state of an agent's target to the entries. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import {computeReportPeriod} from '../../decisions/report_period.js';
import {AgentFrameKind, TargetPhase} from '../../core/work_frames.js';
import type {AgentFrame, TargetReport} from '../../core/work_frames.js';
import type {KnownEntry} from './entry_registry.js';

/** Dependencies of a target reporter. */
export interface TargetReporterOptions {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly listEntries: () => readonly KnownEntry[];
  /** Describes the target; `through` is added for each receiver. */
  readonly describeTarget: () => Omit<TargetReport, 'through'>;
  readonly send: (entry: KnownEntry, frame: AgentFrame) => void;
}

/** Sends each entry what has changed since its last report, at a limited rate. */
export class TargetReporter {
  private isScheduled = false;

  private constructor(private readonly options: TargetReporterOptions) {}

  /** Creates a reporter that sends nothing until it is called. */
  static create(options: TargetReporterOptions): TargetReporter {
    return new TargetReporter(options);
  }

  /** Schedules a report to all entries; skipped for those without a change. */
  schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(this.reportDue);
  }

  /** Reports to one entry at once. */
  report(entry: KnownEntry): void {
    this.sendChanges(entry, this.options.describeTarget());
  }

  private readonly reportDue = (): void => {
    this.isScheduled = false;
    const nowMs = this.options.readMonotonicMs();
    const linked = this.options
      .listEntries()
      .filter(({linkId}) => linkId !== undefined);
    const target = this.options.describeTarget();
    let nextMs = Infinity;
    for (const entry of linked) {
      const periodMs = computeReportPeriod(linked.length, entry.isReportUrgent);
      const dueMs = entry.lastReportMs + periodMs;
      if (nowMs >= dueMs) this.sendChanges(entry, target);
      else if (hasChanged(entry, target)) nextMs = Math.min(nextMs, dueMs);
    }
    if (nextMs === Infinity) return;
    this.isScheduled = true;
    this.options.startTimer(Math.max(1, nextMs - nowMs), this.reportDue);
  };

  private sendChanges(
    entry: KnownEntry,
    target: Omit<TargetReport, 'through'>,
  ): void {
    const {description, load} = split(entry, target);
    const lastTarget = JSON.stringify(description);
    const lastLoad = JSON.stringify(load);
    if (lastTarget !== entry.lastTarget) {
      const kind = AgentFrameKind.TARGET;
      this.options.send(entry, {kind, target: description});
    }
    if (lastLoad !== entry.lastLoad || lastTarget !== entry.lastTarget) {
      this.options.send(entry, {kind: AgentFrameKind.REPORT, report: load});
      entry.lastReportMs = this.options.readMonotonicMs();
    }
    entry.lastTarget = lastTarget;
    entry.lastLoad = lastLoad;
    entry.isReportUrgent = false;
  }
}

function hasChanged(
  entry: KnownEntry,
  target: Omit<TargetReport, 'through'>,
): boolean {
  const {description, load} = split(entry, target);
  return (
    JSON.stringify(load) !== entry.lastLoad ||
    JSON.stringify(description) !== entry.lastTarget
  );
}

function split(entry: KnownEntry, target: Omit<TargetReport, 'through'>) {
  const {service, life, labels, capacity} = target;
  const through = entry.lastOrderSequence;
  // An entry whose link is to be closed must place nothing more here.
  const isReleased =
    entry.releasedAtMs > 0 && target.phase === TargetPhase.READY;
  const phase = isReleased ? TargetPhase.DRAINING : target.phase;
  const {free, waiting, slowness, isSuspect} = target;
  return {
    description: {phase, service, life, labels, capacity},
    load: {through, free, waiting, slowness, isSuspect},
  };
}
