/** Gives tasks that wait to agents with room. */
import {chooseProbe, chooseQueue} from '../../decisions/place_task.js';
import type {ChooseTarget, PlacementNeed} from '../../decisions/place_task.js';
import {rankJob} from '../../decisions/rank_work.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AdmissionDesk} from './admission_desk.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentView} from './agent_view.js';
import type {JobLedger} from './job_ledger.js';
import {TaskState} from './work_charts.js';

/** What the placer needs. */
export interface TaskPlacerOptions {
  readonly fleet: AgentFleet;
  readonly ledger: JobLedger;
  readonly admission: AdmissionDesk;
  /** Run time away from the preferred rack, as a multiple. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  /** Lists the agents that may get tasks of a service now. */
  readonly listViews: (service: string) => readonly AgentView[];
}

/** Time in milliseconds that an order may wait at an agent that has no room. */
const PATIENCE_MS = 150;

/** Places tasks for the scheduler, which owns it. */
export class TaskPlacer {
  private constructor(private readonly options: TaskPlacerOptions) {}

  /** Creates a placer. */
  static create(options: TaskPlacerOptions): TaskPlacer {
    return new TaskPlacer(options);
  }

  /** Places what has room, the most pressing job first. */
  place(nowMs: number): void {
    const {ledger, fleet} = this.options;
    if (ledger.waiting.size === 0) return;
    const slowness = fleet.computeSlowness();
    const ranked = [...ledger.waiting]
      .map(job => ({job, rank: rankJob(job, nowMs, slowness)}))
      .sort((a, b) => a.rank - b.rank);
    const full = new Set<string>();
    for (const {job, rank} of ranked) {
      const {service} = job.rule;
      if (full.has(service)) continue;
      if (!this.placeJob(job, rank, nowMs)) full.add(service);
    }
  }

  /** Places what can be placed; tells whether nothing was left for want of room. */
  private placeJob(job: ActiveJob, rank: number, nowMs: number): boolean {
    const views = this.options.listViews(job.rule.service);
    for (const task of job.tasks) {
      if (task.state !== TaskState.WAITING) continue;
      if (task.avoided.size >= views.length) task.avoided.clear();
      const view = this.chooseView(task, views, nowMs);
      if (view === undefined) return false;
      this.order(task, view, rank, nowMs);
    }
    this.options.ledger.settle(job);
    return true;
  }

  private chooseView(
    task: ActiveTask,
    views: readonly AgentView[],
    nowMs: number,
  ): AgentView | undefined {
    const {timing, rule} = task.job;
    const need: PlacementNeed = {
      spec: task.spec,
      timeLeftMs: timing.receivedAtMs + timing.objectiveMs - nowMs,
      avoided: task.avoided,
      countOn: agent => countTasksOn(task, agent),
      farFactor: this.options.farFactor,
    };
    const targets = views.map(view => view.describeTarget());
    const canProbe = task.failures + 1 < rule.attemptsAtMost;
    const mayQueue = this.options.admission.isInTime(task.job, nowMs);
    const target =
      (canProbe ? chooseProbe(need, targets) : undefined) ??
      this.options.chooseTarget(need, targets) ??
      (mayQueue ? chooseQueue(need, targets) : undefined);
    return views.find(view => view.life === target?.agent);
  }

  private order(
    task: ActiveTask,
    view: AgentView,
    rank: number,
    nowMs: number,
  ): void {
    const {job, spec} = task;
    const {request, rule} = job;
    this.options.ledger.place(task);
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
      patienceMs: PATIENCE_MS,
    });
    this.options.ledger.record(job, FleetEvent.TASK_PLACED, 'Placed.', {
      task: task.name,
      run: task.run,
      agent: view.greeting.agent,
    });
  }
}

function countTasksOn(task: ActiveTask, agent: string): number {
  const isThere = (other: ActiveTask) =>
    other.step === task.step &&
    other.agent === agent &&
    (other.state === TaskState.PLACED || other.state === TaskState.UNPROVEN);
  return task.job.tasks.filter(isThere).length;
}
