/** The task of an entry that owns jobs and assigns their tasks to agents. */
import {repeatTimer} from '../core/clock.js';
import {Problem} from '../core/job.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import {AgentLoadTable} from '../decisions/agent_load_table.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import type {JobEvent} from '../decisions/job_charts.js';
import {PlanStepKind, WorkPlanner} from '../decisions/work_planner.js';
import {StoreContact} from '../records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import type {PresenceEvent} from './agent_session.js';
import {AgentRegistry} from './agent_registry.js';
import {selectAgentConfiguration} from './agent_registry_options.js';
import type {AgentStatus} from './agent_registry_options.js';
import {createDispatcherCounters} from './dispatcher_counters.js';
import type {DispatcherGauges} from './dispatcher_counters.js';
import {DispatcherMessageKind} from './dispatcher_messages.js';
import type {DispatcherMessage} from './dispatcher_messages.js';
import type {DispatcherOptions} from './dispatcher_options.js';
import {JobTable} from './job_table.js';
import {KeyTableRegistry} from './key_table_registry.js';
import {SubmissionHandler} from './submission_handler.js';

const MAILBOX_CAPACITY = 1_000_000;
const TICK_PERIOD_MS = 100;

/** Time in milliseconds without any target before jobs are refused. */
const NO_TARGET_GRACE_MS = 3000;

/**
 * Owns the callers' sessions, the running jobs and the agents' sessions.
 *
 * A task is sent to one agent at a time. It is sent to another one only if it
 * provably did not start: the agent refused it or never received it.
 */
export class Dispatcher {
  private readonly task: Task<DispatcherMessage>;
  private readonly agentLoads: AgentLoadTable;
  private readonly planner: WorkPlanner;
  private readonly keyTables: KeyTableRegistry;
  private readonly submissions: SubmissionHandler;
  private readonly jobs: JobTable;
  private readonly agents: AgentRegistry;
  private view: ConfigurationView | undefined;
  private evidence: ConfigurationEvidence = {
    contact: StoreContact.LOST,
    confirmedSentAtMs: 0,
  };
  private isLeaving = false;
  private isRefusing = false;
  private lastTargetAtMs: number;
  /** Counts since the start of the process. */
  readonly counters = createDispatcherCounters();

