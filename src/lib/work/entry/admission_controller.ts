/** Decides whether an entry admits a job, given its backlog and its targets. */
import {CapacityFit, judgeAdmission} from '../../decisions/admit_work.js';
import {computeSlack} from '../../decisions/job_timing.js';
import {KnownTargetKinds} from '../../decisions/known_target_kinds.js';
import {isEligible} from '../../decisions/place_task.js';
import {judgeFeasibility, Feasibility} from '../../decisions/rank_work.js';
import {SlackShare} from '../../decisions/slack_share.js';
import {JobEnd, JobReason} from '../../core/work_job.js';
import type {JobAnswer, StepSpec} from '../../core/work_job.js';
import type {ActiveJob} from './active_job.js';
import type {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import type {JobRegistry} from './job_registry.js';
import {TaskState} from './work_charts.js';

/** State that the admission of a job depends on. */
export interface AdmissionControllerOptions {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
}

const MILLI_PER_CORE = 1000;

/** Slowness of a typical target, relative to which all are measured. */
const TYPICAL_SLOWNESS = 1;

/** Minimum time in milliseconds after which a refused caller is asked to retry. */
const MIN_RETRY_DELAY_MS = 1000;

/** Maximum number of kinds of target that an entry remembers. */
const KINDS_PER_ENTRY = 1000;

/** Time in milliseconds for which a kind of target is remembered that no agent reports. */
const KIND_RETENTION_MS = 3_600_000;

/** Share of the peers' backlog assumed to be ahead while this entry has none. */
const PEER_BACKLOG_SHARE = 0.5;

/** Admission control of the scheduler, which owns it. */
export class AdmissionController {
  /** Share of its slack that a job may be expected to wait. */
  readonly slackShare = SlackShare.create();

  private readonly kinds = KnownTargetKinds.create(KINDS_PER_ENTRY);

  private constructor(private readonly options: AdmissionControllerOptions) {}

  /** Creates a controller with the initial share of slack. */
  static create(options: AdmissionControllerOptions): AdmissionController {
    return new AdmissionController(options);
  }

  /** Returns the refusal of a job, or undefined to admit it. */
  findRefusal(
    job: ActiveJob,
    sessions: readonly AgentSession[],
    nowMs: number,
  ): JobAnswer | undefined {
    const {fleet} = this.options;
    const {timing} = job;
    // An earlier attempt of its caller may have run, so it must not be refused.
    if (job.expected.mayBeRepeat) return undefined;
    const verdict = judgeAdmission({
      requestedCores: sumCores(
        job.tasks
          .filter(task => task.spec.after.length === 0)
          .map(task => task.spec.need.cpuMilli),
      ),
      backlogMs:
        this.estimateWorkAhead(timing.startByMs, nowMs) + fleet.sumQueued(),
      cores: sumCores(sessions.map(({report}) => report.capacity.cpuMilli)),
      freeCores: sumCores(sessions.map(({free}) => free.cpuMilli)),
      slackMs: computeSlack(timing, TYPICAL_SLOWNESS) * this.slackShare.value,
      hasTargets: sessions.length > 0,
      fit: this.judgeFit(job, sessions, nowMs),
    });
    const {reason, retryAfterMs} = verdict;
    if (reason === JobReason.NONE) return undefined;
    const end = reason === JobReason.TOO_LARGE ? JobEnd.FAILED : JobEnd.REFUSED;
    return {end, reason, retryAfterMs};
  }

  /** Records the kinds of target that the agents report. */
  recordKinds(nowMs: number): void {
    for (const {report} of this.options.fleet.listSessions()) {
      this.kinds.record(report, nowMs);
      for (const kind of report.kinds ?? []) this.kinds.record(kind, nowMs);
    }
    this.kinds.forgetBefore(nowMs - KIND_RETENTION_MS);
  }

  /**
   * Judges whether each step fits some target that serves the queue now or did
   * recently: the only one that fits may be disconnected, or in a data centre
   * that is out of service for a while. Only the kinds of target tell what can
   * never run, since a target may report less capacity for a while.
   */
  private judgeFit(
    {request, rule: {service}}: ActiveJob,
    usable: readonly AgentSession[],
    nowMs: number,
  ): CapacityFit {
    const {steps} = request;
    const isFitFor = (step: StepSpec) => (session: AgentSession) =>
      session.report.service === service && isEligible(step, session.report);
    const fitsNow = steps.every(
      step =>
        usable.some(isFitFor(step)) ||
        this.options.fleet.listSessions().some(isFitFor(step)),
    );
    if (fitsNow) return CapacityFit.NOW;
    this.recordKinds(nowMs);
    return steps.every(step => this.kinds.hasCapacityFor(service, step))
      ? CapacityFit.LATER
      : CapacityFit.NEVER;
  }

  /** Sums the waiting work that can be in time, in core-milliseconds. */
  sumBacklog(nowMs: number): number {
    return this.measureBacklog(nowMs, Infinity).all;
  }

  /**
   * Sums the waiting work that can be in time, in core-milliseconds: all of it,
   * and the part that goes ahead of a job. Late work is not counted, because it
   * yields to work in time.
   *
   * @param startByMs Latest start of the job.
   */
  private measureBacklog(
    nowMs: number,
    startByMs: number,
  ): {readonly all: number; readonly ahead: number} {
    let all = 0;
    let ahead = 0;
    for (const job of this.options.jobs.waiting) {
      if (!this.isInTime(job, nowMs)) continue;
      const work = sumWaitingWork(job);
      all += work;
      if (job.timing.startByMs <= startByMs) ahead += work;
    }
    return {all, ahead};
  }

  /** Returns whether the answer to a job would come too late to be of use. */
  isInfeasible(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.WORTHLESS;
  }

  /** Estimates the time in milliseconds until capacity is free again. */
  estimateRetryDelay(nowMs: number): number {
    const {fleet} = this.options;
    const targets = fleet.describeTargets(fleet.listSessions(), nowMs);
    const cores = sumCores(targets.map(target => target.capacity.cpuMilli));
    const aheadMs = this.sumBacklog(nowMs) + fleet.peerBacklog;
    return Math.max(MIN_RETRY_DELAY_MS, aheadMs / Math.max(1, cores));
  }

  /** Returns whether a job can still be in time. */
  isInTime(job: ActiveJob, nowMs: number): boolean {
    const {fast} = this.options.fleet.speeds;
    return judgeFeasibility(job, nowMs, fast) === Feasibility.IN_TIME;
  }

  /**
   * Estimates the work ahead of a job, in core-milliseconds.
   *
   * @param startByMs Latest start of the job.
   */
  private estimateWorkAhead(startByMs: number, nowMs: number): number {
    const {all: ownBacklog, ahead} = this.measureBacklog(nowMs, startByMs);
    const share = ownBacklog === 0 ? PEER_BACKLOG_SHARE : ahead / ownBacklog;
    return ahead + this.options.fleet.peerBacklog * share;
  }
}

/** Sums the estimated work of a job's waiting tasks, in core-milliseconds. */
function sumWaitingWork(job: ActiveJob): number {
  let sum = 0;
  for (const {state, spec} of job.tasks) {
    if (state !== TaskState.WAITING) continue;
    sum += (spec.need.cpuMilli / MILLI_PER_CORE) * spec.estimateMs;
  }
  return sum;
}

/** Sums processor shares given in millicores, in cores; negative values count as 0. */
export function sumCores(cpus: readonly number[]): number {
  return cpus.reduce((sum, cpu) => sum + Math.max(0, cpu), 0) / MILLI_PER_CORE;
}
