/** The task of an entry that owns its jobs and places their tasks. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import {repeatTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {judgeAdmission} from '../../decisions/admit_work.js';
import {
  chooseProbe,
  chooseQueue,
  isEligible,
} from '../../decisions/place_task.js';
import type {
  ChooseTarget,
  PlacementTarget,
} from '../../decisions/place_task.js';
import {judgeProspect, Prospect, rankJob} from '../../decisions/rank_work.js';
import {computeSlack} from '../../decisions/job_timing.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {RequestLog} from '../../observe/request_log.js';
import type {FleetConfiguration} from '../fleet_configuration.js';
import {EntryFrameKind, NotStartedCause, RunEnd} from '../frames.js';
import type {EntryFrame, RunEndReport} from '../frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import {JobEnd, JobReason} from '../work_job.js';
import type {JobAnswer} from '../work_job.js';
import {createActiveJob, listUnblocked} from './active_job.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import {AgentFleet, TaskNews} from './agent_fleet.js';
import type {AgentView} from './agent_view.js';
import {SchedulerMessageKind} from './scheduler_messages.js';
import type {SchedulerMessage} from './scheduler_messages.js';
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

/** What the scheduler needs to be created. */
export interface SchedulerOptions {
  readonly life: string;
  /** Address by which agents reach this entry, `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Run time away from the preferred rack, as a multiple. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly reportFailure: (failure: unknown) => void;
  /** Is told when the entry can take jobs and when it cannot. */
  readonly reportReady: (isReady: boolean) => void;
  /** Is handed a newer configuration, wherever it came from. */
  readonly applyConfiguration: (configuration: FleetConfiguration) => void;
  /** Is called once when a stop was asked for and no job is left. */
  readonly reportIdle: () => void;
}

/** Period of checks in milliseconds. */
const TICK_MS = 50;

/** Time in milliseconds that an order may wait at an agent that has no room. */
const PATIENCE_MS = 150;

/**
 * Time in milliseconds after its start in which an entry that has not met its
 * agents yet lets jobs wait: they reconnect within a second or two, and a job
 * that is refused then is lost.
 */
const WARM_UP_MS = 3000;

/** Time in milliseconds between two reports of what waits and what is free. */
const STATUS_PERIOD_MS = 1000;

/** Lines of requests that may be written each second. */
const LINES_PER_SECOND = 200;

const MAILBOX_CAPACITY = 100_000;

/** Times that the end of a job is remembered for questions, in milliseconds. */
const REMEMBER_MS = 10_000;

/** Owns the jobs that callers wait for, and every order given for them. */
export class Scheduler {
  private readonly task: Task<SchedulerMessage>;
  private readonly jobs = new Map<string, ActiveJob>();
  /** Jobs with tasks that wait for a place. */
  private readonly pending = new Set<ActiveJob>();
  private readonly ended = new Map<string, EndedJob>();
  private readonly fleet: AgentFleet;
  private readonly requests: RequestLog;
  private configuration: FleetConfiguration | undefined;
  private entries: readonly string[];
  private isLeaving = false;
  private isPlacementDue = false;
  private nowMs = 0;
  private reportedAtMs = 0;
  private readonly createdAtMs: number;

