/** Queue of the tasks that wait at an entry, shared fairly between teams. */
import {IndexedHeap} from './indexed_heap.js';
import {computeDensity} from './rank_job.js';
import {WorkHistogram} from './work_histogram.js';

/** One task of a waiting job. */
export interface WaitingTask {
  readonly index: number;
  readonly expectedMs: number;
}

/** A job to be queued. */
export interface WaitingJob {
  readonly job: string;
  readonly team: string;
  /** Rank within the team, lowest first; see `RankJob`. */
  readonly rank: number;
  /** Latest start in milliseconds that meets the job's deadline. */
  readonly startByMs: number;
  readonly value: number;
  readonly tasks: readonly WaitingTask[];
}

/** A task taken from the queue; it may be returned to it. */
export interface QueuedTask extends WaitingTask {
  readonly job: string;
  readonly team: string;
}

/** A job of which no task has been taken: a candidate for shedding. */
export interface UnstartedJob {
  readonly job: string;
  readonly tasks: number;
  /** Value per millisecond of expected work. */
  readonly density: number;
}

interface QueuedJob {
  readonly job: string;
  readonly team: QueuedTeam;
  readonly density: number;
  rank: number;
  readonly startByMs: number;
  /** Served from the end, so that taking and returning a task cost O(1). */
  readonly tasks: WaitingTask[];
  workMs: number;
}

interface QueuedTeam {
  readonly name: string;
  readonly jobs: IndexedHeap<QueuedJob>;
  weight: number;
  /** Virtual start time of the team's next task. */
  startTag: number;
  tasks: number;
  readonly histogram: WorkHistogram;
  isBlocked: boolean;
}

/** Weight of a team without a configured one. */
const DEFAULT_WEIGHT = 1;

/** Least weight; avoids division by zero. */
const MIN_WEIGHT = 1e-3;

/** Subtracted from the rank of a job whose task was returned, to serve it first. */
const FRONT_OFFSET = 1e15;

/**
 * Queues tasks by start-time fair queueing between teams (Goyal, Vin and
 * Cheng, 1996) and by rank within a team, where a job's tasks stay together.
 *
 * A team's virtual time advances by expected run time over weight with each task
 * taken. Between continuously backlogged teams, the service in proportion to
 * weight differs by at most one task each; an idle team gains no credit.
 */
