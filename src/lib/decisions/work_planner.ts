/** Decisions of an entry about its work: admission, order and placement. */
import {Problem} from '../core/job.js';
import {
  AdmissionKind,
  computeIdealMs,
  decideAdmission,
  isInfeasible,
  dropCheapJobs,
} from './admission.js';
import type {Admission, AdmissionRequest} from './admission.js';
import type {AgentLoadTable} from './agent_load_table.js';
import {ClassRunTimes} from './class_run_times.js';
import {FairQueue} from './fair_queue.js';
import type {QueuedTask} from './fair_queue.js';
import {computeDensity} from './rank_job.js';
import type {RankJob} from './rank_job.js';
import {
  FULL_BUDGET,
  isPaused,
  recordReturn,
  recordSend,
} from './retry_budget.js';
import {TeamQuota} from './team_quota.js';
import type {TeamLimits} from './team_quota.js';

/** Limits of one entry. */
export interface PlannerLimits {
  readonly tasksPerJob: number;
  readonly waitingTasksAtMost: number;
  readonly jobsAtMost: number;
}

/** Options of a work planner. */
export interface WorkPlannerOptions {
  readonly agents: AgentLoadTable;
  readonly rankJob: RankJob;
  readonly limits: PlannerLimits;
}

/** A job as it is submitted. */
export interface SubmittedJob {
  readonly job: string;
  readonly team: string;
  readonly taskClass: string;
  readonly value: number;
  readonly deadlineMs: number;
  /** Declared run time of each task in milliseconds; 0 if none. */
  readonly declaredMs: readonly number[];
}

/** Kinds of step that the owner of a planner carries out. */
export enum PlanStepKind {
  /** Send a task to an agent. */
  SEND = 'send',
  /** Answer an unstarted job that its deadline is unreachable. */
  REFUSE = 'give-up',
}

/** A step that the owner has to carry out. */
export type PlanStep =
  | {
      readonly kind: PlanStepKind.SEND;
      readonly task: QueuedTask;
      readonly agent: string;
    }
  | {readonly kind: PlanStepKind.REFUSE; readonly job: string};

/** Decision on a submission, with the jobs that were shed for it. */
export interface SubmissionDecision {
  readonly admission: Admission;
  /** Jobs that have not started and were removed. */
  readonly shed: readonly string[];
}

/** Outcome of a task that was sent to an agent. */
export interface TaskObservation {
  readonly agent: string;
  readonly isSuccess: boolean;
  /** Run time at the target in milliseconds; 0 if not known. */
  readonly runMs: number;
}

interface PlannedJob {
  readonly team: string;
  readonly taskClass: string;
  readonly deadlineAtMs: number;
  readonly idealMs: number;
  readonly declaredMs: readonly number[];
  hasStarted: boolean;
}

/**
 * Schedules the jobs of an entry, from submission to the last task.
 *
 * The owner passes in times, submissions and ends, and carries out admissions
 * and steps. The owner also applies the agents' reports to the load table.
 */
export class WorkPlanner {
  private readonly queue = FairQueue.create();
  private readonly teams = TeamQuota.create();
  private readonly runTimes = ClassRunTimes.create();
  private readonly jobs = new Map<string, PlannedJob>();
  private entries = 1;
  /** Time since which the head of the queue could not be placed; undefined if it can be. */
  private unplacedSinceMs: number | undefined;
  private retryBudget = FULL_BUDGET;

  private constructor(private readonly options: WorkPlannerOptions) {}

  /** Creates a planner without jobs. */
  static create(options: WorkPlannerOptions): WorkPlanner {
    return new WorkPlanner(options);
  }

  /** Number of waiting tasks. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Applies the teams' limits and the number of live entries. */
  applyTeams(teams: Iterable<TeamLimits>, entries: number): void {
    const list = [...teams];
    this.entries = Math.max(1, entries);
    this.teams.applyTeams(list, entries);
    for (const {name, weight} of list) {
      this.queue.setWeight(name, weight);
      this.updateBlocking(name);
    }
  }

  /** Decides on a job and queues it if it is admitted. */
  submit(job: SubmittedJob, nowMs: number): SubmissionDecision {
    const expected = this.runTimes.estimateAll(job.taskClass, job.declaredMs);
    const workMs = expected.reduce((sum, each) => sum + each, 0);
    const longestMs = expected.reduce((most, ms) => Math.max(most, ms), 0);
    const idealMs = computeIdealMs(workMs, longestMs, this.workPerMs);
    const rank = this.options.rankJob({
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + job.deadlineMs,
      value: job.value,
      idealMs,
      workMs,
    });
    const startByMs = nowMs + job.deadlineMs - idealMs;
    const density = computeDensity({value: job.value, workMs});
    const admission = this.decide(
      job,
      {workMs, longestMs, density, startByMs},
      nowMs,
    );
    if (admission.kind === AdmissionKind.REFUSE) return {admission, shed: []};
    const shed =
      admission.kind === AdmissionKind.SHED_THEN_ADMIT
        ? dropCheapJobs(this.queue, density, admission.tasksToShed)
        : [];
    for (const each of shed) this.jobs.delete(each);
    this.add(job, expected, {rank, startByMs, idealMs}, nowMs);
    return {admission, shed};
  }

