/** Places waiting tasks on targets with free capacity. */
import {computePatience, estimateWait} from '../../decisions/place_ahead.js';
import {choosePlacement} from '../../decisions/place_by_feasibility.js';
import {chooseLeastUsed} from '../../decisions/place_suspect.js';
import type {
  ChooseTarget,
  PlacementTarget,
} from '../../decisions/place_task.js';
import {
  judgeFeasibility,
  rankByFeasibility,
} from '../../decisions/rank_work.js';
import type {Feasibility} from '../../decisions/rank_work.js';
import type {RunEndReport} from '../../core/work_frames.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {isWithinCapacity} from '../../core/work_job.js';
import {hasAttempts} from './active_job.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {DeadlyTasks} from './deadly_tasks.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {ReservationCounts} from './reservation_counts.js';
import {JobState, TaskState} from './work_charts.js';

/** Settings, dependencies and callbacks of a task placer. */
export interface TaskPlacerOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
  readonly deadly: DeadlyTasks;
  /** Factor by which the run time is longer away from the preferred rack. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  /** Chooses a full target by its outlook; absent unless the entry plans ahead. */
  readonly chooseAhead?: ChooseTarget;
  /** Lists the sessions of agents that may get tasks of a service now. */
  readonly listSessions: (service: string) => readonly AgentSession[];
}

/** Maximum wait in milliseconds of an order to a full target without an outlook. */
const MAX_AGENT_WAIT_MS = 150;

/**
 * Wait in milliseconds of an order to a target that seems to have capacity. If
 * another entry has used it meanwhile, the task is placed on another target
 * within a round trip.
 */
const NO_AGENT_WAIT_MS = 0;

/**
 * Jobs of a service that may fail to be placed before the rest is left for the
 * next round. The first few may wait for a fast target or for much capacity,
 * which later ones need not; on a full fleet, trying more only costs time.
 */
const MAX_MISSES_PER_ROUND = 6;

/** The targets of one service during one round of placement. */
interface TargetPool {
  readonly sessions: readonly AgentSession[];
  readonly targets: PlacementTarget[];
  /** Jobs that could not be placed completely in this round. */
  misses: number;
}

interface RankedJob {
  readonly job: ActiveJob;
  readonly feasibility: Feasibility;
  /** Latest start in milliseconds, plus an offset if the job is not in time. */
  readonly rank: number;
}

interface OrderTiming {
  /** Latest start of the job in milliseconds, plus an offset if it is not in time. */
  readonly rank: number;
  /** Expected wait in milliseconds at a full target; undefined without a reservation. */
  readonly waitMs: number | undefined;
}

/** Places the waiting tasks of all jobs. Owned by the scheduler. */
export class TaskPlacer {
  /** Orders to full targets by their outlook, and how they ended. */
  readonly reservations = ReservationCounts.create();

  private constructor(private readonly options: TaskPlacerOptions) {}

  /** Creates a placer; it acts only when `place` is called. */
  static create(options: TaskPlacerOptions): TaskPlacer {
    return new TaskPlacer(options);
  }

  /** Places the tasks that fit on a target, the most urgent job first. */
  place(nowMs: number): void {
    const {jobs, fleet} = this.options;
    if (jobs.waiting.size === 0) return;
    const {fast} = fleet.speeds;
    const ranked = [...jobs.waiting]
      .map(job => {
        const feasibility = judgeFeasibility(job, nowMs, fast);
        return {job, feasibility, rank: rankByFeasibility(job, feasibility)};
      })
      .sort((a, b) => a.rank - b.rank);
    const pools = new Map<string, TargetPool>();
    for (const rankedJob of ranked) {
      const {service} = rankedJob.job.rule;
      const pool = pools.get(service) ?? this.createPool(service, nowMs);
      pools.set(service, pool);
      if (pool.misses >= MAX_MISSES_PER_ROUND) continue;
      if (!this.placeJob(rankedJob, pool, nowMs)) pool.misses += 1;
    }
  }

  /** Records how a reservation ended; other runs are not counted. */
  recordEnd(session: AgentSession, {task, run, end}: RunEndReport): void {
    const ended = session.tasks.get(task);
    if (ended === undefined || ended.run !== run || !ended.isReserved) return;
    this.reservations.recordEnd(end);
  }

  /** Whether the placer reserves capacity of full targets. */
  get isPlanningAhead(): boolean {
    return this.options.chooseAhead !== undefined;
  }

  private createPool(service: string, nowMs: number): TargetPool {
    const sessions = this.options.listSessions(service);
    return {
      sessions,
      targets: this.options.fleet.describeTargets(sessions, nowMs),
      misses: 0,
    };
  }