export class FairQueue {
  private readonly teams = new Map<string, QueuedTeam>();
  private readonly jobs = new Map<string, QueuedJob>();
  private readonly order = IndexedHeap.create<QueuedTeam>(
    (a, b) => a.startTag - b.startTag || (a.name < b.name ? -1 : 1),
  );
  private readonly unstarted = IndexedHeap.create<QueuedJob>(
    (a, b) => a.density - b.density,
  );
  private virtualTime = 0;
  private taskCount = 0;
  private workSum = 0;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): FairQueue {
    return new FairQueue();
  }

  /** Number of waiting tasks. */
  get size(): number {
    return this.taskCount;
  }

  /** Total expected run time in milliseconds of the waiting tasks. */
  get workMs(): number {
    return this.workSum;
  }

  /** Returns the number of waiting tasks of a team. */
  getTeamSize(team: string): number {
    return this.teams.get(team)?.tasks ?? 0;
  }

  /**
   * Estimates the work in milliseconds that is served before a new job: that of
   * its own team which has to start no later, plus the other teams' shares in
   * that time. Whatever the order of service, assuming less would make some
   * admitted job late.
   */
  sumWorkAhead(team: string, startByMs: number): number {
    const queuedTeam = this.teams.get(team);
    const own = queuedTeam?.histogram.sumUpTo(startByMs) ?? 0;
    const weight = queuedTeam?.weight ?? DEFAULT_WEIGHT;
    let weights =
      queuedTeam === undefined || queuedTeam.tasks === 0 ? weight : 0;
    for (const each of this.teams.values()) {
      if (each.tasks > 0) weights += each.weight;
    }
    return Math.min(this.workSum, (own * weights) / weight);
  }

  /** Returns the number of waiting tasks of a job. */
  getJobSize(job: string): number {
    return this.jobs.get(job)?.tasks.length ?? 0;
  }

  /** Adds a job; its longest tasks are served first. */
  add(job: WaitingJob): void {
    const tasks = [...job.tasks].sort((a, b) => a.expectedMs - b.expectedMs);
    const workMs = sumWork(tasks);
    const queuedJob: QueuedJob = {
      job: job.job,
      team: this.ensureTeam(job.team),
      density: computeDensity({value: job.value, workMs}),
      rank: job.rank,
      startByMs: job.startByMs,
      tasks,
      workMs: 0,
    };
    this.jobs.set(job.job, queuedJob);
    this.updateTotals(queuedJob, tasks.length, workMs);
    this.unstarted.add(queuedJob);
    this.addToTeam(queuedJob);
  }

  /** Returns the next task without removing it. */
  peek(): QueuedTask | undefined {
    const queuedJob = this.order.first?.jobs.first;
    if (queuedJob === undefined) return undefined;
    return describeTask(queuedJob, queuedJob.tasks[queuedJob.tasks.length - 1]);
  }

  /** Removes and returns the task that `peek` returns. */
  take(): QueuedTask | undefined {
    const team = this.order.first;
    const queuedJob = team?.jobs.first;
    if (team === undefined || queuedJob === undefined) return undefined;
    const task = queuedJob.tasks.pop()!;
    this.virtualTime = Math.max(this.virtualTime, team.startTag);
    team.startTag += task.expectedMs / team.weight;
    this.updateTotals(queuedJob, -1, -task.expectedMs);
    this.unstarted.remove(queuedJob);
    if (queuedJob.tasks.length === 0) team.jobs.remove(queuedJob);
    this.updateOrder(team);
    return describeTask(queuedJob, task);
  }

  /** Returns a task that was proven not started to the front of its team's tasks. */
  returnTask(task: QueuedTask): void {
    const queuedJob = this.jobs.get(task.job);
    if (queuedJob === undefined) return;
    queuedJob.tasks.push({index: task.index, expectedMs: task.expectedMs});
    this.updateTotals(queuedJob, 1, task.expectedMs);
    if (queuedJob.rank > -FRONT_OFFSET / 2) queuedJob.rank -= FRONT_OFFSET;
    queuedJob.team.startTag -= task.expectedMs / queuedJob.team.weight;
    this.addToTeam(queuedJob);
  }

  /** Removes a job and its waiting tasks; returns the number of these tasks. */
  removeJob(job: string): number {
    const queuedJob = this.jobs.get(job);
    if (queuedJob === undefined) return 0;
    const dropped = queuedJob.tasks.length;
    this.jobs.delete(job);
    this.unstarted.remove(queuedJob);
    queuedJob.team.jobs.remove(queuedJob);
    this.updateTotals(queuedJob, -dropped, -queuedJob.workMs);
    this.updateOrder(queuedJob.team);
    return dropped;
  }

  /** Returns the unstarted job of least value per work, if any. */
  findCheapest(): UnstartedJob | undefined {
    const queuedJob = this.unstarted.first;
    if (queuedJob === undefined) return undefined;
    const {job, density} = queuedJob;
    return {job, density, tasks: queuedJob.tasks.length};
  }

  /** Sets a team's weight relative to the other teams. */
  setWeight(team: string, weight: number): void {
    this.ensureTeam(team).weight = Math.max(MIN_WEIGHT, weight);
  }

  /** Skips a team until it is unblocked. */
  blockTeam(team: string): void {
    const queuedTeam = this.ensureTeam(team);
    queuedTeam.isBlocked = true;
    this.updateOrder(queuedTeam);
  }

  /** Resumes service of a blocked team. */
  unblockTeam(team: string): void {
    const queuedTeam = this.teams.get(team);
    if (queuedTeam === undefined || !queuedTeam.isBlocked) return;
    queuedTeam.isBlocked = false;
    this.activateTeam(queuedTeam);
  }

  /**
   * Corrects a team's virtual time by the difference between the actual and the
   * expected run time of a task; a negative correction never moves the team ahead
   * of the others.
   */
  chargeTeam(team: string, extraMs: number): void {
    const queuedTeam = this.teams.get(team);
    if (queuedTeam === undefined) return;
    const tag = queuedTeam.startTag + extraMs / queuedTeam.weight;
    const floor = Math.min(queuedTeam.startTag, this.virtualTime);
    queuedTeam.startTag = Math.max(floor, tag);
    this.order.update(queuedTeam);
  }

  private ensureTeam(name: string): QueuedTeam {
    const known = this.teams.get(name);
    if (known !== undefined) return known;
    const team: QueuedTeam = {
      name,
      jobs: IndexedHeap.create<QueuedJob>((a, b) => a.rank - b.rank),
      weight: DEFAULT_WEIGHT,
      startTag: this.virtualTime,
      tasks: 0,
      histogram: WorkHistogram.create(),
      isBlocked: false,
    };
    this.teams.set(name, team);
    return team;
  }

  private updateTotals(
    queuedJob: QueuedJob,
    tasks: number,
    workMs: number,
  ): void {
    queuedJob.workMs += workMs;
    queuedJob.team.tasks += tasks;
    queuedJob.team.histogram.add(queuedJob.startByMs, workMs);
    this.taskCount += tasks;
    // Resets the rounding error that floating-point sums accumulate.
    this.workSum = this.taskCount === 0 ? 0 : this.workSum + workMs;
  }

  private addToTeam(queuedJob: QueuedJob): void {
    if (queuedJob.tasks.length === 0) return;
    queuedJob.team.jobs.add(queuedJob);
    this.activateTeam(queuedJob.team);
  }

  private activateTeam(team: QueuedTeam): void {
    if (!this.order.has(team)) {
      team.startTag = Math.max(team.startTag, this.virtualTime);
    }
    this.updateOrder(team);
  }

  private updateOrder(team: QueuedTeam): void {
    if (team.isBlocked || team.jobs.size === 0) this.order.remove(team);
    else this.order.add(team);
  }
}

function describeTask(queuedJob: QueuedJob, task: WaitingTask): QueuedTask {
  return {...task, job: queuedJob.job, team: queuedJob.team.name};
}

function sumWork(tasks: readonly WaitingTask[]): number {
  return tasks.reduce((sum, task) => sum + task.expectedMs, 0);
}