  /** Returns the next step to carry out, or undefined until something changes. */
  takeStep(nowMs: number): PlanStep | undefined {
    const head = this.queue.peek();
    if (head === undefined) return undefined;
    const job = this.jobs.get(head.job)!;
    if (!job.hasStarted && isInfeasible(nowMs, job.deadlineAtMs, job.idealMs)) {
      this.removeJob(head.job);
      return {kind: PlanStepKind.REFUSE, job: head.job};
    }
    if (isPaused(this.retryBudget, nowMs)) return undefined;
    const agent = this.chooseAgent(head, nowMs);
    if (agent === undefined) {
      this.unplacedSinceMs ??= nowMs;
      return undefined;
    }
    this.unplacedSinceMs = undefined;
    job.hasStarted = true;
    this.queue.take();
    this.retryBudget = recordSend(this.retryBudget);
    this.options.agents.recordSent(agent);
    this.teams.changeOutstanding(head.team, 1);
    this.updateBlocking(head.team);
    return {kind: PlanStepKind.SEND, task: head, agent};
  }

  /** Records the outcome of a task. */
  recordEnd(task: QueuedTask, end: TaskObservation, nowMs: number): void {
    const {agents} = this.options;
    const {isSuccess, runMs} = end;
    const {expectedMs} = task;
    agents.recordEnd(end.agent, {isSuccess, runMs, expectedMs}, nowMs);
    this.teams.changeOutstanding(task.team, -1);
    this.updateBlocking(task.team);
    if (runMs <= 0) return;
    this.queue.chargeTeam(task.team, runMs - expectedMs);
    const job = this.jobs.get(task.job);
    // The run time of a failed task is not representative of its class.
    if (job === undefined || !isSuccess) return;
    this.runTimes.record(job.taskClass, job.declaredMs[task.index], runMs);
  }

  /** Queues a task again that was proven not started. */
  recordReturned(task: QueuedTask, agent: string, nowMs: number): void {
    if (this.jobs.has(task.job)) {
      this.retryBudget = recordReturn(this.retryBudget, nowMs);
    }
    this.options.agents.recordReturned(agent);
    this.teams.changeOutstanding(task.team, -1);
    this.queue.returnTask(task);
    this.updateBlocking(task.team);
  }

  /** Removes a job and its waiting tasks; returns the number of these tasks. */
  removeJob(job: string): number {
    this.jobs.delete(job);
    return this.queue.removeJob(job);
  }

  private get workPerMs(): number {
    return this.options.agents.workPerMs / this.entries;
  }

  private decide(
    job: SubmittedJob,
    estimate: Pick<AdmissionRequest, 'workMs' | 'longestMs' | 'density'> & {
      readonly startByMs: number;
    },
    nowMs: number,
  ): Admission {
    const {agents, limits} = this.options;
    const {startByMs} = estimate;
    const tasks = job.declaredMs.length;
    const workAheadMs = this.queue.sumWorkAhead(job.team, startByMs);
    const admission = decideAdmission(
      {...estimate, tasks, deadlineMs: job.deadlineMs, workAheadMs},
      {
        ...limits,
        slots: agents.slots,
        workPerMs: this.workPerMs,
        waitingTasks: this.queue.size,
        jobs: this.jobs.size,
        cheapest: this.queue.findCheapest(),
      },
    );
    if (admission.kind === AdmissionKind.REFUSE) return admission;
    const retryAfterMs = this.teams.takeRate(job.team, tasks, nowMs);
    if (retryAfterMs === 0) return admission;
    return {
      kind: AdmissionKind.REFUSE,
      problem: Problem.QUOTA_EXCEEDED,
      detail: `Team "${job.team}" has used its rate of tasks.`,
      retryAfterMs,
    };
  }

  private add(
    job: SubmittedJob,
    expected: readonly number[],
    timing: {
      readonly rank: number;
      readonly startByMs: number;
      readonly idealMs: number;
    },
    nowMs: number,
  ): void {
    const {team, taskClass, declaredMs, value} = job;
    this.jobs.set(job.job, {
      team,
      taskClass,
      deadlineAtMs: nowMs + job.deadlineMs,
      idealMs: timing.idealMs,
      declaredMs,
      hasStarted: false,
    });
    const tasks = expected.map((expectedMs, index) => ({index, expectedMs}));
    const {rank, startByMs} = timing;
    this.queue.add({job: job.job, team, rank, startByMs, value, tasks});
    this.updateBlocking(team);
  }

  private chooseAgent(task: QueuedTask, nowMs: number): string | undefined {
    const {agents} = this.options;
    const waitedMs =
      this.unplacedSinceMs === undefined ? 0 : nowMs - this.unplacedSinceMs;
    const request = agents.describeRequest(
      task.expectedMs,
      this.queue.size,
      waitedMs,
      this.entries,
    );
    return agents.choose(request);
  }

  private updateBlocking(team: string): void {
    if (this.teams.isFull(team)) this.queue.blockTeam(team);
    else this.queue.unblockTeam(team);
  }
}
