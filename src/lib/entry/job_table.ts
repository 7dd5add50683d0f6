/** The running jobs of an entry, those that have not been answered. */
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Problem, TaskEnd} from '../core/job.js';
import type {JobSpecification} from '../core/job.js';
import type {TaskReport} from '../core/link_messages.js';
import {AdmissionKind} from '../decisions/admission.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import {EntryTaskState, JobAction} from '../decisions/job_charts.js';
import type {JobEvent} from '../decisions/job_charts.js';
import {TaskEndEffect, JobRun} from '../decisions/job_run.js';
import type {JobAnswer} from '../decisions/job_run.js';
import type {WorkPlanner} from '../decisions/work_planner.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import {countAnswer} from './dispatcher_counters.js';
import type {DispatcherCounters} from './dispatcher_counters.js';
import {ReplyKind} from './dispatcher_messages.js';
import type {
  JobDraft,
  LocalKey,
  Refusal,
  Reply,
} from './dispatcher_messages.js';
import {
  applyDefaults,
  DEFAULT_RUN_WITHIN_MS,
  describeEndedJob,
  encodePayload,
  joinKey,
} from './running_job.js';
import type {
  EndedJob,
  EndedTask,
  RunningJob,
  TaskPlacement,
} from './running_job.js';

/** Time in milliseconds that a failing job waits for its started tasks. */
const SETTLE_TIMEOUT_MS = 5000;

/** Dependencies of the table of jobs. */
export interface JobTableOptions {
  readonly identity: ProcessIdentity;
  readonly planner: WorkPlanner;
  readonly counters: DispatcherCounters;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Posts the event of a job's timer to the dispatcher's mailbox. */
  readonly postTimer: (job: string, event: string) => void;
  /** Asks an agent to return a task that has not started. */
  readonly withdraw: (agent: string, sequence: number) => void;
  /** Returns the configuration in force, if any. */
  readonly getView: () => ConfigurationView | undefined;
  /** Whether jobs may be planned now; if not, they wait for the next check. */
  readonly isPlannable: (nowMs: number) => boolean;
  /** Stores the answer of a key in its key table. */
  readonly recordAnswer: (key: LocalKey, answer: JobAnswer) => void;
  /** Removes a key whose job provably did not run from its key table. */
  readonly releaseKey: (key: LocalKey) => void;
  readonly reportJob: (ended: EndedJob) => void;
  readonly reportTask: (ended: EndedTask) => void;
}

/** Holds the running jobs; owned by the dispatcher. */
export class JobTable {
  private readonly jobs = new Map<string, RunningJob>();
  private readonly jobsByKey = new Map<string, RunningJob>();
  /** Jobs accepted while no target was known; planned once there is one. */
  private unplanned: RunningJob[] = [];
  private lastJobNumber = 0;

  private constructor(private readonly options: JobTableOptions) {}

  /** Creates a table without jobs. */
  static create(options: JobTableOptions): JobTable {
    return new JobTable(options);
  }

  /** Number of running jobs. */
  get size(): number {
    return this.jobs.size;
  }

  /** Returns the running job with an id. */
  getJob(id: string): RunningJob | undefined {
    return this.jobs.get(id);
  }

  /** Returns the running job of a key. */
  findJob(key: LocalKey): RunningJob | undefined {
    return this.jobsByKey.get(joinKey(key));
  }

  /** Accepts a job; the reply is its answer, or its progress if detached. */
  submit(
    key: LocalKey | undefined,
    draft: JobDraft,
    isDetached: boolean,
    reply: Reply,
  ): void {
    const job = this.openJob(key, draft, this.options.readMonotonicMs());
    if (!isDetached) job.replies.push(reply);
    this.plan(job, isDetached ? reply : undefined);
  }

  /** Replies with the state of a job and its number of ended tasks. */
  reportProgress(job: RunningJob, reply: Reply): void {
    const {state, done, total} = job.run;
    reply({kind: ReplyKind.PROGRESS, state, done, total});
  }

  /** Cancels a job that cannot be run, for the given problem. */
  abandon(id: string, problem: Problem): void {
    this.jobs.get(id)?.run.cancel(problem);
  }

  /** Handles a timer event that was posted for a job. */
  handleTimer(id: string, event: JobEvent): void {
    this.jobs.get(id)?.run.handleTimer(event);
  }

  /** Records the agent to which a task has been sent. */
  recordSent(job: RunningJob, index: number, placement: TaskPlacement): void {
    job.placements.set(index, placement);
    job.run.recordSent(index);
  }

  /** Records the end of a task, or its return to the queue. */
  endTask(task: QueuedTask, agent: string, report: TaskReport): void {
    const nowMs = this.options.readMonotonicMs();
    const {planner} = this.options;
    const job = this.jobs.get(task.job);
    if (report.end === TaskEnd.NOT_STARTED) {
      planner.recordReturned(task, agent, nowMs);
    } else {
      const isSuccess = report.end === TaskEnd.SUCCEEDED;
      planner.recordEnd(task, {agent, isSuccess, runMs: report.runMs}, nowMs);
    }
    if (job === undefined) return;
    job.placements.delete(task.index);
    const effect = job.run.recordEnd(task.index, report);
    if (effect === TaskEndEffect.REQUEUE) return;
    const {team, taskClass} = job.run.specification;
    const {end, runMs, queuedMs} = report;
    this.options.reportTask({team, taskClass, end, runMs, queuedMs});
  }