  /**
   * Places the waiting tasks of a job; returns whether no task waits for capacity.
   * Suspect tasks wait for a trial, those of a confined queue for its targets.
   */
  private placeJob(
    rankedJob: RankedJob,
    pool: TargetPool,
    nowMs: number,
  ): boolean {
    const {job, rank} = rankedJob;
    const confinedTo = this.options.deadly.listConfined(job.rule, nowMs);
    let isHeldBack = false;
    for (const task of job.tasks) {
      if (task.state !== TaskState.WAITING) continue;
      if (task.excluded.size >= pool.sessions.length) task.excluded.clear();
      const targets = listAllowed(pool, confinedTo);
      const target = this.chooseTarget(task, rankedJob, targets, nowMs);
      const index = pool.targets.findIndex(
        ({agent}) => agent === target?.agent,
      );
      if (index < 0) {
        const isSuspect = this.options.deadly.describe(task) !== undefined;
        if (!isSuspect && confinedTo === undefined) return false;
        isHeldBack = true;
        continue;
      }
      const session = pool.sessions[index];
      const waitMs = this.estimateReservation(task, pool.targets[index]);
      this.sendOrder(task, session, {rank, waitMs}, nowMs);
      const {typical} = this.options.fleet.speeds;
      pool.targets[index] = session.describeTarget(typical, nowMs);
    }
    if (!isHeldBack) this.options.jobs.markAllPlaced(job);
    return true;
  }

  /**
   * Returns the expected wait in milliseconds of an order that reserves capacity of a
   * full target; undefined for every other order. A suspect task reserves nothing.
   */
  private estimateReservation(
    task: ActiveTask,
    target: PlacementTarget,
  ): number | undefined {
    const {chooseAhead, deadly} = this.options;
    const {need} = task.spec;
    const isOther =
      chooseAhead === undefined ||
      isWithinCapacity(need, target.free) ||
      deadly.describe(task) !== undefined;
    return isOther ? undefined : estimateWait(need, target);
  }

  private chooseTarget(
    task: ActiveTask,
    {job, feasibility}: RankedJob,
    targets: readonly PlacementTarget[],
    nowMs: number,
  ): PlacementTarget | undefined {
    const {timing} = job;
    const {farFactor, chooseTarget, chooseAhead, deadly} = this.options;
    const need = {
      spec: task.spec,
      timeLeftMs: timing.sentAtMs + timing.objectiveMs - nowMs,
      excludedTargets: task.excluded,
      countOn: (agent: string) => countTasksOn(task, agent),
      farFactor,
    };
    if (deadly.describe(task) !== undefined) {
      return deadly.isTrying ? undefined : chooseLeastUsed(need, targets);
    }
    return choosePlacement(
      {
        need,
        feasibility,
        usefulMs: timing.worthlessAtMs - nowMs,
        isJobStarted: job.state !== JobState.WAITING,
        canProbe: hasAttempts(task, 1),
      },
      targets,
      chooseTarget,
      chooseAhead,
    );
  }

  private sendOrder(
    task: ActiveTask,
    session: AgentSession,
    {rank, waitMs}: OrderTiming,
    nowMs: number,
  ): void {
    const {job, spec} = task;
    const {request, rule} = job;
    const isFull = !isWithinCapacity(spec.need, session.free);
    const fullMs =
      waitMs === undefined ? MAX_AGENT_WAIT_MS : computePatience(waitMs);
    task.isReserved = waitMs !== undefined;
    if (task.isReserved) this.reservations.recordOrder();
    this.options.jobs.recordPlacement(task, nowMs);
    const suspicion = this.options.deadly.describe(task);
    if (suspicion !== undefined) this.options.deadly.recordTrial(task);
    session.sendOrder(task, {
      task: task.name,
      run: task.run,
      job: request.job,
      request: request.request,
      service: rule.service,
      payload: request.payload,
      need: spec.need,
      estimateMs: spec.estimateMs,
      slackMs: Math.round(rank - nowMs),
      patienceMs: isFull ? fullMs : NO_AGENT_WAIT_MS,
      ...(suspicion !== undefined && {suspicion}),
    });
    this.options.jobs.logJob(job, FleetEvent.TASK_PLACED, 'Task placed.', {
      task: task.name,
      run: task.run,
      agent: session.hello.agent,
      ...(waitMs !== undefined && {waitMs: Math.round(waitMs)}),
    });
  }
}

/** Lists the targets of the pool on which the tasks of a job may be placed. */
function listAllowed(
  {sessions, targets}: TargetPool,
  confinedTo: readonly string[] | undefined,
): readonly PlacementTarget[] {
  if (confinedTo === undefined) return targets;
  return targets.filter((_, index) =>
    confinedTo.includes(sessions[index].hello.agent),
  );
}

function countTasksOn(task: ActiveTask, agent: string): number {
  const isOnAgent = (other: ActiveTask) =>
    other.step === task.step &&
    other.agent === agent &&
    (other.state === TaskState.PLACED || other.state === TaskState.UNCERTAIN);
  return task.job.tasks.filter(isOnAgent).length;
}
