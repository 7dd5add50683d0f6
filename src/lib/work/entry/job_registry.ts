/** The jobs in progress at an entry, with their tasks and callers. */
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {isTargetFault, RunEnd} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';
import {createAnswer, JobEnd, JobReason} from '../../core/work_job.js';
import type {JobAnswer} from '../../core/work_job.js';
import {
  createUnfinishedAnswer,
  describeEnd,
  describeExpectation,
  describeJob,
  describeReturn,
  hasAttempts,
  listUnblocked,
  recordLastRun,
  recordOrderEnd,
} from './active_job.js';
import type {ActiveJob, ActiveTask, AnswerCaller} from './active_job.js';
import type {AgentSession} from './agent_session.js';
import {EndedJobs} from './ended_jobs.js';
import type {JobRegistryOptions} from './job_registry_options.js';
import {RunStatusChange} from './run_status_change.js';
import {
  HAS_ATTEMPTS,
  JOB_CHART,
  JobEvent,
  JobState,
  TASK_CHART,
  TaskAction,
  TaskEvent,
  TaskState,
} from './work_charts.js';

/** Jobs in progress and their state changes. Owned by the scheduler. */
export class JobRegistry {
  private readonly jobs = new Map<string, ActiveJob>();
  private readonly jobsToPlace = new Set<ActiveJob>();
  private readonly ended = EndedJobs.create();

  private constructor(private readonly options: JobRegistryOptions) {}

  /** Creates an empty registry. */
  static create(options: JobRegistryOptions): JobRegistry {
    return new JobRegistry(options);
  }

  /** Number of jobs in progress. */
  get size(): number {
    return this.jobs.size;
  }

  /** Jobs with tasks that wait for placement. */
  get waiting(): ReadonlySet<ActiveJob> {
    return this.jobsToPlace;
  }

  /** Finds a job in progress. */
  find(name: string): ActiveJob | undefined {
    return this.jobs.get(name);
  }

  /** Returns the state of a job in progress or recently ended. */
  findState(name: string): JobState | undefined {
    return this.jobs.get(name)?.state ?? this.ended.find(name);
  }

  /** Counts a queue's jobs of which no task has been placed. */
  countWaiting(queue: string): number {
    return [...this.jobs.values()].filter(
      ({rule, state}) => rule.name === queue && state === JobState.WAITING,
    ).length;
  }

  /** Adds a job that was admitted, with its first caller. */
  add(job: ActiveJob, caller: number, answer: AnswerCaller): void {
    job.callers.set(caller, answer);
    this.jobs.set(job.request.job, job);
    this.unblock(job);
    const fields = describeExpectation(job);
    this.logJob(job, FleetEvent.JOB_ADMITTED, 'Job admitted.', fields);
  }

  /** Removes a disconnected caller; a job without callers is cancelled. */
  handleCallerDisconnect(name: string, caller: number, nowMs: number): void {
    const job = this.jobs.get(name);
    if (job === undefined || !job.callers.delete(caller)) return;
    if (job.callers.size > 0) return;
    this.logJob(job, FleetEvent.CALLER_DISCONNECTED, 'Caller disconnected.');
    this.end(job, JobEvent.CANCEL, undefined, nowMs);
  }

  /** Cancels a job; returns whether it was in progress or ended recently. */
  cancel(name: string, nowMs: number): boolean {
    const job = this.jobs.get(name);
    const answer = createAnswer(JobEnd.FAILED, JobReason.NONE);
    if (job !== undefined) this.end(job, JobEvent.CANCEL, answer, nowMs);
    return this.ended.find(name) !== undefined;
  }

  /** Ends jobs past their deadline, and removes old ended jobs. */
  expire(nowMs: number): void {
    for (const job of [...this.jobs.values()]) {
      if (nowMs < job.timing.deadlineAtMs) continue;
      this.endUnfinished(job, JobReason.DEADLINE_EXCEEDED, nowMs);
    }
    this.ended.removeExpired(nowMs);
  }

  /** Ends all jobs because the process stops. */
  endAllUnfinished(nowMs: number): void {
    for (const job of [...this.jobs.values()]) {
      this.endUnfinished(job, JobReason.STOPPING, nowMs);
    }
  }

  private endUnfinished(
    job: ActiveJob,
    reason: JobReason,
    nowMs: number,
    retryAfterMs = 0,
  ): void {
    const answer = createUnfinishedAnswer(job, reason, retryAfterMs);
    const isRefused = answer.end === JobEnd.REFUSED;
    const event = isRefused ? JobEvent.REFUSE : JobEvent.ABANDON;
    this.end(job, event, answer, nowMs);
  }

  /** Ends unplaced jobs that can no longer be answered in time to be of use. */
  endInfeasible(
    isInfeasible: (job: ActiveJob) => boolean,
    estimateDelay: () => number,
    nowMs: number,
  ): void {
    for (const job of [...this.jobsToPlace]) {
      if (job.state !== JobState.WAITING || !isInfeasible(job)) continue;
      this.endUnfinished(job, JobReason.OVERLOADED, nowMs, estimateDelay());
    }
  }

  /** Records that a task was ordered from an agent. */
  recordPlacement(task: ActiveTask, nowMs: number): void {
    task.placedAtMs = nowMs;
    task.run += 1;
    this.applyEvent(task, TaskEvent.PLACE);
    task.job.state = JOB_CHART.step(task.job.state, JobEvent.PLACE).state;
  }

  /** Records that no task of the job waits for placement. */
  markAllPlaced(job: ActiveJob): void {
    this.jobsToPlace.delete(job);
  }

