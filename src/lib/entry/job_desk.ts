/** The jobs of an entry: sessions, submissions and answers. */
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobSpecification} from '../core/job.js';
import type {TaskReport} from '../core/link_messages.js';
import {AdmissionKind} from '../decisions/admission.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import {EntryTaskState, JobAction} from '../decisions/job_charts.js';
import {Aftermath, JobRun} from '../decisions/job_run.js';
import type {JobEvent} from '../decisions/job_charts.js';
import type {JobAnswer} from '../decisions/job_run.js';
import {KeyLedger, LedgerVerdict} from '../decisions/key_ledger.js';
import type {LedgerFinding, LedgerLimits} from '../decisions/key_ledger.js';
import type {WorkPlanner} from '../decisions/work_planner.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import type {DispatcherCounters} from './dispatcher_counters.js';
import {ReplyKind} from './dispatcher_messages.js';
import type {
  JobDraft,
  OwnKey,
  Refusal,
  Reply,
  SubmitMessage,
} from './dispatcher_messages.js';
import {
  describeUnknownTeam,
  describeVerdict,
  NOT_FOUND,
  NOT_READY,
  SESSION_ENDED,
  STOPPING,
} from './job_refusal.js';

/** Time in milliseconds that a failing job waits for tasks that have started. */
const SETTLE_MS = 5000;

const DEFAULT_CLASS = 'default';
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_RUN_WITHIN_MS = 30_000;
const DEFAULT_VALUE = 1;

/** A job that has been answered, for logs and metrics. */
export interface EndedJob {
  readonly job: string;
  readonly team: string;
  readonly taskClass: string;
  readonly trace: string;
  readonly outcome: Outcome;
  readonly problem: Problem | undefined;
  readonly tasks: number;
  readonly durationMs: number;
}

/** A task that has ended, for metrics. */
export interface EndedTask {
  readonly team: string;
  readonly taskClass: string;
  readonly end: TaskEnd;
  readonly runMs: number;
  readonly queuedMs: number;
}

/** A job that has not been answered. */
export interface RunningJob {
  readonly run: JobRun;
  readonly key: OwnKey | undefined;
  readonly takenAtMs: number;
  readonly deadlineAtMs: number;
  readonly runWithinMs: number;
  /** JSON texts in UTF-8, in task order. */
  readonly payloads: readonly Uint8Array[];
  /** Where each task that is out at an agent has gone. */
  readonly places: Map<number, SentPlace>;
  readonly replies: Reply[];
}

/** Where a task has been sent. */
export interface SentPlace {
  readonly agent: string;
  readonly sequence: number;
}

/** What a job desk needs to be created. */
export interface JobDeskOptions {
  readonly identity: ProcessIdentity;
  readonly ledger: LedgerLimits;
  readonly planner: WorkPlanner;
  readonly counters: DispatcherCounters;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Posts the event of a job's timer to the owner's mailbox. */
  readonly postTimer: (job: string, event: string) => void;
  /** Asks an agent to give a task back. */
  readonly withdraw: (agent: string, sequence: number) => void;
  /** Returns the configuration in force, if there is one. */
  readonly getView: () => ConfigurationView | undefined;
  /** Tells whether jobs may be planned now; otherwise they wait a moment. */
  readonly isPlannable: (nowMs: number) => boolean;
  readonly reportJob: (ended: EndedJob) => void;
  readonly reportTask: (ended: EndedTask) => void;
}

/** Keeps the sessions' memory and the running jobs for the dispatcher. */
export class JobDesk {
  private readonly ledger: KeyLedger<JobAnswer>;
  private readonly jobs = new Map<string, RunningJob>();
  private readonly jobsByKey = new Map<string, RunningJob>();
  /** Jobs taken while no target was known; planned as soon as one is. */
  private unplanned: RunningJob[] = [];
  private lastJob = 0;
  private isRefusing = false;

  private constructor(private readonly options: JobDeskOptions) {
    this.ledger = KeyLedger.create<JobAnswer>(options.ledger);
  }

  /** Creates a desk without jobs. */
  static create(options: JobDeskOptions): JobDesk {
    return new JobDesk(options);
  }

  /** Number of jobs that are not answered. */
  get size(): number {
    return this.jobs.size;
  }

  /** Number of keys remembered. */
  get keys(): number {
    return this.ledger.keys;
  }

  /** Returns a running job. */
  getJob(id: string): RunningJob | undefined {
    return this.jobs.get(id);
  }

  /** From now on refuses new jobs. */
  refuseWork(): void {
    this.isRefusing = true;
  }

  /** Opens a session for a team. */
  openSession(team: string, reply: Reply): void {
    const refusal = this.findRefusal(team);
    if (refusal !== undefined) return this.refuse(reply, refusal);
    const serial = this.ledger.openSession(this.options.readMonotonicMs());
    reply({kind: ReplyKind.SESSION, serial, team});
  }