  private constructor(private readonly options: SchedulerOptions) {
    this.entries = [options.address];
    this.createdAtMs = options.readMonotonicMs();
    this.task = Task.create<SchedulerMessage>({
      name: 'scheduler',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    this.requests = RequestLog.create({
      ...options,
      linesPerSecond: LINES_PER_SECOND,
    });
    this.fleet = AgentFleet.create({
      ...options,
      takeEnd: (view, report) => this.takeEnd(view, report),
      takeNews: (task, news) => this.takeNews(task, news),
      takeConfiguration: configuration => this.configure(configuration),
      getConfiguration: () => this.configuration,
      describeBacklog: () => ({
        entries: this.entries,
        backlog: Math.round(this.sumBacklog(Infinity)),
        waitingJobs: {},
      }),
    });
  }

  /** Creates a scheduler without jobs and agents. */
  static create(options: SchedulerOptions): Scheduler {
    const scheduler = new Scheduler(options);
    // Deferred, so that a late timer does not judge before sockets are read.
    const stop = repeatTimer(options.startTimer, TICK_MS, () =>
      setImmediate(() => scheduler.post({kind: SchedulerMessageKind.TICK})),
    );
    scheduler.task.store.add(stop);
    return scheduler;
  }

  /** Hands a message to the scheduler. */
  get post(): Post<SchedulerMessage> {
    return this.task.post;
  }

  /** Stops the timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  /** Greets an agent whose stream has opened. */
  greet(stream: FrameStream<EntryFrame>): void {
    const {life, address, dataCentre} = this.options;
    stream.send([{kind: EntryFrameKind.HELLO, life, address, dataCentre}]);
  }

  private handle(message: SchedulerMessage): void {
    this.nowMs = this.options.readMonotonicMs();
    switch (message.kind) {
      case SchedulerMessageKind.SUBMIT:
        this.submit(message);
        break;
      case SchedulerMessageKind.CALLER_GONE:
        this.loseCaller(message.job, message.caller);
        break;
      case SchedulerMessageKind.CANCEL:
        this.cancel(message);
        break;
      case SchedulerMessageKind.QUERY:
        message.answer(
          this.jobs.get(message.job)?.state ??
            this.ended.get(message.job)?.state,
        );
        break;
      case SchedulerMessageKind.COUNT:
        message.answer(this.countWaiting(message.queue));
        break;
      case SchedulerMessageKind.AGENT_FRAMES:
        this.fleet.takeFrames(message.stream, message.frames, this.nowMs);
        break;
      case SchedulerMessageKind.AGENT_CLOSED:
        this.fleet.closeStream(message.stream, message.detail);
        break;
      case SchedulerMessageKind.CONFIGURATION:
        this.configure(message.configuration);
        break;
      case SchedulerMessageKind.ENTRIES:
        this.entries = [
          ...new Set([this.options.address, ...message.addresses]),
        ];
        break;
      case SchedulerMessageKind.TICK:
        this.tick();
        break;
      case SchedulerMessageKind.LEAVE:
        this.isLeaving = true;
        break;
    }
    this.schedulePlacement();
  }

  private submit(
    message: Extract<SchedulerMessage, {kind: SchedulerMessageKind.SUBMIT}>,
  ): void {
    const {request, rule, caller, answer} = message;
    const known = this.jobs.get(request.job);
    if (known !== undefined) {
      known.callers.set(caller, answer);
      return;
    }
    const job = createActiveJob(request, rule, this.nowMs);
    const refusal = this.judge(job);
    if (refusal !== undefined) {
      this.logJob(job, FleetEvent.JOB_REFUSED, `Refused: ${refusal.reason}.`, {
        retryAfterMs: refusal.retryAfterMs,
      });
      this.requests.finish(request.job, request.job, true);
      answer(refusal);
      return;
    }
    job.callers.set(caller, answer);
    this.jobs.set(request.job, job);
    this.unblock(job);
    this.logJob(job, FleetEvent.JOB_ADMITTED, 'Admitted.', {
      tasks: job.tasks.length,
      objectiveMs: Math.round(job.timing.objectiveMs),
    });
  }

  private judge(job: ActiveJob): JobAnswer | undefined {
    const {service} = job.rule;
    if (this.nowMs - this.createdAtMs < WARM_UP_MS) return undefined;
    const targets = this.listTargets(service);
    const {startByMs} = job.timing;
    const verdict = judgeAdmission({
      width: sumCores(
        job.tasks
          .filter(task => task.spec.after.length === 0)
          .map(task => task.spec.need.cpuMilli),
      ),
      aheadMs: this.estimateAhead(startByMs) + this.fleet.sumQueued(),
      cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
      freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
      slackMs: computeSlack(job.timing, this.fleet.medianSlowness()),
      hasTargets: targets.length > 0,
      isPlaceable: job.request.steps.every(step =>
        targets.some(target => isEligible(step, target)),
      ),
    });
    if (verdict.reason === JobReason.NONE) return undefined;
    const end =
      verdict.reason === JobReason.TOO_LARGE ? JobEnd.FAILED : JobEnd.REFUSED;
    const {reason, retryAfterMs} = verdict;
    return {end, reason, retryAfterMs};
  }

  /** Estimates the work to be done before a job that must begin by then. */
  private estimateAhead(startByMs: number): number {
    const own = this.sumBacklog(Infinity);
    const ahead = this.sumBacklog(startByMs);
    const share = own === 0 ? 0.5 : ahead / own;
    return ahead + this.fleet.sumPeerBacklog(this.nowMs) * share;
  }

  /** Sums the work that waits and can be in time; late work gives way to it. */
  private sumBacklog(startByMs: number): number {
    let sum = 0;
    for (const job of this.pending) {
      if (job.timing.startByMs > startByMs || !this.isInTime(job)) continue;
      sum += sumWork(
        job.tasks.filter(task => task.state === TaskState.WAITING),
      );
    }
    return sum;
  }

  private countWaiting(queue: string): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      if (job.rule.name === queue && job.state === JobState.WAITING) count += 1;
    }
    return count;
  }

