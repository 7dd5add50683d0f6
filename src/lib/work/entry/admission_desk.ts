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
import type {AgentView} from './agent_view.js';
import type {JobLedger} from './job_ledger.js';
import {TaskState} from './work_charts.js';

/** What the desk looks at. */
export interface AdmissionDeskOptions {
  readonly fleet: AgentFleet;
  readonly ledger: JobLedger;
}

/** Thousandths in a core. */
const MILLI = 1000;

/** Slowness of a typical target, against which all are measured. */
const AVERAGE_SLOWNESS = 1;

/** Shortest time in milliseconds after which a caller is asked to come again. */
const LEAST_RETURN_MS = 1000;

/** Share of a peer's work taken to be ahead while nothing waits here. */
const PEER_SHARE = 0.5;

/** Judges jobs for the scheduler, which owns it. */
export class AdmissionDesk {
  /** How much of its slack a job may be expected to wait. */
  readonly waitShare = SlackShare.create();

  private constructor(private readonly options: AdmissionDeskOptions) {}

  /** Creates a desk. */
  static create(options: AdmissionDeskOptions): AdmissionDesk {
    return new AdmissionDesk(options);
  }

  /** Returns the refusal of a job, or undefined to admit it. */
  judge(
    job: ActiveJob,
    views: readonly AgentView[],
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
        this.estimateAhead(timing.startByMs, nowMs) + fleet.sumQueued(),
      cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
      freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
      slackMs: computeSlack(timing, AVERAGE_SLOWNESS) * this.waitShare.value,
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
        .listViews()
        .filter(view => view.report.service === job.rule.service),
    );
    return job.request.steps.every(step =>
      [...usable, ...known].some(target => isEligible(step, target)),
    );
  }

  /** Sums the work that waits and can be in time; late work gives way to it. */
  sumBacklog(nowMs: number, startByMs = Infinity): number {
    let sum = 0;
    for (const job of this.options.ledger.waiting) {
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
  isUseless(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.WORTHLESS;
  }

  /** Estimates in milliseconds when there is room again. */
  estimateReturn(nowMs: number): number {
    const {fleet} = this.options;
    const targets = fleet.describeTargets(fleet.listViews());
    const cores = sumCores(targets.map(target => target.capacity.cpuMilli));
    const aheadMs = this.sumBacklog(nowMs) + fleet.peers.sum(nowMs);
    return Math.max(LEAST_RETURN_MS, aheadMs / Math.max(1, cores));
  }

  /** Tells whether a job can still be in time. */
  isInTime(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.IN_TIME;
  }

  /** Estimates the work to be done before a job that must begin by then. */
  private estimateAhead(startByMs: number, nowMs: number): number {
    const own = this.sumBacklog(nowMs);
    const ahead = this.sumBacklog(nowMs, startByMs);
    const share = own === 0 ? PEER_SHARE : ahead / own;
    return ahead + this.options.fleet.peers.sum(nowMs) * share;
  }
}

/** Sums the work of tasks by their estimates, in core-milliseconds. */
function sumWork(tasks: readonly ActiveTask[]): number {
  return tasks.reduce(
    (sum, {spec}) => sum + (spec.need.cpuMilli / MILLI) * spec.estimateMs,
    0,
  );
}

/** Sums thousandths of cores, those below 0 left out, in cores. */
export function sumCores(milli: readonly number[]): number {
  return milli.reduce((sum, one) => sum + Math.max(0, one), 0) / MILLI;
}
