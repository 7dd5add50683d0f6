/** Gives tasks that wait to agents with room. */
import {choosePlacement} from '../../decisions/place_by_feasibility.js';
import type {
  ChooseTarget,
  PlacementTarget,
} from '../../decisions/place_task.js';
import {
  judgeFeasibility,
  rankByFeasibility,
} from '../../decisions/rank_work.js';
import type {Feasibility} from '../../decisions/rank_work.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {JobState, TaskState} from './work_charts.js';

/** What the placer needs. */
export interface TaskPlacerOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
  /** Run time away from the preferred rack, as a multiple. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  /** Lists the agents that may get tasks of a service now. */
  readonly listSessions: (service: string) => readonly AgentSession[];
}

/** Time in milliseconds that an order may wait at an agent that has no room. */
const MAX_AGENT_WAIT_MS = 150;

/**
 * Jobs of a service that may find no place before the rest is left for the next
 * turn. The first few may wait for a fast target or for much room, which later
 * ones need not; looking further on a full fleet would only cost time.
 */
const MAX_MISSES_PER_TURN = 6;

/** The targets of one service during one turn of placement. */
interface TargetPool {
  readonly sessions: readonly AgentSession[];
  readonly targets: PlacementTarget[];
  misses: number;
}

interface RankedJob {
  readonly job: ActiveJob;
  readonly prospect: Feasibility;
  readonly rank: number;
}

/** Places tasks for the scheduler, which owns it. */
export class TaskPlacer {
  private constructor(private readonly options: TaskPlacerOptions) {}

  /** Creates a placer. */
  static create(options: TaskPlacerOptions): TaskPlacer {
    return new TaskPlacer(options);
  }

  /** Places what has room, the most pressing job first. */
  place(nowMs: number): void {
    const {jobs: ledger, fleet} = this.options;
    if (ledger.waiting.size === 0) return;
    const {fast} = fleet.speeds;
    const ranked = [...ledger.waiting]
      .map(job => {
        const prospect = judgeFeasibility(job, nowMs, fast);
        return {job, prospect, rank: rankByFeasibility(job, prospect)};
      })
      .sort((a, b) => a.rank - b.rank);
    const pools = new Map<string, TargetPool>();
    for (const work of ranked) {
      const {service} = work.job.rule;
      const pool = pools.get(service) ?? this.createPool(service);
      pools.set(service, pool);
      if (pool.misses >= MAX_MISSES_PER_TURN) continue;
      if (!this.placeJob(work, pool, nowMs)) pool.misses += 1;
    }
  }

  private createPool(service: string): TargetPool {
    const views = this.options.listSessions(service);
    return {
      sessions: views,
      targets: this.options.fleet.describeTargets(views),
      misses: 0,
    };
  }

  /** Places what can be placed; tells whether nothing was left for want of room. */
  private placeJob(work: RankedJob, pool: TargetPool, nowMs: number): boolean {
    const {job, rank} = work;
    for (const task of job.tasks) {
      if (task.state !== TaskState.WAITING) continue;
      if (task.avoided.size >= pool.sessions.length) task.avoided.clear();
      const target = this.chooseTarget(task, work, pool, nowMs);
      const at = pool.targets.findIndex(({agent}) => agent === target?.agent);
      if (at < 0) return false;
      this.sendOrder(task, pool.sessions[at], rank, nowMs);
      const {typical} = this.options.fleet.speeds;
      pool.targets[at] = pool.sessions[at].describeTarget(typical);
    }
    this.options.jobs.markAllPlaced(job);
    return true;
  }

  private chooseTarget(
    task: ActiveTask,
    {job, prospect}: RankedJob,
    pool: TargetPool,
    nowMs: number,
  ): PlacementTarget | undefined {
    const {timing, rule} = job;
    const {farFactor, chooseTarget} = this.options;
    return choosePlacement(
      {
        need: {
          spec: task.spec,
          timeLeftMs: timing.sentAtMs + timing.objectiveMs - nowMs,
          excludedTargets: task.avoided,
          countOn: agent => countTasksOn(task, agent),
          farFactor,
        },
        feasibility: prospect,
        usefulMs: timing.worthlessAtMs - nowMs,
        isJobStarted: job.state !== JobState.WAITING,
        canProbe: task.failures + 1 < rule.attemptsAtMost,
      },
      pool.targets,
      chooseTarget,
    );
  }

  private sendOrder(
    task: ActiveTask,
    view: AgentSession,
    rank: number,
    nowMs: number,
  ): void {
    const {job, spec} = task;
    const {request, rule} = job;
    this.options.jobs.recordPlacement(task, nowMs);
    view.sendOrder(task, {
      task: task.name,
      run: task.run,
      job: request.job,
      request: request.request,
      service: rule.service,
      payload: request.payload,
      need: spec.need,
      estimateMs: spec.estimateMs,
      slackMs: Math.round(rank - nowMs),
      patienceMs: MAX_AGENT_WAIT_MS,
    });
    this.options.jobs.logJob(job, FleetEvent.TASK_PLACED, 'Placed.', {
      task: task.name,
      run: task.run,
      agent: view.greeting.agent,
    });
  }
}

function countTasksOn(task: ActiveTask, agent: string): number {
  const isThere = (other: ActiveTask) =>
    other.step === task.step &&
    other.agentIncarnation === agent &&
    (other.state === TaskState.PLACED || other.state === TaskState.UNCERTAIN);
  return task.job.tasks.filter(isThere).length;
}
