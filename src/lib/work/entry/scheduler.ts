/** The task of an entry that owns its jobs and its agents. */
import {repeatTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {ForecastTable} from '../../decisions/forecast_table.js';
import {computeCriticalPath} from '../../decisions/job_timing.js';
import type {ExpectedWork} from '../../decisions/work_forecast.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {RequestLog} from '../../observe/request_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {JobRequest} from '../../core/work_job.js';
import {EntryFrameKind} from '../../core/work_frames.js';
import type {EntryFrame} from '../../core/work_frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import {createActiveJob} from './active_job.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import {AdmissionDesk} from './admission_desk.js';
import {AgentFleet} from './agent_fleet.js';
import type {AgentView} from './agent_view.js';
import {JobLedger} from './job_ledger.js';
import {SchedulerMessageKind} from './scheduler_messages.js';
import type {SchedulerMessage} from './scheduler_messages.js';
import type {SchedulerOptions} from './scheduler_options.js';
import {describeWork} from './work_description.js';
import {TaskMover} from './task_mover.js';
import {TaskPlacer} from './task_placer.js';

/** Period of checks in milliseconds. */
const TICK_MS = 50;

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

/** Owns the jobs that callers wait for, and every order given for them. */
export class Scheduler {
  private readonly task: Task<SchedulerMessage>;
  private readonly ledger: JobLedger;
  private readonly fleet: AgentFleet;
  private readonly admission: AdmissionDesk;
  private readonly placer: TaskPlacer;
  private readonly mover: TaskMover;
  private readonly requests: RequestLog;
  private readonly forecasts = ForecastTable.create();
  private readonly createdAtMs: number;
  private configuration: FleetConfiguration | undefined;
  private entries: readonly string[];
  private isLeaving = false;
  private isPlacementDue = false;
  private nowMs = 0;
  private reportedAtMs = 0;

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
      takeEnd: (view, report) => this.ledger.takeEnd(view, report, this.nowMs),
      takeNews: (task, news) => this.ledger.takeNews(task, news),
      takeConfiguration: configuration => this.takeConfiguration(configuration),
      getConfiguration: () => this.configuration,
      describeBacklog: () => ({
        entries: this.entries,
        backlog: Math.round(this.admission.sumBacklog(this.nowMs)),
      }),
    });
    const {fleet} = this;
    this.ledger = JobLedger.create({
      requests: this.requests,
      metrics: options.metrics,
      sendStop: this.sendStop,
      scaleRun: ({report}, durationMs) =>
        (durationMs * this.fleet.speeds.typical) / report.slowness,
      reportServed: (job, isInTime) => this.learn(job, isInTime),
      release: ({name, agent}) => fleet.find(agent)?.tasks.delete(name),
    });
    const {ledger} = this;
    this.admission = AdmissionDesk.create({fleet, ledger});
    this.mover = TaskMover.create({
      fleet,
      ledger,
      sendStop: this.sendStop,
    });
    this.placer = TaskPlacer.create({
      ...options,
      fleet,
      ledger,
      listViews: service => this.listViews(service),
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
    const {nowMs, ledger} = this;
    switch (message.kind) {
      case SchedulerMessageKind.SUBMIT:
        this.submit(message);
        break;
      case SchedulerMessageKind.CALLER_GONE:
        ledger.loseCaller(message.job, message.caller, nowMs);
        break;
      case SchedulerMessageKind.CANCEL:
        message.answer(ledger.cancel(message.job, nowMs));
        break;
      case SchedulerMessageKind.QUERY:
        message.answer(ledger.findState(message.job));
        break;
      case SchedulerMessageKind.COUNT:
        message.answer(ledger.countWaiting(message.queue));
        break;
      case SchedulerMessageKind.AGENT_FRAMES:
        this.fleet.takeFrames(message.stream, message.frames, nowMs);
        break;
      case SchedulerMessageKind.AGENT_CLOSED:
        this.fleet.closeStream(message.stream, message.detail);
        break;
      case SchedulerMessageKind.CONFIGURATION:
        this.takeConfiguration(message.configuration);
        break;
      case SchedulerMessageKind.ENTRIES:
        this.entries = [
          ...new Set([this.options.address, ...message.addresses]),
        ];
        break;
      case SchedulerMessageKind.FORECASTS:
        this.forecasts.merge(message.forecasts);
        break;
      case SchedulerMessageKind.TICK:
        this.runChecks();
        break;
      case SchedulerMessageKind.LEAVE:
        this.isLeaving = true;
        break;
      case SchedulerMessageKind.GIVE_UP:
        ledger.giveUpAll(nowMs);
        break;
    }
    this.schedulePlacement();
  }

  private submit(
    message: Extract<SchedulerMessage, {kind: SchedulerMessageKind.SUBMIT}>,
  ): void {
    const {request, rule, caller, answer} = message;
    const known = this.ledger.find(request.job);
    if (known !== undefined) {
      known.callers.set(caller, answer);
      return;
    }
    const {nowMs, ledger} = this;
    const job = createActiveJob(
      request,
      rule,
      this.estimateWork(request),
      nowMs,
    );
    const isWarmingUp = nowMs - this.createdAtMs < WARM_UP_MS;
    const refusal = isWarmingUp
      ? undefined
      : this.admission.judge(job, this.listViews(rule.service), nowMs);
    if (refusal === undefined) {
      ledger.add(job, caller, answer);
      return;
    }
    const {reason, retryAfterMs} = refusal;
    ledger.record(job, FleetEvent.JOB_REFUSED, `Refused: ${reason}.`, {
      retryAfterMs,
    });
    this.options.metrics.countRefusal(rule.name, reason);
    this.requests.finish(request.job, request.job, true);
    answer(refusal);
  }

  private estimateWork({steps, deadlineMs, queue}: JobRequest): ExpectedWork {
    const estimateMs = computeCriticalPath(steps);
    return this.forecasts.estimate(queue, {estimateMs, deadlineMs});
  }

  private learn(job: ActiveJob, isInTime: boolean): void {
    const {request, expected, longestRunMs} = job;
    // What was late before it came tells nothing of the work here.
    if (expected.elapsedMs > 0) return;
    this.admission.waitShare.record(isInTime);
    const {steps, queue, deadlineMs} = request;
    // A chain of several steps is longer than its longest task.
    if (steps.length > 1) return;
    const estimateMs = computeCriticalPath(steps);
    this.forecasts.record(queue, {estimateMs, deadlineMs}, longestRunMs);
  }

  private readonly sendStop = ({name, run, agent}: ActiveTask): void => {
    const frame = {kind: EntryFrameKind.STOP, task: name, run} as const;
    this.fleet.find(agent)?.send(frame);
  };

  private takeConfiguration(configuration: FleetConfiguration): void {
    const revision = this.configuration?.revision ?? 0;
    if (configuration.revision <= revision) return;
    this.configuration = configuration;
    this.options.applyConfiguration(configuration);
    this.fleet.publishConfiguration(configuration);
  }

  private runChecks(): void {
    this.fleet.check(this.nowMs);
    this.mover.move(this.nowMs);
    this.ledger.expire(this.nowMs);
    this.ledger.giveUpHopeless(
      job => this.admission.isUseless(job, this.nowMs),
      () => this.admission.estimateReturn(this.nowMs),
      this.nowMs,
    );
    this.reportStatus();
    const isReady = this.configuration !== undefined && !this.isLeaving;
    this.options.reportReady(isReady);
    if (this.isLeaving && this.ledger.size === 0) this.options.reportIdle();
  }

  private reportStatus(): void {
    const {nowMs, fleet, ledger, admission} = this;
    if (nowMs - this.reportedAtMs < STATUS_PERIOD_MS) return;
    this.reportedAtMs = nowMs;
    this.options.reportForecasts(this.forecasts.list());
    const fields = describeWork(fleet, ledger, admission, nowMs);
    this.options.log(FleetEvent.STATUS, 'Work at this entry.', fields);
  }

  private schedulePlacement(): void {
    if (this.isPlacementDue) return;
    this.isPlacementDue = true;
    setImmediate(() => {
      this.isPlacementDue = false;
      this.nowMs = this.options.readMonotonicMs();
      this.placer.place(this.nowMs);
      this.fleet.flush();
    });
  }

  private listViews(service: string): AgentView[] {
    const out = this.configuration?.dataCentresOut ?? [];
    return this.fleet.listUsable(service, out, this.nowMs);
  }
}
