/** All decisions of an entry about its work: admission, order and placement. */
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

/** What a planner is created with. */
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
  /** Declared run time of each task; 0 if none. */
  readonly declaredMs: readonly number[];
}

/** What the owner of a planner does next. */
export enum PlanStepKind {
  /** Send a task to an agent. */
  SEND = 'send',
  /** Tell a job that has not started that it cannot be in time. */
  GIVE_UP = 'give-up',
}

/** One thing to do. */
export type PlanStep =
  | {
      readonly kind: PlanStepKind.SEND;
      readonly task: QueuedTask;
      readonly agent: string;
    }
  | {readonly kind: PlanStepKind.GIVE_UP; readonly job: string};

/** The answer to a submission, with the jobs that had to make room for it. */
export interface SubmissionDecision {
  readonly admission: Admission;
  /** Jobs that have not started and never will. */
  readonly shed: readonly string[];
}

/** How a task ended that had been sent. */
export interface TaskObservation {
  readonly agent: string;
  readonly isSuccess: boolean;
  /** Run time at the target; 0 if not known. */
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
 * Decides what an entry does with its jobs, from submission to the last task.
 *
 * The owner passes in times, submissions and ends, and carries out admissions
 * and steps. The board is the owner's too: it applies the agents' reports.
 */
export class WorkPlanner {
  private readonly queue = FairQueue.create();
  private readonly teams = TeamQuota.create();
  private readonly runTimes = ClassRunTimes.create();
  private readonly jobs = new Map<string, PlannedJob>();
  private entries = 1;
  /** When the head of the queue could first not be placed; undefined if it could. */
  private heldSinceMs: number | undefined;
  private retryBudget = FULL_BUDGET;

  private constructor(private readonly options: WorkPlannerOptions) {}

  /** Creates a planner without jobs. */
  static create(options: WorkPlannerOptions): WorkPlanner {
    return new WorkPlanner(options);
  }

  /** Number of tasks that wait. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Takes the teams' limits and the number of live entries. */
  applyTeams(teams: Iterable<TeamLimits>, entries: number): void {
    const list = [...teams];
    this.entries = Math.max(1, entries);
    this.teams.applyTeams(list, entries);
    for (const {name, weight} of list) {
      this.queue.setWeight(name, weight);
      this.settleTeam(name);
    }
  }

  /** Decides on a job; one that is admitted waits from now on. */
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

  /** Returns the next thing to do, or undefined until something changes. */
  takeStep(nowMs: number): PlanStep | undefined {
    const head = this.queue.peek();
    if (head === undefined) return undefined;
    const job = this.jobs.get(head.job)!;
    if (!job.hasStarted && isInfeasible(nowMs, job.deadlineAtMs, job.idealMs)) {
      this.removeJob(head.job);
      return {kind: PlanStepKind.GIVE_UP, job: head.job};
    }
    if (isPaused(this.retryBudget, nowMs)) return undefined;
    const agent = this.chooseAgent(head, nowMs);
    if (agent === undefined) {
      this.heldSinceMs ??= nowMs;
      return undefined;
    }
    this.heldSinceMs = undefined;
    job.hasStarted = true;
    this.queue.take();
    this.retryBudget = recordSend(this.retryBudget);
    this.options.agents.recordSent(agent);
    this.teams.count(head.team, 1);
    this.settleTeam(head.team);
    return {kind: PlanStepKind.SEND, task: head, agent};
  }

  /** Learns how a task ended. */
  recordEnd(task: QueuedTask, end: TaskObservation, nowMs: number): void {
    const {agents: board} = this.options;
    const {isSuccess, runMs} = end;
    const {expectedMs} = task;
    board.recordEnd(end.agent, {isSuccess, runMs, expectedMs}, nowMs);
    this.teams.count(task.team, -1);
    this.settleTeam(task.team);
    if (runMs <= 0) return;
    this.queue.chargeTeam(task.team, runMs - expectedMs);
    const job = this.jobs.get(task.job);
    // A failure may take any time; it says nothing of the class.
    if (job === undefined || !isSuccess) return;
    this.runTimes.record(job.taskClass, job.declaredMs[task.index], runMs);
  }

  /** Lets a task wait again that was proven not started. */
  recordReturned(task: QueuedTask, agent: string, nowMs: number): void {
    if (this.jobs.has(task.job)) {
      this.retryBudget = recordReturn(this.retryBudget, nowMs);
    }
    this.options.agents.recordReturned(agent);
    this.teams.count(task.team, -1);
    this.queue.returnTask(task);
    this.settleTeam(task.team);
  }

  /** Forgets a job and drops those of its tasks that wait; returns how many. */
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
    const {agents: board, limits} = this.options;
    const {startByMs} = estimate;
    const tasks = job.declaredMs.length;
    const workAheadMs = this.queue.sumWorkAhead(job.team, startByMs);
    const admission = decideAdmission(
      {...estimate, tasks, deadlineMs: job.deadlineMs, workAheadMs},
      {
        ...limits,
        slots: board.slots,
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
    place: {
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
      idealMs: place.idealMs,
      declaredMs,
      hasStarted: false,
    });
    const tasks = expected.map((expectedMs, index) => ({index, expectedMs}));
    const {rank, startByMs} = place;
    this.queue.add({job: job.job, team, rank, startByMs, value, tasks});
    this.settleTeam(team);
  }

  private chooseAgent(task: QueuedTask, nowMs: number): string | undefined {
    const {agents: board} = this.options;
    const heldMs =
      this.heldSinceMs === undefined ? 0 : nowMs - this.heldSinceMs;
    const need = board.describeRequest(
      task.expectedMs,
      this.queue.size,
      heldMs,
      this.entries,
    );
    return board.choose(need);
  }

  private settleTeam(team: string): void {
    if (this.teams.isFull(team)) this.queue.blockTeam(team);
    else this.queue.unblockTeam(team);
  }
}
