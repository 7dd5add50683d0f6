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
  RunEvent,
  RunState,
  setState,
} from './held_run.js';
import type {HeldRun, RunAction} from './held_run.js';
import type {PlanStarts} from './look_ahead.js';
import {createCommand} from './run_command.js';
import type {ListedEnd, ListedRun, RunCommand} from './run_command.js';

/** Maximum number of ends that a target lists; such a list may be incomplete. */
const MAX_LISTED_ENDS = 500;

/** Returns whether the owner of a run still counts on it. */
type MayStart = (run: HeldRun) => boolean;

/** Tracks the runs of one target incarnation and keeps them within its capacity. */
export class RunRegistry {
  private readonly runs = new Map<string, HeldRun>();
  private used: Resources = NO_RESOURCES;
  private processedThrough = 0;

  private constructor(
    private capacity: Resources,
    private readonly emit: (command: RunCommand) => void,
    private readonly planStarts: PlanStarts | undefined,
  ) {}

  /**
   * Creates an empty registry.
   *
   * @param emit Receives each command as it arises.
   * @param planStarts Plans which queued runs start; without, no run overtakes.
   */
  static create(
    emit: (command: RunCommand) => void,
    planStarts?: PlanStarts,
  ): RunRegistry {
    return new RunRegistry(NO_RESOURCES, emit, planStarts);
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
    return this.unoccupied;
  }

  /** Capacity that no run occupies, also while a run is isolated. */
  get unoccupied(): Resources {
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
   * Starts queued runs that fit, by latest start. None overtakes one that does not
   * fit, unless a plan of starts allows it.
   *
   * @param mayStart Returns whether the owner of a run still counts on it;
   *     without, the run ends as not started.
   */
  startNext(nowMs: number, mayStart: MayStart): void {
    for (const run of this.listRuns()) endIsolation(run, nowMs);
    const queued = this.listQueued().sort((a, b) => a.startByMs - b.startByMs);
    if (this.planStarts === undefined) {
      for (const run of queued) {
        if (!this.checkOwner(run, nowMs, mayStart)) continue;
        if (!this.startFitting(run, nowMs)) return;
      }
      return;
    }
    const queue = queued.filter(run => this.checkOwner(run, nowMs, mayStart));
    const target = {runs: this.listRuns(), free: this.free, nowMs};
    const {starts, first} = this.planStarts(queue, target);
    for (const run of starts) this.startFitting(run, nowMs);
    if (first !== undefined) first.blockedSinceMs ??= nowMs;
  }

  /** Ends the runs whose wait is over, and queued ones that no longer fit. */
  expire(nowMs: number): void {
    const isOverused = !isWithinCapacity(NO_RESOURCES, this.free);
    for (const run of this.listRuns()) {
      const isQueued = run.state === RunState.QUEUED;
      const canFit =
        !isOverused && isWithinCapacity(run.order.need, this.capacity);
      if (!isExpired(run, nowMs) && (canFit || !isQueued)) {
        run.isReservation ||= isQueued;
        continue;
      }
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

  /** Ends a queued run whose owner does not count on it; returns whether it does. */
  private checkOwner(run: HeldRun, nowMs: number, mayStart: MayStart): boolean {
    if (mayStart(run)) return true;
    run.cause = RunEndCause.OWNER_UNREACHABLE;
    this.change(run, RunEvent.STOP, nowMs);
    return false;
  }

  /** Starts a queued run if it fits; returns whether it did. */
  private startFitting(run: HeldRun, nowMs: number): boolean {
    if (!isWithinCapacity(run.order.need, this.free)) return false;
    run.startSentAtMs = nowMs;
    run.advancedAtMs = nowMs;
    this.change(run, RunEvent.CAPACITY_FREE, nowMs);
    return true;
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
    setState(run, step.state, nowMs);
    this.updateUsage(run, wasOccupying);
    if (run.state === RunState.ENDED) {
      this.runs.delete(formatRunKey(run.order.task, run.order.run));
    }
    for (const action of step.actions) {
      this.emit(createCommand(action as RunAction, run, nowMs, end));
    }
  }

  private updateUsage(run: HeldRun, wasOccupying: boolean): void {
    const {need} = run.order;
    if (wasOccupying === isOccupying(run)) return;
    if (wasOccupying) this.used = subtractResources(this.used, need);
    else this.used = addResources(this.used, need);
  }
}