  private constructor(private readonly options: DispatcherOptions) {
    this.agentLoads = AgentLoadTable.create({
      policy: options.policy,
      drawRandom: options.drawRandom,
      dataCentre: options.identity.dataCentre,
    });
    this.planner = WorkPlanner.create({
      agents: this.agentLoads,
      rankJob: options.rankJob,
      limits: options.limits,
    });
    this.keyTables = KeyTableRegistry.create(
      options.identity.incarnation,
      options.keyTableLimits,
      options.publishHeld,
    );
    this.submissions = SubmissionHandler.create({
      incarnation: options.identity.incarnation,
      keyTables: this.keyTables,
      getJobs: () => this.jobs,
      counters: this.counters,
      readMonotonicMs: options.readMonotonicMs,
      getView: () => this.view,
    });
    this.jobs = this.createJobTable();
    this.agents = this.createAgentRegistry();
    this.lastTargetAtMs = options.readMonotonicMs();
    this.task = Task.create<DispatcherMessage>({
      name: 'dispatcher',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the dispatcher and starts its periodic check. */
  static create(options: DispatcherOptions): Dispatcher {
    const dispatcher = new Dispatcher(options);
    const {store, post} = dispatcher.task;
    const check = () => post({kind: DispatcherMessageKind.TICK});
    store.add(() => dispatcher.agents.stopTimers());
    store.add(() => dispatcher.jobs.stopTimers());
    store.add(repeatTimer(options.startTimer, TICK_PERIOD_MS, check));
    return dispatcher;
  }

  /** Posts a message to the dispatcher's mailbox. */
  get post(): Post<DispatcherMessage> {
    return this.task.post;
  }

  /** Whether a configuration is known and no stop has begun. */
  get isReady(): boolean {
    return this.view !== undefined && !this.isLeaving;
  }

  /** Returns the current numbers of jobs, waiting tasks and keys. */
  describeGauges(): DispatcherGauges {
    const {size: jobsRunning} = this.jobs;
    const {waiting: tasksWaiting} = this.planner;
    return {jobsRunning, tasksWaiting, keys: this.keyTables.keys};
  }

  /** Describes each agent with a session, for status pages. */
  listAgents(): AgentStatus[] {
    return this.agents.listAgents();
  }

  /** Stops the task and its timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private createJobTable(): JobTable {
    const {options} = this;
    return JobTable.create({
      identity: options.identity,
      planner: this.planner,
      counters: this.counters,
      readMonotonicMs: options.readMonotonicMs,
      startTimer: options.startTimer,
      postTimer: (job, event) =>
        void this.post({kind: DispatcherMessageKind.JOB_TIMER, job, event}),
      withdraw: (agent, sequence) => this.agents.withdraw(agent, sequence),
      getView: () => this.view,
      isPlannable: nowMs => this.isPlannable(nowMs),
      recordAnswer: (key, answer) => this.submissions.recordAnswer(key, answer),
      releaseKey: key => this.submissions.releaseKey(key),
      reportJob: options.reportJob,
      reportTask: options.reportTask,
    });
  }

  private createAgentRegistry(): AgentRegistry {
    const {options} = this;
    return AgentRegistry.create({
      identity: options.identity,
      agentLoads: this.agentLoads,
      counters: this.counters,
      returnLimitMs: options.returnLimitMs,
      readMonotonicMs: options.readMonotonicMs,
      startTimer: options.startTimer,
      defer: options.defer,
      postTimer: (agent, event) =>
        void this.post({kind: DispatcherMessageKind.AGENT_TIMER, agent, event}),
      endTask: (task, agent, report) => this.jobs.endTask(task, agent, report),
      describeConfiguration: () => selectAgentConfiguration(this.view),
      describePong: pingSentAtMs => ({
        pingSentAtMs,
        contact: this.evidence.contact,
        confirmedAgeMs:
          options.readMonotonicMs() - this.evidence.confirmedSentAtMs,
        configurationRevision: this.view?.revision ?? 0,
        isLeaving: this.isLeaving,
      }),
      reportAgent: options.reportAgent,
    });
  }

  private handle(message: DispatcherMessage): void {
    this.handleByKind(message);
    this.placeTasks();
    if (this.isRefusing && this.jobs.size === 0) this.options.reportIdle();
  }

  private handleByKind(message: DispatcherMessage): void {
    switch (message.kind) {
      case DispatcherMessageKind.OPEN_SESSION:
        this.submissions.openSession(message.team, message.reply);
        break;
      case DispatcherMessageKind.SUBMIT:
        this.submissions.submit(message);
        break;
      case DispatcherMessageKind.LOOK_UP:
        this.submissions.lookUp(message.key, message.reply);
        break;
      case DispatcherMessageKind.CANCEL:
        this.submissions.cancel(message.key, message.reply);
        break;
      case DispatcherMessageKind.JOB_TIMER:
        this.jobs.handleTimer(message.job, message.event as JobEvent);
        break;
      case DispatcherMessageKind.AGENT_HELLO:
        this.agents.handleHello(message.stream, message.hello);
        break;
      case DispatcherMessageKind.AGENT_FRAME:
        this.agents.handleFrame(message.stream, message.frame);
        break;
      case DispatcherMessageKind.AGENT_CLOSED:
        this.agents.handleClosedStream(message.stream);
        break;
      case DispatcherMessageKind.AGENT_TIMER:
        this.agents.handleTimer(message.agent, message.event as PresenceEvent);
        break;
      case DispatcherMessageKind.VIEW:
        this.applyView(message.view);
        break;
      case DispatcherMessageKind.EVIDENCE:
        this.evidence = message.evidence;
        break;
      case DispatcherMessageKind.TICK:
        this.check();
        break;
      case DispatcherMessageKind.LEAVE:
        this.isLeaving = true;
        break;
      case DispatcherMessageKind.REFUSE_WORK:
        this.isRefusing = true;
        this.submissions.stopAccepting();
        break;
      case DispatcherMessageKind.LIST_KEY_TABLES:
        message.receive(
          this.keyTables.listSnapshots(this.options.readMonotonicMs()),
        );
        break;
      case DispatcherMessageKind.ADOPT_KEY_TABLE:
        this.keyTables.adopt(message.keyTable, this.options.readMonotonicMs());
        message.confirm();
        break;
    }
  }

  private applyView(view: ConfigurationView): void {
    this.view = view;
    this.planner.applyTeams(view.teams.values(), view.entries.length);
    this.agents.publishConfiguration();
  }

  private check(): void {
    const nowMs = this.options.readMonotonicMs();
    this.agents.disconnectUnresponsiveAgents(nowMs);
    this.agentLoads.refreshAll(nowMs);
    if (this.agentLoads.slots > 0) this.lastTargetAtMs = nowMs;
    this.keyTables.expire(nowMs);
    this.jobs.check(nowMs);
  }

  // Agents reconnect quickly, so jobs wait for a target for the grace period
  // before the planner may refuse them.
  private isPlannable(nowMs: number): boolean {
    if (this.agentLoads.slots > 0) return true;
    return nowMs - this.lastTargetAtMs >= NO_TARGET_GRACE_MS;
  }

  private placeTasks(): void {
    const nowMs = this.options.readMonotonicMs();
    for (;;) {
      const step = this.planner.takeStep(nowMs);
      if (step === undefined) return;
      switch (step.kind) {
        case PlanStepKind.SEND:
          this.sendTask(step.task, step.agent, nowMs);
          break;
        case PlanStepKind.REFUSE:
          this.jobs.abandon(step.job, Problem.DEADLINE_UNREACHABLE);
          break;
      }
    }
  }

  private sendTask(task: QueuedTask, agent: string, nowMs: number): void {
    const job = this.jobs.getJob(task.job);
    if (job === undefined) return;
    const {team, taskClass, trace} = job.run.specification;
    const sequence = this.agents.sendStart(
      agent,
      {
        job: task.job,
        index: task.index,
        team,
        taskClass,
        payload: job.payloads[task.index],
        startWithinMs: Math.max(1, Math.ceil(job.deadlineAtMs - nowMs)),
        runWithinMs: job.runWithinMs,
        trace,
      },
      task,
    );
    if (sequence === undefined) return;
    this.jobs.recordSent(job, task.index, {agent, sequence});
  }
}
