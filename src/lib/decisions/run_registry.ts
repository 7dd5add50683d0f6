/** The runs of one target: capacity, queue, orders and ends. Performs no I/O. */
import {
  addResources,
  isWithinCapacity,
  NO_RESOURCES,
  subtractResources,
} from '../core/work_job.js';
import type {Resources} from '../core/work_job.js';
import {RunEndCause, RunEnd} from '../core/work_frames.js';
import type {RunOrder} from '../core/work_frames.js';
import {
  createHeldRun,
  endIsolation,
  formatRunKey,
  isExpired,
  isIsolating,
  isOccupying,
  isOverIfAbsent,
  recordEvent,
  RUN_CHART,
  RunAction,
  RunEvent,
  RunState,
} from './held_run.js';
import type {HeldRun} from './held_run.js';
import {createEndReport, RunCommandKind} from './run_command.js';
import type {ListedEnd, ListedRun, RunCommand} from './run_command.js';

/** Maximum number of ends that a target lists; such a list may be incomplete. */
const MAX_LISTED_ENDS = 500;

/** Tracks the runs of one target incarnation and keeps them within its capacity. */
export class RunRegistry {
  private readonly runs = new Map<string, HeldRun>();
  private used: Resources = NO_RESOURCES;
  private processedThrough = 0;

  private constructor(
    private capacity: Resources,
    private readonly emit: (command: RunCommand) => void,
  ) {}

  /** Creates an empty registry; `emit` receives each command as it arises. */
  static create(emit: (command: RunCommand) => void): RunRegistry {
    return new RunRegistry(NO_RESOURCES, emit);
  }

  /** Number of the last end that was processed. */
  get lastEndNumber(): number {
    return this.processedThrough;
  }

  /** Total capacity of the target. */
  get totalCapacity(): Resources {
    return this.capacity;
  }

  /**
   * Capacity that no run occupies; runs that are being stopped still count. None
   * while a run is isolated.
   */
  get free(): Resources {
    if (this.listRuns().some(isIsolating)) return NO_RESOURCES;
    return subtractResources(this.capacity, this.used);
  }

  /** Free capacity less the needs of queued orders; may be negative. */
  get uncommitted(): Resources {
    return this.listQueued().reduce(
      (rest, run) => subtractResources(rest, run.order.need),
      this.free,
    );
  }

  /** Lists all runs that have not ended. */
  listRuns(): HeldRun[] {
    return [...this.runs.values()];
  }

  /** Returns the number of orders that wait for capacity. */
  countQueued(): number {
    return this.listQueued().length;
  }

  /** Finds a run that has not ended. */
  findRun(task: string, run: number): HeldRun | undefined {
    return this.runs.get(formatRunKey(task, run));
  }

  /** Finds a run of the task that has not ended, regardless of its number. */
  findActive(task: string): HeldRun | undefined {
    return this.listRuns().find(run => run.order.task === task);
  }

  /** Sets the total capacity of the target. */
  setCapacity(capacity: Resources): void {
    this.capacity = capacity;
  }

  /** Queues an order; `startNext` starts the run. */
  addOrder(order: RunOrder, owner: string, nowMs: number): HeldRun {
    const run = createHeldRun(order, owner, nowMs);
    this.runs.set(formatRunKey(order.task, order.run), run);
    return run;
  }

  /**
   * Starts queued runs that fit, by latest start; none overtakes one that does
   * not fit.
   *
   * @param mayStart Returns whether the owner of a run still counts on it;
   *     without, the run ends as not started.
   */
  startNext(nowMs: number, mayStart: (run: HeldRun) => boolean): void {
    for (const run of this.listRuns()) endIsolation(run, nowMs);
    const queued = this.listQueued().sort((a, b) => a.startByMs - b.startByMs);
    for (const run of queued) {
      if (!mayStart(run)) {
        run.cause = RunEndCause.OWNER_UNREACHABLE;
        this.change(run, RunEvent.STOP, nowMs);
        continue;
      }
      if (!isWithinCapacity(run.order.need, this.free)) return;
      run.startSentAtMs = nowMs;
      run.advancedAtMs = nowMs;
      this.change(run, RunEvent.CAPACITY_FREE, nowMs);
    }
  }

  /** Ends the runs whose wait is over, and queued ones that no longer fit. */
  expire(nowMs: number): void {
    const isOverused = !isWithinCapacity(NO_RESOURCES, this.free);
    for (const run of this.listRuns()) {
      const isQueued = run.state === RunState.QUEUED;
      const canFit =
        !isOverused && isWithinCapacity(run.order.need, this.capacity);
      if (!isExpired(run, nowMs) && (canFit || !isQueued)) continue;
      if (isQueued) run.cause = RunEndCause.NO_CAPACITY;
      this.change(run, RunEvent.EXPIRED, nowMs);
    }
  }

  /** Ends all queued runs as not started. */
  returnQueued(cause: RunEndCause, nowMs: number): void {
    for (const run of this.listQueued()) {
      this.applyEvent(run, RunEvent.STOP, nowMs, cause);
    }
  }