  private loseCaller(name: string, caller: number): void {
    const job = this.jobs.get(name);
    if (job === undefined || !job.callers.delete(caller)) return;
    if (job.callers.size > 0) return;
    this.logJob(job, FleetEvent.CALLER_GONE, 'The caller has gone.');
    this.endJob(job, JobEvent.CANCEL, undefined);
  }

  private cancel(
    message: Extract<SchedulerMessage, {kind: SchedulerMessageKind.CANCEL}>,
  ): void {
    const job = this.jobs.get(message.job);
    message.answer(job !== undefined || this.ended.has(message.job));
    if (job === undefined) return;
    const {callers} = job;
    this.endJob(job, JobEvent.CANCEL, undefined);
    for (const answer of callers.values()) {
      answer({end: JobEnd.FAILED, reason: JobReason.NONE, retryAfterMs: 0});
    }
  }

  private configure(configuration: FleetConfiguration): void {
    const revision = this.configuration?.revision ?? 0;
    if (configuration.revision <= revision) return;
    this.configuration = configuration;
    this.options.applyConfiguration(configuration);
    this.fleet.publishConfiguration(configuration);
  }

  private tick(): void {
    this.fleet.check(this.nowMs);
    for (const job of [...this.jobs.values()]) this.checkDeadline(job);
    for (const [name, {endedAtMs}] of this.ended) {
      if (this.nowMs - endedAtMs < REMEMBER_MS) break;
      this.ended.delete(name);
    }
    this.reportStatus();
    const isReady = this.configuration !== undefined && !this.isLeaving;
    this.options.reportReady(isReady);
    if (this.isLeaving && this.jobs.size === 0) this.options.reportIdle();
  }

  private reportStatus(): void {
    if (this.nowMs - this.reportedAtMs < STATUS_PERIOD_MS) return;
    this.reportedAtMs = this.nowMs;
    const targets = this.fleet.listViews().map(view => view.describeTarget());
    this.options.log(FleetEvent.STATUS, 'Work at this entry.', {
      jobs: this.jobs.size,
      waitingJobs: this.pending.size,
      backlogMs: Math.round(this.sumBacklog(Infinity)),
      peerBacklogMs: Math.round(this.fleet.sumPeerBacklog(this.nowMs)),
      cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
      freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
      targets: targets.map(target =>
        [target.slowness, Math.round(target.free.cpuMilli / MILLI)].join(':'),
      ),
    });
  }

  private checkDeadline(job: ActiveJob): void {
    if (this.nowMs < job.timing.deadlineAtMs) return;
    const isUntouched = job.state === JobState.WAITING;
    this.endJob(job, isUntouched ? JobEvent.REFUSE : JobEvent.ABANDON, {
      end: isUntouched ? JobEnd.REFUSED : JobEnd.ABANDONED,
      reason: JobReason.DEADLINE,
      retryAfterMs: 0,
    });
  }

