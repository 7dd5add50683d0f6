/** The task of an entry that owns its jobs and its agents. */
import {repeatTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {listCandidates} from '../../decisions/choose_links.js';
import {ForecastTable} from '../../decisions/forecast_table.js';
import {computeJobBudget, JobBudget} from '../../decisions/job_budget.js';
import {WarmUp} from '../../decisions/warm_up.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {RequestLog} from '../../observe/request_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {EntryFrameKind, RunEnd} from '../../core/work_frames.js';
import type {EntryFrame} from '../../core/work_frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import {createActiveJob} from './active_job.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import {AdmissionController} from './admission_controller.js';
import {AgentFleet} from './agent_fleet.js';
import type {AgentSession} from './agent_session.js';
import {DeadlyTasks} from './deadly_tasks.js';
import {estimateWork, recordWork} from './job_forecast.js';
import {JobRegistry} from './job_registry.js';
import {findTrigger, PlacementLoop} from './placement_loop.js';
import {refuseJob, reserveJob} from './refuse_job.js';
import type {RefusalOptions} from './refuse_job.js';
import {SchedulerMessageKind} from './scheduler_messages.js';
import type {SchedulerMessage, SubmitMessage} from './scheduler_messages.js';
import type {SchedulerOptions} from './scheduler_options.js';
import {describeEntryStatus} from './entry_status.js';
import {TaskMover} from './task_mover.js';
import {TaskPlacer} from './task_placer.js';

/** Period in milliseconds of the checks of agents, deadlines and slow targets. */
const CHECK_PERIOD_MS = 50;

/** Period in milliseconds of the log line on backlog and free capacity. */
const STATUS_PERIOD_MS = 1000;

/** Maximum rate of the log lines on requests. */
const MAX_LOG_LINES_PER_SECOND = 200;

const MAILBOX_CAPACITY = 100_000;

/** Owns the jobs in progress, the agent sessions and all orders to agents. */
export class Scheduler {
  private readonly task: Task<SchedulerMessage>;
  private readonly jobs: JobRegistry;
  private readonly fleet: AgentFleet;
  private readonly deadly: DeadlyTasks;
  private readonly admission: AdmissionController;
  private readonly placer: TaskPlacer;
  private readonly mover: TaskMover;
  private readonly loop: PlacementLoop;
  private readonly refusals: RefusalOptions;
  private readonly forecasts: ForecastTable;
  private readonly warmUp: WarmUp;
  private configuration: FleetConfiguration | undefined;
  private entries: readonly string[];
  private isDraining = false;
  private nowMs = 0;
  /** Work that waits here as of the last check, in core-milliseconds. */
  private backlog = 0;
  private reportedAtMs = 0;

  private constructor(private readonly options: SchedulerOptions) {
    this.entries = [options.address];
    const planAhead = options.planAhead ?? false;
    this.warmUp = WarmUp.create(options.readMonotonicMs(), planAhead);
    this.forecasts = ForecastTable.create({weighsRepeats: planAhead});
    this.task = Task.create<SchedulerMessage>({
      name: 'scheduler',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    const linesPerSecond = MAX_LOG_LINES_PER_SECOND;
    const requests = RequestLog.create({...options, linesPerSecond});
    const budget = JobBudget.create(computeJobBudget(options.memoryMb));
    this.refusals = {requests, budget, metrics: options.metrics};
    this.fleet = AgentFleet.create({
      ...options,
      handleRunEnd: (session, report) => {
        if (report.end === RunEnd.DONE) this.deadly.recordSuccess(report.task);
        this.placer.recordEnd(session, report);
        this.jobs.endRun(session, report, this.nowMs);
      },
      handleCrash: (crash, agentLife) =>
        this.deadly.handleCrash(crash, agentLife, this.nowMs),
      handleRunStatus: (task, change) =>
        this.jobs.handleRunStatus(task, change),
      handleConfiguration: configuration =>
        this.handleConfiguration(configuration),
      getConfiguration: () => this.configuration,
      getBacklog: () => this.backlog,
      listEntriesFor: agent => listCandidates(agent, this.entries),
    });
    const {fleet} = this;
    this.jobs = JobRegistry.create({
      ...this.refusals,
      planAhead,
      sendStop: this.sendStop,
      scaleRun: ({report}, durationMs) =>
        (durationMs * this.fleet.speeds.typical) / report.slowness,
      reportServed: (job, isInTime) => this.recordServedJob(job, isInTime),
      releaseTask: ({name, agent}) => fleet.find(agent)?.tasks.delete(name),
    });
    const {jobs} = this;
    this.deadly = DeadlyTasks.create({...options, jobs, fleet});
    this.admission = AdmissionController.create({fleet, jobs});
    this.mover = TaskMover.create({
      fleet,
      jobs,
      sendStop: this.sendStop,
    });
    this.placer = TaskPlacer.create({
      ...options,
      fleet,
      jobs,
      deadly: this.deadly,
      listSessions: service => this.listUsable(service),
    });
    this.loop = PlacementLoop.create({
      ...options,
      countWaitingJobs: () => jobs.waiting.size,
      isConnected: () => fleet.isConnected,
      place: nowMs => this.placer.place(nowMs),
      flush: () => fleet.flush(),
    });
  }

  /** Creates a scheduler without jobs and agents, and starts its checks. */
  static create(options: SchedulerOptions): Scheduler {
    const scheduler = new Scheduler(options);
    // Deferred, so that sockets are read before the checks of a late timer run.
    const stop = repeatTimer(options.startTimer, CHECK_PERIOD_MS, () =>
      setImmediate(() => scheduler.post({kind: SchedulerMessageKind.TICK})),
    );
    scheduler.task.store.add(stop);
    return scheduler;
  }

  /** Posts a message to the scheduler. */
  get post(): Post<SchedulerMessage> {
    return this.task.post;
  }

  /** Stops the task and its timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  /** Sends a hello to an agent whose stream has opened. */
  sendHello(stream: FrameStream<EntryFrame>): void {
    const {incarnation, address, dataCentre} = this.options;
    stream.send([
      {kind: EntryFrameKind.HELLO, life: incarnation, address, dataCentre},
    ]);
  }

  private handle(message: SchedulerMessage): void {
    this.nowMs = this.options.readMonotonicMs();
    const {nowMs, jobs} = this;
    this.loop.observe(nowMs);
    switch (message.kind) {
      case SchedulerMessageKind.SUBMIT:
        this.submit(message);
        break;
      case SchedulerMessageKind.CALLER_DISCONNECTED:
        jobs.handleCallerDisconnect(message.job, message.caller, nowMs);
        break;
      case SchedulerMessageKind.CANCEL:
        message.answer(jobs.cancel(message.job, nowMs));
        break;
      case SchedulerMessageKind.QUERY:
        message.answer(jobs.findState(message.job));
        break;
      case SchedulerMessageKind.COUNT:
        message.answer(jobs.countWaiting(message.queue));
        break;
      case SchedulerMessageKind.AGENT_FRAMES:
        this.fleet.handleFrames(message.stream, message.frames, nowMs);
        break;
      case SchedulerMessageKind.AGENT_STREAM_ENDED:
        this.fleet.handleStreamEnd(message.stream, message.detail, nowMs);
        break;
      case SchedulerMessageKind.CONFIGURATION:
        this.handleConfiguration(message.configuration);
        break;
      case SchedulerMessageKind.ENTRIES:
        this.entries = [
          ...new Set([this.options.address, ...message.addresses]),
        ];
        this.fleet.publishEntries();
        break;
      case SchedulerMessageKind.FORECASTS:
        this.forecasts.merge(message.forecasts);
        break;
      case SchedulerMessageKind.TICK:
        this.runChecks();
        break;
      case SchedulerMessageKind.DRAIN:
        this.isDraining = true;
        break;
      case SchedulerMessageKind.END_UNFINISHED:
        jobs.endAllUnfinished(nowMs);
        break;
    }
    this.loop.schedule(findTrigger(message));
  }

  private submit(message: SubmitMessage): void {
    const {request, rule, caller, answer} = message;
    const existing = this.jobs.find(request.job);
    if (existing !== undefined) {
      existing.callers.set(caller, answer);
      return;
    }
    const {nowMs, jobs} = this;
    const expected = estimateWork(this.forecasts, request, nowMs);
    const overBudget = reserveJob(this.refusals, message, expected);
    if (overBudget) return refuseJob(this.refusals, message, overBudget);
    const job = createActiveJob(request, rule, expected, nowMs);
    if (this.deadly.isBarred(request.job)) {
      jobs.add(job, caller, answer);
      this.deadly.endIfBarred(job, nowMs);
      return;
    }
    const refusal = this.warmUp.isActive(nowMs)
      ? undefined
      : this.admission.findRefusal(job, this.listUsable(rule.service), nowMs);
    if (refusal && this.warmUp.allowRefusal(refusal.reason, nowMs)) {
      refuseJob(this.refusals, message, refusal);
    } else {
      jobs.add(job, caller, answer);
    }
  }

  private recordServedJob(job: ActiveJob, isInTime: boolean): void {
    // A job that was late on arrival says nothing about this entry.
    if (job.expected.elapsedMs > 0) return;
    this.admission.slackShare.record(isInTime);
    recordWork(this.forecasts, job);
  }

  private readonly sendStop = ({name, run, agent}: ActiveTask): void => {
    const frame = {kind: EntryFrameKind.STOP, task: name, run} as const;
    this.fleet.find(agent)?.send(frame);
  };

  private handleConfiguration(configuration: FleetConfiguration): void {
    const revision = this.configuration?.revision ?? 0;
    if (configuration.revision <= revision) return;
    this.configuration = configuration;
    this.options.applyConfiguration(configuration);
    this.fleet.publishConfiguration(configuration);
  }

  private runChecks(): void {
    this.fleet.check(this.nowMs);
    this.warmUp.record(this.fleet.targets, this.nowMs);
    this.backlog = Math.round(this.admission.sumBacklog(this.nowMs));
    this.mover.move(this.nowMs);
    this.jobs.expire(this.nowMs);
    this.deadly.expire(this.nowMs);
    this.jobs.endInfeasible(
      job => this.admission.isInfeasible(job, this.nowMs),
      () => this.admission.estimateRetryDelay(this.nowMs),
      this.nowMs,
    );
    this.reportStatus();
    const isReady = this.configuration !== undefined && !this.isDraining;
    this.options.reportReady(isReady);
    if (this.isDraining && this.jobs.size === 0) this.options.reportIdle();
  }

  private reportStatus(): void {
    const {nowMs, fleet, jobs, admission, placer} = this;
    if (nowMs - this.reportedAtMs < STATUS_PERIOD_MS) return;
    this.reportedAtMs = nowMs;
    // Earlier, most agents have not connected yet.
    if (this.warmUp.hasSettled(nowMs)) fleet.checkSubset();
    admission.recordKinds(nowMs);
    this.options.reportForecasts(this.forecasts.list());
    const {tasks, bytes} = this.refusals.budget;
    const fields = {
      ...describeEntryStatus({fleet, jobs, admission, placer}, nowMs),
      ...{heldTasks: tasks, heldBytes: bytes},
    };
    this.options.log(FleetEvent.STATUS, 'Status of the entry.', fields);
  }

  private listUsable(service: string): AgentSession[] {
    const dataCentresOut = this.configuration?.dataCentresOut ?? [];
    return this.fleet.listUsable(service, dataCentresOut, this.nowMs);
  }
}
