/** Weighs a job against the work of an entry and its targets. */
import {judgeAdmission} from '../../decisions/admit_work.js';
import {computeSlack} from '../../decisions/job_timing.js';
import {isEligible} from '../../decisions/place_task.js';
import type {PlacementTarget} from '../../decisions/place_task.js';
import {judgeFeasibility, Feasibility} from '../../decisions/rank_work.js';
import {SlackShare} from '../../decisions/slack_share.js';
import {JobEnd, JobReason} from '../../core/work_job.js';
import type {JobAnswer} from '../../core/work_job.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {TaskState} from './work_charts.js';

/** What the desk looks at. */
export interface AdmissionControllerOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
}

/** Thousandths in a core. */
const MILLICORES_PER_CORE = 1000;

/** Slowness of a typical target, against which all are measured. */
const TYPICAL_SLOWNESS = 1;

/** Shortest time in milliseconds after which a caller is asked to come again. */
const MIN_RETRY_DELAY_MS = 1000;

/** Share of a peer's work taken to be ahead while nothing waits here. */
const PEER_BACKLOG_SHARE = 0.5;

/** Judges jobs for the scheduler, which owns it. */
export class AdmissionController {
  /** How much of its slack a job may be expected to wait. */
  readonly waitShare = SlackShare.create();

  private constructor(private readonly options: AdmissionControllerOptions) {}

  /** Creates a desk. */
  static create(options: AdmissionControllerOptions): AdmissionController {
    return new AdmissionController(options);
  }

  /** Returns the refusal of a job, or undefined to admit it. */
  findRefusal(
    job: ActiveJob,
    views: readonly AgentSession[],
    nowMs: number,
  ): JobAnswer | undefined {
    const {fleet} = this.options;
    const {timing} = job;
    // Nobody can vouch that an earlier attempt of its caller has not run.
    if (job.expected.elapsedMs > 0) return undefined;
    const targets = fleet.describeTargets(views);
    const verdict = judgeAdmission({
      requestedCores: sumCores(
        job.tasks
          .filter(task => task.spec.after.length === 0)
          .map(task => task.spec.need.cpuMilli),
      ),
      backlogMs:
        this.estimateWorkAhead(timing.startByMs, nowMs) + fleet.sumQueued(),
      cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
      freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
      slackMs: computeSlack(timing, TYPICAL_SLOWNESS) * this.waitShare.value,
      hasTargets: targets.length > 0,
      isPlaceable: this.isPlaceable(job, targets),
    });
    const {reason, retryAfterMs} = verdict;
    if (reason === JobReason.NONE) return undefined;
    const end = reason === JobReason.TOO_LARGE ? JobEnd.FAILED : JobEnd.REFUSED;
    return {end, reason, retryAfterMs};
  }

  /**
   * Tells whether each step fits some target that serves the queue or served it
   * lately: one that is away or out for a while may be the only one that does.
   */
  private isPlaceable(
    job: ActiveJob,
    usable: readonly PlacementTarget[],
  ): boolean {
    const {fleet} = this.options;
    const known = fleet.describeTargets(
      fleet
        .listSessions()
        .filter(view => view.report.service === job.rule.service),
    );
    return job.request.steps.every(step =>
      [...usable, ...known].some(target => isEligible(step, target)),
    );
  }

  /** Sums the work that waits and can be in time; late work gives way to it. */
  sumBacklog(nowMs: number, startByMs = Infinity): number {
    let sum = 0;
    for (const job of this.options.jobs.waiting) {
      if (job.timing.startByMs > startByMs || !this.isInTime(job, nowMs)) {
        continue;
      }
      sum += sumWork(
        job.tasks.filter(task => task.state === TaskState.WAITING),
      );
    }
    return sum;
  }

  /** Tells whether the answer to a job has no worth to its caller any more. */
  isInfeasible(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.WORTHLESS;
  }

  /** Estimates in milliseconds when there is room again. */
  estimateRetryDelay(nowMs: number): number {
    const {fleet} = this.options;
    const targets = fleet.describeTargets(fleet.listSessions());
    const cores = sumCores(targets.map(target => target.capacity.cpuMilli));
    const aheadMs = this.sumBacklog(nowMs) + fleet.peerBacklogs.sum(nowMs);
    return Math.max(MIN_RETRY_DELAY_MS, aheadMs / Math.max(1, cores));
  }

  /** Tells whether a job can still be in time. */
  isInTime(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.IN_TIME;
  }

  /** Estimates the work to be done before a job that must begin by then. */
  private estimateWorkAhead(startByMs: number, nowMs: number): number {
    const own = this.sumBacklog(nowMs);
    const ahead = this.sumBacklog(nowMs, startByMs);
    const share = own === 0 ? PEER_BACKLOG_SHARE : ahead / own;
    return ahead + this.options.fleet.peerBacklogs.sum(nowMs) * share;
  }
}

/** Sums the work of tasks by their estimates, in core-milliseconds. */
function sumWork(tasks: readonly ActiveTask[]): number {
  return tasks.reduce(
    (sum, {spec}) =>
      sum + (spec.need.cpuMilli / MILLICORES_PER_CORE) * spec.estimateMs,
    0,
  );
}

/** Sums thousandths of cores, those below 0 left out, in cores. */
export function sumCores(milli: readonly number[]): number {
  return (
    milli.reduce((sum, one) => sum + Math.max(0, one), 0) / MILLICORES_PER_CORE
  );
}
