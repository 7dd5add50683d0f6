/** Takes tasks off targets that have turned slow. */
import {isWorthMoving} from '../../decisions/move_task.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {AgentState, TaskState} from './work_charts.js';

/** What the mover needs. */
export interface TaskMoverOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
  /** Asks for a run to be stopped; its end lets the task wait again. */
  readonly sendStop: (task: ActiveTask) => void;
}

/** Moves tasks for the scheduler, which owns it. */
export class TaskMover {
  private constructor(private readonly options: TaskMoverOptions) {}

  /** Creates a mover. */
  static create(options: TaskMoverOptions): TaskMover {
    return new TaskMover(options);
  }

  /** Recalls the runs that another target would end sooner. */
  move(nowMs: number): void {
    for (const view of this.options.fleet.listSessions()) {
      if (view.state !== AgentState.CONNECTED) continue;
      for (const task of view.tasks.values()) this.check(view, task, nowMs);
    }
  }

  private check(view: AgentSession, task: ActiveTask, nowMs: number): void {
    const isRecalled = task.avoided.has(view.report.life);
    if (task.state !== TaskState.PLACED || isRecalled) return;
    const slowness = view.report.slowness / this.options.fleet.speeds.typical;
    const elapsedMs = nowMs - task.placedAtMs;
    const {estimateMs} = task.spec;
    if (!isWorthMoving({estimateMs, elapsedMs, slowness})) return;
    task.avoided.add(view.report.life);
    const {jobs: ledger, sendStop} = this.options;
    sendStop(task);
    ledger.logJob(task.job, FleetEvent.TASK_RECALLED, 'Its target is slow.', {
      task: task.name,
      run: task.run,
      agent: view.greeting.agent,
      slowness: Math.round(slowness * 100) / 100,
      elapsedMs: Math.round(elapsedMs),
    });
  }
}
