/** Ends the jobs whose tasks crash targets, or seem to, as the agents' reports show. */
import {BlameVerdict, CrashBlame} from '../../decisions/crash_blame.js';
import {
  listConfined,
  QueueContainment,
} from '../../decisions/queue_containment.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {QueueRule} from '../../core/fleet_configuration.js';
import {RunEvidence} from '../../core/target_crash.js';
import type {CrashSuspicion, TargetCrash} from '../../core/target_crash.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import {JobEnd, JobReason} from '../../core/work_job.js';
import type {LineFields} from '../../observe/request_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobRegistry} from './job_registry.js';
import {JobEvent, TaskState} from './work_charts.js';

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

  /** Records a crash, and ends the jobs of which a task gets no further run. */
  handleCrash(crash: TargetCrash, agentLife: string, nowMs: number): void {
    const {jobs, log, metrics} = this.options;
    const isNew = this.blame.recordCrash(crash, nowMs - crash.ageMs);
    const use = isNew ? CrashReportUse.COUNTED : CrashReportUse.KNOWN;
    metrics.countCrashReport(use);
    if (!isNew) return;
    const suspects = this.listTasks(crash, BlameVerdict.SUSPECT);
    const held = this.listTasks(crash, BlameVerdict.HELD);
    const deadly = this.listTasks(crash, BlameVerdict.DEADLY);
    log(FleetEvent.TARGET_CRASHED, 'A target crashed under these tasks.', {
      targetLife: crash.life,
      agentLife,
      ageMs: crash.ageMs,
      runs: crash.runs.length,
      suspects,
      held,
      deadly,
      tasks: this.describeTasks(crash, [...deadly, ...held, ...suspects]),
    });
    for (const {task} of crash.runs) {
      metrics.countCrashVerdict(this.blame.judge(task));
    }
    for (const {job, task, suspicion} of crash.runs) {
      if (suspicion?.queue !== undefined && deadly.includes(task)) {
        this.containment.recordDeadly(suspicion.queue, nowMs);
      }
      const active = jobs.find(job);
      if (active !== undefined) this.endIfBarred(active, nowMs);
    }
  }

  /** Ends a job of which a task gets no further run. */
  endIfBarred(job: ActiveJob, nowMs: number): void {
    const {jobs} = this.options;
    const name = job.request.job;
    this.recordCrashedLives(job);
    switch (this.blame.judgeJob(name)) {
      case BlameVerdict.DEADLY:
        jobs.fail(job, nowMs, JobReason.TARGETS_CRASHED);
        break;
      case BlameVerdict.HELD: {
        // A task of it was ordered, here or at another entry, so it may have run.
        const end = JobEnd.ABANDONED;
        const reason = JobReason.CRASHES_SUSPECTED;
        const retryAfterMs = this.blame.computeRetention(name, nowMs);
        const answer = {end, reason, retryAfterMs};
        jobs.end(job, JobEvent.ABANDON, answer, nowMs);
        break;
      }
      case BlameVerdict.SUSPECT:
      case BlameVerdict.NONE:
        break;
    }
  }

  /** Forgets the crashes that are too old. */
  expire(nowMs: number): void {
    this.blame.expire(nowMs);
  }

  /** Clears a task that has ended with success. */
  recordSuccess(task: string): void {
    this.blame.recordSuccess(task);
  }

  /** Returns whether a task of the job gets no further run. */
  isBarred(job: string): boolean {
    const verdict = this.blame.judgeJob(job);
    return verdict === BlameVerdict.DEADLY || verdict === BlameVerdict.HELD;
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

  /** Records the crashes under each task of a job, for the log. */
  private recordCrashedLives({tasks}: ActiveJob): void {
    for (const task of tasks) {
      const {counted = []} = this.blame.findReport(task.name) ?? {};
      task.crashedLives = counted.map(({life}) => life);
    }
  }

  private describeTasks(
    {runs}: TargetCrash,
    tasks: readonly string[],
  ): LineFields[] {
    return tasks.slice(0, MAX_LOGGED_TASKS).map(task => {
      const run = runs.find(each => each.task === task);
      const {blame, counted = []} = this.blame.findReport(task) ?? {};
      const ran = counted.filter(({evidence}) => evidence === RunEvidence.RAN);
      return {
        task,
        ranMs: run?.ranMs,
        evidence: run?.evidence,
        toldCrashes: run?.suspicion?.crashes ?? 0,
        crashes: counted.length,
        ran: ran.length,
        blame: Number(blame?.toFixed(3)),
        lives: counted.map(({life}) => life),
      };
    });
  }

  private listTasks({runs}: TargetCrash, verdict: BlameVerdict): string[] {
    return runs
      .map(({task}) => task)
      .filter(task => this.blame.judge(task) === verdict);
  }
}
