/** Gives up the jobs whose tasks crash targets, as the agents' reports show. */
import {BlameVerdict, CrashBlame} from '../../decisions/crash_blame.js';
import {
  listConfined,
  QueueContainment,
} from '../../decisions/queue_containment.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {QueueRule} from '../../core/fleet_configuration.js';
import type {CrashSuspicion, TargetCrash} from '../../core/work_frames.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import {JobReason} from '../../core/work_job.js';
import type {LineFields} from '../../observe/request_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobRegistry} from './job_registry.js';
import {TaskState} from './work_charts.js';

/** Maximum number of tasks whose evidence is logged with a crash. */
const MAX_LOGGED_TASKS = 12;

/** What became of the report of a crash, for the metrics. */
enum CrashReportUse {
  COUNTED = 'counted',
  /** The crash had been reported before. */
  KNOWN = 'known',
}

/** Dependencies of the record of deadly tasks. */
export interface DeadlyTasksOptions {
  readonly jobs: JobRegistry;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly fleet: AgentFleet;
}

/** What the crashes of targets say of tasks. Owned by the scheduler. */
export class DeadlyTasks {
  private readonly blame = CrashBlame.create();
  private readonly containment = QueueContainment.create();
  /** The suspect task whose run is in progress, and the number of that run. */
  private trial: {readonly task: ActiveTask; readonly run: number} | undefined;

  private constructor(private readonly options: DeadlyTasksOptions) {}

  /** Creates a record without crashes. */
  static create(options: DeadlyTasksOptions): DeadlyTasks {
    return new DeadlyTasks(options);
  }

  /** Records a crash, and gives up the jobs that it proves to be deadly. */
  handleCrash(crash: TargetCrash, agentLife: string, nowMs: number): void {
    const {jobs, log, metrics} = this.options;
    const isNew = this.blame.recordCrash(crash, nowMs - crash.ageMs);
    const use = isNew ? CrashReportUse.COUNTED : CrashReportUse.KNOWN;
    metrics.countCrashReport(use);
    if (!isNew) return;
    const suspects = this.listTasks(crash, BlameVerdict.SUSPECT);
    const deadly = this.listTasks(crash, BlameVerdict.DEADLY);
    log(FleetEvent.TARGET_CRASHED, 'A target crashed under these tasks.', {
      targetLife: crash.life,
      agentLife,
      ageMs: crash.ageMs,
      runs: crash.runs.length,
      suspects,
      deadly,
      tasks: this.describeTasks(crash, [...deadly, ...suspects]),
    });
    for (const {job, task, suspicion} of crash.runs) {
      if (suspicion?.queue !== undefined && deadly.includes(task)) {
        this.containment.recordDeadly(suspicion.queue, nowMs);
      }
      const active = jobs.find(job);
      if (active === undefined || !deadly.includes(task)) continue;
      this.fail(active, nowMs);
    }
  }

  /** Ends a job whose tasks crash targets as failed. */
  fail(job: ActiveJob, nowMs: number): void {
    for (const task of job.tasks) {
      task.crashedLives = this.blame.findReport(task.name)?.lives ?? [];
    }
    this.options.jobs.fail(job, nowMs, JobReason.TARGETS_CRASHED);
  }

  /** Clears a task that has ended with success. */
  recordSuccess(task: string): void {
    this.blame.recordSuccess(task);
  }

  /** Returns whether a task of the job is known to crash targets. */
  isDeadly(job: string): boolean {
    return this.blame.hasDeadlyTask(job);
  }

  /** Returns what is known of a suspect task; undefined for others. */
  describe(task: ActiveTask): CrashSuspicion | undefined {
    const suspicion = this.blame.describe(task.name);
    return suspicion && {...suspicion, queue: task.job.rule.name};
  }

  /** Lists the agents that a queue is confined to; undefined if it is not. */
  listConfined(
    {name, service}: QueueRule,
    nowMs: number,
  ): readonly string[] | undefined {
    if (!this.containment.isConfined(name, nowMs)) return undefined;
    return listConfined(name, this.options.fleet.listAgents(service));
  }

  /** Whether a suspect task runs; the others wait until it has ended. */
  get isTrying(): boolean {
    if (this.trial === undefined) return false;
    const {task, run} = this.trial;
    const isHeld =
      task.state === TaskState.PLACED || task.state === TaskState.UNCERTAIN;
    return isHeld && task.run === run;
  }

  /** Records that a suspect task was placed. */
  recordTrial(task: ActiveTask): void {
    this.trial = {task, run: task.run};
  }

  private describeTasks(
    {runs}: TargetCrash,
    tasks: readonly string[],
  ): LineFields[] {
    return tasks.slice(0, MAX_LOGGED_TASKS).map(task => {
      const run = runs.find(each => each.task === task);
      const {crashes, blame, lives} = this.blame.findReport(task) ?? {};
      return {
        task,
        ranMs: run?.ranMs,
        toldCrashes: run?.suspicion?.crashes ?? 0,
        crashes,
        blame: Number(blame?.toFixed(3)),
        lives,
      };
    });
  }

  private listTasks({runs}: TargetCrash, verdict: BlameVerdict): string[] {
    return runs
      .map(({task}) => task)
      .filter(task => this.blame.judge(task) === verdict);
  }
}
