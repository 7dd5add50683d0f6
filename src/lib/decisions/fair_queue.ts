/** The tasks that wait at an entry, shared fairly between teams. */
import {IndexedHeap} from './indexed_heap.js';
import {computeDensity} from './rank_job.js';
import {WorkHistogram} from './work_histogram.js';

/** One task of a waiting job. */
export interface WaitingTask {
  readonly index: number;
  readonly expectedMs: number;
}

/** A job whose tasks are to wait. */
export interface WaitingJob {
  readonly job: string;
  readonly team: string;
  /** Order within the team; see `RankJob`. */
  readonly rank: number;
  /** Time at which the job has to start in order to meet its deadline. */
  readonly startByMs: number;
  readonly value: number;
  readonly tasks: readonly WaitingTask[];
}

/** A task as it leaves the queue and as it may be given back. */
export interface QueuedTask extends WaitingTask {
  readonly job: string;
  readonly team: string;
}

/** A job of which nothing has been taken, as a candidate for shedding. */
export interface UnstartedJob {
  readonly job: string;
  readonly tasks: number;
  /** Value for each millisecond of expected work. */
  readonly density: number;
}

interface JobEntry {
  readonly job: string;
  readonly team: TeamEntry;
  readonly density: number;
  rank: number;
  readonly startByMs: number;
  /** Served from the end, so that taking and giving back cost O(1). */
  readonly tasks: WaitingTask[];
  workMs: number;
}

interface TeamEntry {
  readonly name: string;
  readonly jobs: IndexedHeap<JobEntry>;
  weight: number;
  /** Virtual time at which the team's next task is due. */
  startTag: number;
  tasks: number;
  readonly ledger: WorkHistogram;
  isBlocked: boolean;
}

/** Weight of a team without a configured one. */
const DEFAULT_WEIGHT = 1;

/** Least weight, against division by zero. */
const LEAST_WEIGHT = 1e-3;

/** Taken from the rank of a job to which a task was given back. */
const FRONT_OFFSET = 1e15;