  private takeEnd(view: AgentView, report: RunEndReport): void {
    const task = view.tasks.get(report.task);
    if (task === undefined || task.run !== report.run) return;
    view.tasks.delete(report.task);
    switch (report.end) {
      case RunEnd.DONE:
        this.change(task, TaskEvent.DONE);
        task.job.left -= 1;
        this.advance(task.job);
        break;
      case RunEnd.FAILED:
        task.failures += 1;
        task.avoided.add(view.report.life);
        this.change(task, TaskEvent.FAILED);
        if (task.state === TaskState.FAILED) this.failJob(task.job);
        break;
      case RunEnd.STOPPED:
      case RunEnd.LOST:
      case RunEnd.NOT_STARTED:
        this.avoid(task, view, report.cause);
        this.change(task, TaskEvent.RETURNED);
        break;
    }
    this.notePending(task);
  }

  private avoid(
    task: ActiveTask,
    view: AgentView,
    cause: NotStartedCause,
  ): void {
    const isTargetsFault =
      cause === NotStartedCause.HUNG ||
      cause === NotStartedCause.TARGET_REFUSED;
    if (isTargetsFault) task.avoided.add(view.report.life);
  }

  private takeNews(task: ActiveTask, news: TaskNews): void {
    switch (news) {
      case TaskNews.AWAY:
        this.change(task, TaskEvent.AGENT_AWAY);
        break;
      case TaskNews.BACK:
        this.change(task, TaskEvent.AGENT_BACK);
        break;
      case TaskNews.RETURNED:
        this.fleet.find(task.agent)?.tasks.delete(task.name);
        this.change(task, TaskEvent.RETURNED);
        this.notePending(task);
        break;
    }
  }

  private advance(job: ActiveJob): void {
    if (job.left > 0) {
      this.unblock(job);
      return;
    }
    this.endJob(job, JobEvent.COMPLETE, {
      end: JobEnd.COMPLETED,
      reason: JobReason.NONE,
      retryAfterMs: 0,
    });
  }

  private failJob(job: ActiveJob): void {
    this.endJob(job, JobEvent.FAIL, {
      end: JobEnd.FAILED,
      reason: JobReason.ATTEMPTS_USED,
      retryAfterMs: 0,
    });
  }

  private unblock(job: ActiveJob): void {
    for (const task of listUnblocked(job)) {
      this.change(task, TaskEvent.UNBLOCK);
      this.notePending(task);
    }
  }

  private notePending(task: ActiveTask): void {
    if (task.state === TaskState.WAITING) this.pending.add(task.job);
  }

  private change(task: ActiveTask, event: TaskEvent): void {
    const step = TASK_CHART.step(
      task.state,
      event,
      guard =>
        guard === HAS_ATTEMPTS && task.failures < task.job.rule.attemptsAtMost,
    );
    task.state = step.state;
    if (!step.actions.includes(TaskAction.SEND_STOP)) return;
    const {name, run, agent} = task;
    this.fleet.find(agent)?.send({kind: EntryFrameKind.STOP, task: name, run});
  }

  private endJob(
    job: ActiveJob,
    event: JobEvent,
    answer: JobAnswer | undefined,
  ): void {
    job.state = JOB_CHART.step(job.state, event).state;
    this.jobs.delete(job.request.job);
    this.pending.delete(job);
    const {state} = job;
    this.ended.set(job.request.job, {state, endedAtMs: this.nowMs});
    for (const task of job.tasks) {
      this.change(task, TaskEvent.DROP);
      this.fleet.find(task.agent)?.tasks.delete(task.name);
    }
    this.logJob(job, FleetEvent.JOB_ENDED, `The job has ended: ${state}.`, {
      state,
      reason: answer?.reason,
      tookMs: Math.round(this.nowMs - job.timing.receivedAtMs),
      objectiveMs: Math.round(job.timing.objectiveMs),
    });
    const isLate =
      this.nowMs > job.timing.receivedAtMs + job.timing.objectiveMs;
    const isNotable = state !== JobState.COMPLETED || isLate;
    this.requests.finish(job.request.job, job.request.job, isNotable);
    if (answer === undefined) return;
    for (const tell of job.callers.values()) tell(answer);
  }

  private schedulePlacement(): void {
    if (this.isPlacementDue) return;
    this.isPlacementDue = true;
    setImmediate(() => {
      this.isPlacementDue = false;
      this.nowMs = this.options.readMonotonicMs();
      this.place();
      this.fleet.flush();
    });
  }