  /** Handles the end of a run, as reported by the agent that held it. */
  endRun(session: AgentSession, report: RunEndReport, nowMs: number): void {
    const task = session.tasks.get(report.task);
    if (task === undefined || task.run !== report.run) return;
    this.options.releaseTask(task);
    switch (report.end) {
      case RunEnd.DONE: {
        this.applyEvent(task, TaskEvent.DONE);
        const scaledMs = this.options.scaleRun(session, report.durationMs);
        recordLastRun(task.job, session.hello, report, scaledMs);
        task.job.remainingTasks -= 1;
        this.advance(task.job, nowMs);
        break;
      }
      case RunEnd.FAILED:
        task.failures += 1;
        task.excluded.add(session.report.life);
        this.applyEvent(task, TaskEvent.FAILED);
        if (task.state !== TaskState.FAILED) break;
        this.endByAttempts(task.job, nowMs);
        break;
      case RunEnd.STOPPED:
      case RunEnd.LOST:
      case RunEnd.NOT_STARTED:
        if (isTargetFault(report.cause)) task.excluded.add(session.report.life);
        this.applyEvent(task, TaskEvent.REQUEUE);
        break;
    }
    if (this.options.planAhead === true) recordOrderEnd(task.job, report);
    this.enqueueIfWaiting(task);
  }

  /** Handles the change of a run whose agent was lost or has reconnected. */
  handleRunStatus(task: ActiveTask, change: RunStatusChange): void {
    switch (change) {
      case RunStatusChange.AGENT_UNREACHABLE:
        this.applyEvent(task, TaskEvent.AGENT_DISCONNECTED);
        break;
      case RunStatusChange.STILL_HELD:
        this.applyEvent(task, TaskEvent.AGENT_RECONNECTED);
        break;
      case RunStatusChange.EXPIRED:
      case RunStatusChange.NOT_LISTED:
      case RunStatusChange.REPLACED:
        this.logJob(
          task.job,
          FleetEvent.TASK_RETURNED,
          'A run is over.',
          describeReturn(task, change),
        );
        task.job.mayHaveRun = true;
        this.options.releaseTask(task);
        this.applyEvent(task, TaskEvent.REQUEUE);
        this.enqueueIfWaiting(task);
        break;
    }
  }

  /** Adds a line to the log of a job. */
  logJob(
    job: ActiveJob,
    event: FleetEvent,
    message: string,
    fields: LineFields = {},
  ): void {
    const line = {...describeJob(job), ...fields};
    this.options.requests.add(job.request.job, event, message, line);
  }

  private advance(job: ActiveJob, nowMs: number): void {
    if (job.remainingTasks > 0) return this.unblock(job);
    const answer = createAnswer(JobEnd.COMPLETED, JobReason.NONE);
    this.end(job, JobEvent.COMPLETE, answer, nowMs);
  }

  /** Ends a job that cannot be completed. */
  fail(job: ActiveJob, nowMs: number, reason: JobReason): void {
    this.end(job, JobEvent.FAIL, createAnswer(JobEnd.FAILED, reason), nowMs);
  }

  /** Ends a job of which a task has no attempts left, as failed if their number is known. */
  private endByAttempts(job: ActiveJob, nowMs: number): void {
    const reason = JobReason.ATTEMPTS_EXHAUSTED;
    if (job.rule.attemptsAtMost !== undefined) this.fail(job, nowMs, reason);
    else this.endUnfinished(job, reason, nowMs);
  }

  private unblock(job: ActiveJob): void {
    for (const task of listUnblocked(job)) {
      this.applyEvent(task, TaskEvent.UNBLOCK);
      this.enqueueIfWaiting(task);
    }
  }

  private enqueueIfWaiting(task: ActiveTask): void {
    if (task.state === TaskState.WAITING) this.jobsToPlace.add(task.job);
  }

  private applyEvent(task: ActiveTask, event: TaskEvent): void {
    const step = TASK_CHART.step(
      task.state,
      event,
      guard => guard === HAS_ATTEMPTS && hasAttempts(task),
    );
    task.state = step.state;
    if (step.actions.includes(TaskAction.SEND_STOP)) {
      this.options.sendStop(task);
    }
  }

  /** Ends a job with an event, and answers its callers unless they have gone. */
  end(
    job: ActiveJob,
    event: JobEvent,
    answer: JobAnswer | undefined,
    nowMs: number,
  ): void {
    const {job: name} = job.request;
    job.state = JOB_CHART.step(job.state, event).state;
    this.jobs.delete(name);
    this.options.budget.release(name);
    this.jobsToPlace.delete(job);
    this.ended.add(name, job.state, nowMs);
    for (const task of job.tasks) {
      this.applyEvent(task, TaskEvent.DROP);
      this.options.releaseTask(task);
    }
    this.logEnd(job, nowMs, answer?.reason);
    if (answer === undefined) return;
    for (const answerCaller of job.callers.values()) answerCaller(answer);
  }

  private logEnd(job: ActiveJob, nowMs: number, reason?: JobReason): void {
    const {state, timing, request} = job;
    const tookMs = nowMs - timing.sentAtMs;
    const text = `The job has ended: ${state}.`;
    const fields = describeEnd(job, tookMs, reason);
    this.logJob(job, FleetEvent.JOB_ENDED, text, fields);
    const labels = {queue: job.rule.name, state, reason: reason ?? ''};
    this.options.metrics.countJob(labels, tookMs);
    const isInTime = tookMs <= timing.objectiveMs;
    if (state === JobState.COMPLETED) this.options.reportServed(job, isInTime);
    const isGood = state === JobState.COMPLETED && isInTime;
    this.options.requests.finish(request.job, request.job, !isGood);
  }
}