/**
 * Queues tasks by start-time fair queueing between teams (Goyal, Vin and
 * Cheng, 1996) and by rank within a team, where a job's tasks stay together.
 *
 * A team's virtual time advances by expected run time over weight with each
 * task taken. Between teams that always wait, service in proportion to weight
 * differs by at most one task each; a team that was idle gains no credit.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamEntry>();
  private readonly jobs = new Map<string, JobEntry>();
  private readonly order = IndexedHeap.create<TeamEntry>(
    (a, b) => a.startTag - b.startTag || (a.name < b.name ? -1 : 1),
  );
  private readonly untouched = IndexedHeap.create<JobEntry>(
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

  /** Number of tasks that wait. */
  get size(): number {
    return this.taskCount;
  }

  /** Expected run time in milliseconds of all tasks that wait. */
  get workMs(): number {
    return this.workSum;
  }

  /** Number of tasks of a team that wait. */
  getTeamSize(team: string): number {
    return this.teams.get(team)?.tasks ?? 0;
  }

  /**
   * Estimates the work in milliseconds that has to be done before a new job:
   * that of its own team which has to start no later, with the other teams'
   * shares beside it. Whatever the order of service, less would make some job
   * that was admitted late.
   */
  sumWorkAhead(team: string, startByMs: number): number {
    const entry = this.teams.get(team);
    const own = entry?.ledger.sumUpTo(startByMs) ?? 0;
    const weight = entry?.weight ?? DEFAULT_WEIGHT;
    let weights = entry === undefined || entry.tasks === 0 ? weight : 0;
    for (const each of this.teams.values()) {
      if (each.tasks > 0) weights += each.weight;
    }
    return Math.min(this.workSum, (own * weights) / weight);
  }

  /** Number of tasks of a job that wait. */
  getJobSize(job: string): number {
    return this.jobs.get(job)?.tasks.length ?? 0;
  }

  /** Adds a job; the tasks expected to take longest come first. */
  add(job: WaitingJob): void {
    const tasks = [...job.tasks].sort((a, b) => a.expectedMs - b.expectedMs);
    const workMs = sumWork(tasks);
    const entry: JobEntry = {
      job: job.job,
      team: this.ensureTeam(job.team),
      density: computeDensity({value: job.value, workMs}),
      rank: job.rank,
      startByMs: job.startByMs,
      tasks,
      workMs: 0,
    };
    this.jobs.set(job.job, entry);
    this.count(entry, tasks.length, workMs);
    this.untouched.add(entry);
    this.enlist(entry);
  }

  /** Returns the task to be sent next without taking it. */
  peek(): QueuedTask | undefined {
    const entry = this.order.first?.jobs.first;
    if (entry === undefined) return undefined;
    return describeTask(entry, entry.tasks[entry.tasks.length - 1]);
  }

  /** Takes the task that `peek` returns. */
  take(): QueuedTask | undefined {
    const team = this.order.first;
    const entry = team?.jobs.first;
    if (team === undefined || entry === undefined) return undefined;
    const task = entry.tasks.pop()!;
    this.virtualTime = Math.max(this.virtualTime, team.startTag);
    team.startTag += task.expectedMs / team.weight;
    this.count(entry, -1, -task.expectedMs);
    this.untouched.remove(entry);
    if (entry.tasks.length === 0) team.jobs.remove(entry);
    this.settle(team);
    return describeTask(entry, task);
  }

  /** Puts a task that was proven not started in front of its team's tasks. */
  returnTask(task: QueuedTask): void {
    const entry = this.jobs.get(task.job);
    if (entry === undefined) return;
    entry.tasks.push({index: task.index, expectedMs: task.expectedMs});
    this.count(entry, 1, task.expectedMs);
    if (entry.rank > -FRONT_OFFSET / 2) entry.rank -= FRONT_OFFSET;
    entry.team.startTag -= task.expectedMs / entry.team.weight;
    this.enlist(entry);
  }

  /** Forgets a job and drops those of its tasks that wait; returns how many. */
  removeJob(job: string): number {
    const entry = this.jobs.get(job);
    if (entry === undefined) return 0;
    const dropped = entry.tasks.length;
    this.jobs.delete(job);
    this.untouched.remove(entry);
    entry.team.jobs.remove(entry);
    this.count(entry, -dropped, -entry.workMs);
    this.settle(entry.team);
    return dropped;
  }

  /** Returns the untouched job that delivers least for its work. */
  findCheapest(): UnstartedJob | undefined {
    const entry = this.untouched.first;
    if (entry === undefined) return undefined;
    const {job, density} = entry;
    return {job, density, tasks: entry.tasks.length};
  }

  /** Sets a team's share against the others. */
  setWeight(team: string, weight: number): void {
    this.ensureTeam(team).weight = Math.max(LEAST_WEIGHT, weight);
  }

  /** Passes over a team until it is unblocked. */
  blockTeam(team: string): void {
    const entry = this.ensureTeam(team);
    entry.isBlocked = true;
    this.settle(entry);
  }

  /** Serves a team again. */
  unblockTeam(team: string): void {
    const entry = this.teams.get(team);
    if (entry === undefined || !entry.isBlocked) return;
    entry.isBlocked = false;
    this.activate(entry);
  }

  /**
   * Corrects what a team has paid for a task whose run time was not as
   * expected; a negative correction never leaves the team ahead of the rest.
   */
  chargeTeam(team: string, extraMs: number): void {
    const entry = this.teams.get(team);
    if (entry === undefined) return;
    const tag = entry.startTag + extraMs / entry.weight;
    const floor = Math.min(entry.startTag, this.virtualTime);
    entry.startTag = Math.max(floor, tag);
    this.order.update(entry);
  }

  private ensureTeam(name: string): TeamEntry {
    const known = this.teams.get(name);
    if (known !== undefined) return known;
    const team: TeamEntry = {
      name,
      jobs: IndexedHeap.create<JobEntry>((a, b) => a.rank - b.rank),
      weight: DEFAULT_WEIGHT,
      startTag: this.virtualTime,
      tasks: 0,
      ledger: WorkHistogram.create(),
      isBlocked: false,
    };
    this.teams.set(name, team);
    return team;
  }

  private count(entry: JobEntry, tasks: number, workMs: number): void {
    entry.workMs += workMs;
    entry.team.tasks += tasks;
    entry.team.ledger.add(entry.startByMs, workMs);
    this.taskCount += tasks;
    // Sums of fractions drift; an empty queue has no work.
    this.workSum = this.taskCount === 0 ? 0 : this.workSum + workMs;
  }

  private enlist(entry: JobEntry): void {
    if (entry.tasks.length === 0) return;
    entry.team.jobs.add(entry);
    this.activate(entry.team);
  }

  private activate(team: TeamEntry): void {
    if (!this.order.has(team)) {
      team.startTag = Math.max(team.startTag, this.virtualTime);
    }
    this.settle(team);
  }

  private settle(team: TeamEntry): void {
    if (team.isBlocked || team.jobs.size === 0) this.order.remove(team);
    else this.order.add(team);
  }
}

function describeTask(entry: JobEntry, task: WaitingTask): QueuedTask {
  return {...task, job: entry.job, team: entry.team.name};
}

function sumWork(tasks: readonly WaitingTask[]): number {
  return tasks.reduce((sum, task) => sum + task.expectedMs, 0);
}