  /** Takes a submission, unless its key is known or it is refused. */
  submit(message: SubmitMessage): void {
    const {key, draft, digest, isDetached, reply} = message;
    const nowMs = this.options.readMonotonicMs();
    if (key !== undefined) {
      const finding = this.ledger.submit(key.serial, key.name, digest, nowMs);
      if (finding.verdict !== LedgerVerdict.NEW) {
        return this.answerKnown(key, finding, isDetached, reply);
      }
    }
    const refusal = this.findRefusal(draft.team);
    if (refusal !== undefined) {
      if (key !== undefined) this.ledger.release(key.serial, key.name);
      return this.refuse(reply, refusal);
    }
    const job = this.openJob(key, draft, nowMs);
    if (!isDetached) job.replies.push(reply);
    this.plan(job, isDetached ? reply : undefined);
  }

  /** Tells how a job stands, or its answer. */
  lookUp(key: OwnKey, reply: Reply): void {
    const nowMs = this.options.readMonotonicMs();
    const finding = this.ledger.lookUp(key.serial, key.name, nowMs);
    if (finding.verdict === LedgerVerdict.NEW) {
      return this.refuse(reply, NOT_FOUND);
    }
    this.answerKnown(key, finding, true, reply);
  }

  /** Cancels a job; the reply is its answer. */
  cancel(key: OwnKey, reply: Reply): void {
    const job = this.jobsByKey.get(joinKey(key));
    if (job === undefined) return this.lookUp(key, reply);
    job.replies.push(reply);
    job.run.cancel(Problem.CANCELLED);
  }

  /** Ends a job that has not started and will not. */
  giveUp(id: string, problem: Problem): void {
    this.jobs.get(id)?.run.cancel(problem);
  }

  /** Takes the event of a job's timer. */
  handleTimer(id: string, event: JobEvent): void {
    this.jobs.get(id)?.run.handleTimer(event);
  }

  /** Records where a task has been sent. */
  recordSent(job: RunningJob, index: number, place: SentPlace): void {
    job.places.set(index, place);
    job.run.recordSent(index);
  }

  /** Records how a task ended, or that it has to wait again. */
  endTask(task: QueuedTask, agent: string, report: TaskReport): void {
    const nowMs = this.options.readMonotonicMs();
    const {planner} = this.options;
    const job = this.jobs.get(task.job);
    if (report.end === TaskEnd.NOT_STARTED) {
      planner.recordReturned(task, agent);
    } else {
      const isSuccess = report.end === TaskEnd.SUCCEEDED;
      planner.recordEnd(task, {agent, isSuccess, runMs: report.runMs}, nowMs);
    }
    if (job === undefined) return;
    job.places.delete(task.index);
    const aftermath = job.run.recordEnd(task.index, report);
    if (aftermath === Aftermath.WAIT_AGAIN) return;
    const {team, taskClass} = job.run.specification;
    const {end, runMs, queuedMs} = report;
    this.options.reportTask({team, taskClass, end, runMs, queuedMs});
  }

  /** Plans the jobs that wait for a first target, and forgets old sessions. */
  check(nowMs: number): void {
    this.ledger.expire(nowMs);
    if (this.unplanned.length === 0 || !this.options.isPlannable(nowMs)) return;
    const jobs = this.unplanned;
    this.unplanned = [];
    for (const job of jobs) {
      if (this.jobs.has(job.run.id)) this.plan(job, undefined);
    }
  }

  /** Stops the timers of all jobs. */
  stopTimers(): void {
    for (const job of this.jobs.values()) job.run.stopTimers();
  }

  private answerKnown(
    key: OwnKey,
    finding: LedgerFinding<JobAnswer>,
    isDetached: boolean,
    reply: Reply,
  ): void {
    if (finding.verdict === LedgerVerdict.RUNNING) {
      const job = this.jobsByKey.get(joinKey(key));
      if (job === undefined) return this.refuse(reply, SESSION_ENDED);
      if (isDetached) return this.reportProgress(job, reply);
      job.replies.push(reply);
      return;
    }
    if (finding.answer !== undefined) {
      reply({kind: ReplyKind.ANSWER, answer: finding.answer});
      return;
    }
    this.refuse(reply, describeVerdict(finding.verdict));
  }

  private reportProgress(job: RunningJob, reply: Reply): void {
    const {state, done, total} = job.run;
    reply({kind: ReplyKind.PROGRESS, state, done, total});
  }

  private findRefusal(team: string): Refusal | undefined {
    const view = this.options.getView();
    if (view === undefined) return NOT_READY;
    if (this.isRefusing) return STOPPING;
    if (!view.teams.has(team)) return describeUnknownTeam(team);
    return undefined;
  }