  private place(): void {
    if (this.pending.size === 0) return;
    const slowness = this.fleet.medianSlowness();
    const jobs = [...this.pending]
      .map(job => ({job, rank: rankJob(job, this.nowMs, slowness)}))
      .sort((a, b) => a.rank - b.rank);
    const full = new Set<string>();
    for (const {job, rank} of jobs) {
      const {service} = job.rule;
      if (full.has(service)) continue;
      const views = this.listViews(service);
      if (!this.placeJob(job, rank, views)) full.add(service);
    }
  }

  /** Places what can be placed; tells whether nothing was left for want of room. */
  private placeJob(
    job: ActiveJob,
    rank: number,
    views: readonly AgentView[],
  ): boolean {
    for (const task of job.tasks) {
      if (task.state !== TaskState.WAITING) continue;
      if (task.avoided.size >= views.length) task.avoided.clear();
      const view = this.chooseView(task, views);
      if (view === undefined) return false;
      this.order(task, view, rank);
    }
    this.pending.delete(job);
    return true;
  }

  private chooseView(
    task: ActiveTask,
    views: readonly AgentView[],
  ): AgentView | undefined {
    const {timing} = task.job;
    const need = {
      spec: task.spec,
      timeLeftMs: timing.receivedAtMs + timing.objectiveMs - this.nowMs,
      avoided: task.avoided,
      countOn: (agent: string) => countTasksOn(task, agent),
      farFactor: this.options.farFactor,
    };
    const targets = views.map(view => view.describeTarget());
    const canProbe = task.failures + 1 < task.job.rule.attemptsAtMost;
    const target =
      (canProbe ? chooseProbe(need, targets) : undefined) ??
      this.options.chooseTarget(need, targets) ??
      (this.isInTime(task.job) ? chooseQueue(need, targets) : undefined);
    return views.find(view => view.life === target?.agent);
  }

  private isInTime(job: ActiveJob): boolean {
    const slowness = this.fleet.medianSlowness();
    return judgeProspect(job, this.nowMs, slowness) === Prospect.IN_TIME;
  }

  private order(task: ActiveTask, view: AgentView, rank: number): void {
    const {job, spec} = task;
    const {request, rule} = job;
    task.run += 1;
    this.change(task, TaskEvent.PLACE);
    job.state = JOB_CHART.step(job.state, JobEvent.PLACE).state;
    view.sendOrder(task, {
      task: task.name,
      run: task.run,
      job: request.job,
      request: request.request,
      service: rule.service,
      payload: request.payload,
      need: spec.need,
      estimateMs: spec.estimateMs,
      slackMs: Math.round(rank - this.nowMs),
      patienceMs: PATIENCE_MS,
    });
    this.logJob(job, FleetEvent.TASK_PLACED, 'A task is placed.', {
      task: task.name,
      run: task.run,
      agent: view.greeting.agent,
    });
  }

  private listViews(service: string): AgentView[] {
    const out = this.configuration?.dataCentresOut ?? [];
    return this.fleet.listUsable(service, out, this.nowMs);
  }

  private listTargets(service: string): PlacementTarget[] {
    return this.listViews(service).map(view => view.describeTarget());
  }

  private logJob(
    job: ActiveJob,
    event: FleetEvent,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const {request, rule} = job;
    this.requests.note(request.job, event, message, {
      job: request.job,
      request: request.request,
      queue: rule.name,
      ...fields,
    });
  }
}

interface EndedJob {
  readonly state: JobState;
  readonly endedAtMs: number;
}

function countTasksOn(task: ActiveTask, agent: string): number {
  const isThere = (other: ActiveTask) =>
    other.step === task.step &&
    other.agent === agent &&
    (other.state === TaskState.PLACED || other.state === TaskState.UNPROVEN);
  return task.job.tasks.filter(isThere).length;
}

const MILLI = 1000;

function sumWork(tasks: readonly ActiveTask[]): number {
  return tasks.reduce(
    (sum, {spec}) => sum + (spec.need.cpuMilli / MILLI) * spec.estimateMs,
    0,
  );
}

function sumCores(milli: readonly number[]): number {
  return milli.reduce((sum, one) => sum + Math.max(0, one), 0) / MILLI;
}
