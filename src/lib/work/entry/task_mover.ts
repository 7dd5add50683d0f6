/** Moves tasks away from targets that have become slow. */
import {isWorthMoving} from '../../decisions/move_task.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {AgentState, TaskState} from './work_charts.js';

/** Dependencies and callbacks of a task mover. */
export interface TaskMoverOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
  /** Requests that a run be stopped; when it ends, the task is queued again. */
  readonly sendStop: (task: ActiveTask) => void;
}

/** Recalls runs from slow targets. Owned by the scheduler. */
export class TaskMover {
  private constructor(private readonly options: TaskMoverOptions) {}

  /** Creates a mover; it acts only when `move` is called. */
  static create(options: TaskMoverOptions): TaskMover {
    return new TaskMover(options);
  }

  /** Recalls the runs that another target would complete sooner. */
  move(nowMs: number): void {
    for (const session of this.options.fleet.listSessions()) {
      if (session.state !== AgentState.CONNECTED) continue;
      for (const task of session.tasks.values()) {
        this.check(session, task, nowMs);
      }
    }
  }

  private check(session: AgentSession, task: ActiveTask, nowMs: number): void {
    const isRecalled = task.excluded.has(session.report.life);
    if (task.state !== TaskState.PLACED || isRecalled) return;
    const slowness =
      session.report.slowness / this.options.fleet.speeds.typical;
    const elapsedMs = nowMs - task.placedAtMs;
    const {estimateMs} = task.spec;
    if (!isWorthMoving({estimateMs, elapsedMs, slowness})) return;
    task.excluded.add(session.report.life);
    const {jobs, sendStop} = this.options;
    sendStop(task);
    jobs.logJob(
      task.job,
      FleetEvent.TASK_RECALLED,
      'Task recalled from a slow target.',
      {
        task: task.name,
        run: task.run,
        agent: session.hello.agent,
        slowness: Math.round(slowness * 100) / 100,
        elapsedMs: Math.round(elapsedMs),
      },
    );
  }
}