  private refuse(reply: Reply, refusal: Refusal): void {
    this.options.counters.jobsRefused += 1;
    reply({kind: ReplyKind.REFUSAL, refusal});
  }

  private openJob(
    key: OwnKey | undefined,
    draft: JobDraft,
    nowMs: number,
  ): RunningJob {
    this.lastJob += 1;
    const id = `${this.options.identity.incarnation}-${this.lastJob}`;
    const specification = this.completeDraft(draft);
    const taskClass = this.options
      .getView()
      ?.taskClasses.get(specification.taskClass);
    const job: RunningJob = {
      run: this.createRun(id, specification),
      key,
      takenAtMs: nowMs,
      deadlineAtMs: nowMs + specification.deadlineMs,
      runWithinMs: taskClass?.runWithinMs ?? DEFAULT_RUN_WITHIN_MS,
      payloads: specification.tasks.map(task => encodePayload(task.payload)),
      places: new Map(),
      replies: [],
    };
    this.jobs.set(id, job);
    if (key !== undefined) this.jobsByKey.set(joinKey(key), job);
    return job;
  }

  private completeDraft(draft: JobDraft): JobSpecification {
    const taskClass = draft.taskClass ?? DEFAULT_CLASS;
    const defaults = this.options.getView()?.taskClasses.get(taskClass);
    return {
      team: draft.team,
      taskClass,
      value: draft.value ?? defaults?.value ?? DEFAULT_VALUE,
      deadlineMs:
        draft.deadlineMs ?? defaults?.deadlineMs ?? DEFAULT_DEADLINE_MS,
      tasks: draft.tasks,
      trace: draft.trace,
    };
  }

  private createRun(id: string, specification: JobSpecification): JobRun {
    const durations: Readonly<Record<string, number>> = {
      deadline: specification.deadlineMs,
      settle: SETTLE_MS,
    };
    return JobRun.create(id, specification, {
      startNamedTimer: (name, fire) =>
        this.options.startTimer(durations[name], fire),
      fire: event => this.options.postTimer(id, event),
      perform: action => this.perform(id, action as JobAction),
    });
  }

  /** `detached` is told of the job's progress once it is taken. */
  private plan(job: RunningJob, detached: Reply | undefined): void {
    const nowMs = this.options.readMonotonicMs();
    if (!this.options.isPlannable(nowMs)) {
      this.unplanned.push(job);
      if (detached !== undefined) this.reportProgress(job, detached);
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
    for (const id of shed) this.giveUp(id, Problem.OVERLOADED);
    if (admission.kind === AdmissionKind.REFUSE) {
      if (detached !== undefined) job.replies.push(detached);
      const {problem, detail, retryAfterMs = 0} = admission;
      const isProvenUnstarted = true;
      this.dropJob(job, {problem, detail, retryAfterMs, isProvenUnstarted});
      return;
    }
    this.options.counters.jobs += 1;
    this.options.counters.tasks += tasks.length;
    if (detached !== undefined) this.reportProgress(job, detached);
  }

  private dropJob(job: RunningJob, refusal: Refusal): void {
    job.run.stopTimers();
    this.jobs.delete(job.run.id);
    if (job.key !== undefined) {
      this.jobsByKey.delete(joinKey(job.key));
      this.ledger.release(job.key.serial, job.key.name);
    }
    for (const reply of job.replies) this.refuse(reply, refusal);
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
    for (const [index, {agent, sequence}] of job.places) {
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
      this.recordAnswer(key, answer);
    }
    for (const reply of job.replies) reply({kind: ReplyKind.ANSWER, answer});
    this.reportAnswer(job, answer);
  }

  private recordAnswer(key: OwnKey, answer: JobAnswer): void {
    if (answer.outcome === Outcome.DID_NOT_RUN) {
      this.ledger.release(key.serial, key.name);
      return;
    }
    let bytes = 0;
    for (const result of answer.results) bytes += result.length;
    this.ledger.settle(key.serial, key.name, answer, bytes);
  }

  private reportAnswer(job: RunningJob, answer: JobAnswer): void {
    const {counters, reportJob, readMonotonicMs} = this.options;
    if (answer.outcome === Outcome.COMPLETE) counters.jobsComplete += 1;
    else counters.jobsFailed += 1;
    const {team, taskClass, trace, tasks} = job.run.specification;
    reportJob({
      job: job.run.id,
      team,
      taskClass,
      trace,
      outcome: answer.outcome,
      problem: answer.problem,
      tasks: tasks.length,
      durationMs: readMonotonicMs() - job.takenAtMs,
    });
  }
}

function joinKey(key: OwnKey): string {
  return `${key.serial}.${key.name}`;
}

function encodePayload(payload: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(payload));
}