  /** Applies an event to one run; a run that has ended ignores it. */
  applyEvent(
    run: HeldRun,
    event: RunEvent,
    nowMs: number,
    cause: RunEndCause = run.cause,
  ): void {
    if (run.state === RunState.ENDED) return;
    recordEvent(run, event, cause, nowMs);
    this.change(run, event, nowMs);
  }

  /**
   * Applies the target's lists of current and ended runs.
   *
   * @param requestedAtMs Time of the request: a run that was accepted or stopped
   *     before it and is in neither list no longer exists.
   */
  applyLists(
    running: readonly ListedRun[],
    ended: readonly ListedEnd[],
    requestedAtMs: number,
    nowMs: number,
  ): void {
    for (const row of ended) this.applyEnd(row, nowMs);
    const present = new Set<string>();
    for (const row of running) {
      present.add(formatRunKey(row.task, row.run));
      this.applyProgress(row, nowMs);
    }
    if (ended.length >= MAX_LISTED_ENDS) return;
    for (const [key, run] of this.runs) {
      if (present.has(key) || !isOverIfAbsent(run, requestedAtMs)) continue;
      this.change(run, RunEvent.ABSENT, nowMs);
    }
  }

  /**
   * Handles the end of the target's incarnation or of its lease. Ends all runs
   * but those whose order has not been answered.
   */
  loseAll(nowMs: number): void {
    for (const run of this.listRuns()) {
      run.cause = RunEndCause.TARGET_UNAVAILABLE;
      this.change(run, RunEvent.TARGET_LOST, nowMs);
    }
  }

  /** Ends the uncertain runs: no order of an earlier token can take effect any more. */
  endUncertain(nowMs: number): void {
    for (const run of this.listRuns()) {
      if (run.state !== RunState.UNCERTAIN) continue;
      this.change(run, RunEvent.FENCED, nowMs);
    }
  }

  /** Restarts the numbering of ends for a new incarnation of the target. */
  resetEnds(): void {
    this.processedThrough = 0;
  }

  private listQueued(): HeldRun[] {
    return this.listRuns().filter(run => run.state === RunState.QUEUED);
  }

  private applyEnd(row: ListedEnd, nowMs: number): void {
    if (row.number <= this.processedThrough) return;
    this.processedThrough = row.number;
    const run = this.findRun(row.task, row.run);
    if (run === undefined) return;
    this.change(run, RunEvent.END_LISTED, nowMs, row.end);
  }

  private applyProgress(row: ListedRun, nowMs: number): void {
    const run = this.findRun(row.task, row.run);
    if (run === undefined) return;
    if (run.state === RunState.STARTING || run.state === RunState.UNCERTAIN) {
      run.acceptedAtMs = nowMs;
      this.change(run, RunEvent.LISTED, nowMs);
    }
    if (row.percent > run.percent) {
      run.percent = row.percent;
      run.advancedAtMs = nowMs;
    }
  }

  private change(
    run: HeldRun,
    event: RunEvent,
    nowMs: number,
    end: RunEnd = RunEnd.LOST,
  ): void {
    const wasOccupying = isOccupying(run);
    const step = RUN_CHART.step(run.state, event);
    run.state = step.state;
    this.updateUsage(run, wasOccupying);
    if (run.state === RunState.ENDED) {
      this.runs.delete(formatRunKey(run.order.task, run.order.run));
    }
    for (const action of step.actions) {
      this.perform(action as RunAction, run, nowMs, end);
    }
  }

  private updateUsage(run: HeldRun, wasOccupying: boolean): void {
    const {need} = run.order;
    if (wasOccupying === isOccupying(run)) return;
    if (wasOccupying) this.used = subtractResources(this.used, need);
    else this.used = addResources(this.used, need);
  }

  private perform(
    action: RunAction,
    run: HeldRun,
    nowMs: number,
    end: RunEnd,
  ): void {
    switch (action) {
      case RunAction.SEND_START:
        this.emit({kind: RunCommandKind.SEND_START, run});
        break;
      case RunAction.SEND_STOP:
        this.emit({kind: RunCommandKind.SEND_STOP, run});
        break;
      case RunAction.REPORT_STARTED:
        this.emit({kind: RunCommandKind.REPORT_STARTED, run});
        break;
      case RunAction.REPORT_NOT_STARTED:
        this.report(run, RunEnd.NOT_STARTED, nowMs);
        break;
      case RunAction.REPORT_STOPPED:
        this.report(run, RunEnd.STOPPED, nowMs);
        break;
      case RunAction.REPORT_LOST:
        this.report(run, RunEnd.LOST, nowMs);
        break;
      case RunAction.REPORT_END:
        this.report(run, end, nowMs);
        break;
    }
  }

  private report(run: HeldRun, end: RunEnd, nowMs: number): void {
    const report = createEndReport(run, end, nowMs);
    this.emit({kind: RunCommandKind.REPORT_END, run, report});
  }
}