  /** Plans the jobs that arrived while no target was known. */
  check(nowMs: number): void {
    if (this.unplanned.length === 0 || !this.options.isPlannable(nowMs)) return;
    const jobs = this.unplanned;
    this.unplanned = [];
    for (const job of jobs) {
      if (this.jobs.has(job.run.id)) this.plan(job, undefined);
    }
  }

  /** Cancels the timers of all jobs. */
  stopTimers(): void {
    for (const job of this.jobs.values()) job.run.stopTimers();
  }

  private openJob(
    key: LocalKey | undefined,
    draft: JobDraft,
    nowMs: number,
  ): RunningJob {
    this.lastJobNumber += 1;
    const id = `${this.options.identity.incarnation}-${this.lastJobNumber}`;
    const taskClasses = this.options.getView()?.taskClasses;
    const specification = applyDefaults(draft, taskClasses);
    const taskClass = taskClasses?.get(specification.taskClass);
    const job: RunningJob = {
      run: this.createRun(id, specification),
      key,
      acceptedAtMs: nowMs,
      deadlineAtMs: nowMs + specification.deadlineMs,
      runWithinMs: taskClass?.runWithinMs ?? DEFAULT_RUN_WITHIN_MS,
      payloads: specification.tasks.map(task => encodePayload(task.payload)),
      placements: new Map(),
      replies: [],
    };
    this.jobs.set(id, job);
    if (key !== undefined) this.jobsByKey.set(joinKey(key), job);
    return job;
  }

  private createRun(id: string, specification: JobSpecification): JobRun {
    const durations: Readonly<Record<string, number>> = {
      deadline: specification.deadlineMs,
      settle: SETTLE_TIMEOUT_MS,
    };
    return JobRun.create(id, specification, {
      startNamedTimer: (name, fire) =>
        this.options.startTimer(durations[name], fire),
      fire: event => this.options.postTimer(id, event),
      perform: action => this.perform(id, action as JobAction),
    });
  }

  /** `detachedReply` receives the job's progress, or its refusal. */
  private plan(job: RunningJob, detachedReply: Reply | undefined): void {
    const nowMs = this.options.readMonotonicMs();
    if (!this.options.isPlannable(nowMs)) {
      this.unplanned.push(job);
      if (detachedReply !== undefined) this.reportProgress(job, detachedReply);
      return;
    }
    const {team, taskClass, value, tasks} = job.run.specification;
    const {admission, shed} = this.options.planner.submit(
      {
        job: job.run.id,
        team,
        taskClass,
        value,
        deadlineMs: Math.max(1, job.deadlineAtMs - nowMs),
        declaredMs: tasks.map(task => task.expectedMs),
      },
      nowMs,
    );
    for (const id of shed) this.abandon(id, Problem.OVERLOADED);
    if (admission.kind === AdmissionKind.REFUSE) {
      if (detachedReply !== undefined) job.replies.push(detachedReply);
      const {problem, detail, retryAfterMs = 0} = admission;
      const isProvenUnstarted = true;
      this.dropJob(job, {problem, detail, retryAfterMs, isProvenUnstarted});
      return;
    }
    this.options.counters.jobs += 1;
    this.options.counters.tasks += tasks.length;
    if (detachedReply !== undefined) this.reportProgress(job, detachedReply);
  }

  private dropJob(job: RunningJob, refusal: Refusal): void {
    job.run.stopTimers();
    this.jobs.delete(job.run.id);
    if (job.key !== undefined) {
      this.jobsByKey.delete(joinKey(job.key));
      this.options.releaseKey(job.key);
    }
    this.options.counters.jobsRefused += job.replies.length;
    for (const reply of job.replies) reply({kind: ReplyKind.REFUSAL, refusal});
  }

  private perform(id: string, action: JobAction): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    switch (action) {
      case JobAction.WITHDRAW_TASKS:
        this.withdrawTasks(job);
        break;
      case JobAction.ABANDON_TASKS:
        job.run.endUnknown();
        break;
      case JobAction.ANSWER:
        this.answer(job);
        break;
    }
  }

  private withdrawTasks(job: RunningJob): void {
    this.options.planner.removeJob(job.run.id);
    for (const [index, {agent, sequence}] of job.placements) {
      job.run.recordWithdrawal(index);
      this.options.withdraw(agent, sequence);
    }
    for (const index of job.run.listTasks(EntryTaskState.WAITING)) {
      job.run.drop(index);
    }
  }

  private answer(job: RunningJob): void {
    const {run, key} = job;
    run.stopTimers();
    this.options.planner.removeJob(run.id);
    this.jobs.delete(run.id);
    const answer = run.describeAnswer();
    if (key !== undefined) {
      this.jobsByKey.delete(joinKey(key));
      this.options.recordAnswer(key, answer);
    }
    for (const reply of job.replies) reply({kind: ReplyKind.ANSWER, answer});
    const {counters, reportJob, readMonotonicMs} = this.options;
    countAnswer(counters, answer);
    reportJob(describeEndedJob(job, answer, readMonotonicMs()));
  }
}
