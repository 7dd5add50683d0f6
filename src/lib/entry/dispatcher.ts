/** The task of an entry that owns its jobs and places their tasks. */
import {repeatTimer} from '../core/clock.js';
import type {DrawRandom, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobSpecification} from '../core/job.js';
import {TargetCondition} from '../core/link_messages.js';
import type {
  AgentConfiguration,
  AgentFrame,
  AgentHello,
  LoadReport,
  TaskReport,
} from '../core/link_messages.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import {AgentBoard} from '../decisions/agent_board.js';
import type {PlacementPolicy} from '../decisions/choose_agent.js';
import {FairQueue} from '../decisions/fair_queue.js';
import {
  Aftermath,
  EntryTaskState,
  JobAction,
  JobEvent,
  JobRun,
} from '../decisions/job_run.js';
import type {JobAnswer} from '../decisions/job_run.js';
import {KeyLedger, LedgerVerdict} from '../decisions/key_ledger.js';
import type {LedgerFinding, LedgerLimits} from '../decisions/key_ledger.js';
import type {RankJob} from '../decisions/rank_job.js';
import {StoreContact} from '../records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import {
  AgentAccount,
  PresenceAction,
  PresenceEvent,
  PresenceState,
} from './agent_account.js';
import type {SentTask} from './agent_account.js';
import {DispatcherMessageKind, ReplyKind} from './dispatcher_messages.js';
import type {
  AgentStreamHandle,
  DispatcherMessage,
  JobDraft,
  OwnKey,
  Refusal,
  Reply,
} from './dispatcher_messages.js';

const MAILBOX_CAPACITY = 1_000_000;
const TICK_PERIOD_MS = 100;

/** Silence in milliseconds after which an agent gets no new task. */
const SILENCE_LIMIT_MS = 2500;

/** Time in milliseconds that a failing job waits for tasks that have started. */
const SETTLE_MS = 5000;

/** Time in milliseconds without any target after which jobs are refused. */
const NO_TARGET_PATIENCE_MS = 3000;

const DEFAULT_CLASS = 'default';
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_RUN_WITHIN_MS = 30_000;
const DEFAULT_VALUE = 1;
const RETRY_AFTER_MS = 1000;

/** What the dispatcher needs to be created. */
export interface DispatcherOptions {
  readonly identity: ProcessIdentity;
  readonly ledger: LedgerLimits;
  readonly tasksPerJobAtMost: number;
  readonly waitingTasksAtMost: number;
  readonly jobsAtMost: number;
  readonly resultBytesAtMost: number;
  /** How long a broken stream may take to return, in milliseconds. */
  readonly returnLimitMs: number;
  readonly policy: PlacementPolicy;
  readonly rankJob: RankJob;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
  readonly reportAgent: (state: PresenceState, agent: ProcessIdentity) => void;
  readonly reportJob: (ended: EndedJob) => void;
  readonly reportTask: (ended: EndedTask) => void;
  /** Is told when no job runs after `LEAVE`. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/** A job that has been answered, for logs and metrics. */
export interface EndedJob {
  readonly job: string;
  readonly team: string;
  readonly taskClass: string;
  readonly trace: string;
  readonly outcome: Outcome;
  readonly problem: Problem | undefined;
  readonly tasks: number;
  readonly durationMs: number;
}

/** A task that has ended, for metrics. */
export interface EndedTask {
  readonly team: string;
  readonly taskClass: string;
  readonly end: TaskEnd;
  readonly runMs: number;
  readonly queuedMs: number;
}

/** Counts since the start of the process. */
export interface DispatcherCounters {
  jobs: number;
  jobsComplete: number;
  jobsFailed: number;
  jobsRefused: number;
  tasks: number;
  ordersSent: number;
  ordersReturned: number;
  withdrawals: number;
  framesSent: number;
  loadReports: number;
  pings: number;
}

/** What the dispatcher knows of one agent, for status pages. */
export interface AgentStatus {
  readonly agent: ProcessIdentity;
  readonly state: PresenceState;
  readonly load: LoadReport;
  readonly outstanding: number;
}

type SubmitMessage = Extract<
  DispatcherMessage,
  {kind: DispatcherMessageKind.SUBMIT}
>;

interface RunningJob {
  readonly run: JobRun;
  readonly key: OwnKey | undefined;
  readonly takenAtMs: number;
  readonly deadlineAtMs: number;
  readonly runWithinMs: number;
  readonly payloads: readonly Uint8Array[];
  /** Where each task that is out at an agent has gone. */
  readonly places: Map<number, [agent: string, sequence: number]>;
  readonly replies: Reply[];
}

/**
 * Owns the sessions' memory, the running jobs and the accounts of the agents.
 *
 * A task is sent to one agent at a time and moves only when it is proven not
 * started: refused by the agent, or never received by it.
 */
export class Dispatcher {
  private readonly task: Task<DispatcherMessage>;
  private readonly ledger: KeyLedger<JobAnswer>;
  private readonly board: AgentBoard;
  private readonly queue = FairQueue.create();
  private readonly jobs = new Map<string, RunningJob>();
  private readonly jobsByKey = new Map<string, RunningJob>();
  private readonly agents = new Map<string, AgentAccount>();
  private readonly agentByStream = new Map<number, string>();
  private view: ConfigurationView | undefined;
  private evidence: ConfigurationEvidence = {
    contact: StoreContact.LOST,
    confirmedSentAtMs: 0,
  };
  private lastJob = 0;
  private isLeaving = false;
  private isRefusing = false;
  private isFlushScheduled = false;
  private blockedSinceMs = 0;
  private lastTargetAtMs: number;
  /** Counts since the start. */
  readonly counters: DispatcherCounters = {
    jobs: 0,
    jobsComplete: 0,
    jobsFailed: 0,
    jobsRefused: 0,
    tasks: 0,
    ordersSent: 0,
    ordersReturned: 0,
    withdrawals: 0,
    framesSent: 0,
    loadReports: 0,
    pings: 0,
  };

  private constructor(private readonly options: DispatcherOptions) {
    this.ledger = KeyLedger.create<JobAnswer>(options.ledger);
    this.board = AgentBoard.create({
      policy: options.policy,
      drawRandom: options.drawRandom,
      dataCentre: options.identity.dataCentre,
    });
    this.lastTargetAtMs = options.readMonotonicMs();
    this.task = Task.create<DispatcherMessage>({
      name: 'dispatcher',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the dispatcher and starts its periodic checks. */
  static create(options: DispatcherOptions): Dispatcher {
    const dispatcher = new Dispatcher(options);
    const stop = repeatTimer(options.startTimer, TICK_PERIOD_MS, () =>
      dispatcher.post({kind: DispatcherMessageKind.TICK}),
    );
    dispatcher.task.store.add(() => dispatcher.stopTimers());
    dispatcher.task.store.add(stop);
    return dispatcher;
  }

  /** Hands a message to the dispatcher. */
  get post(): Post<DispatcherMessage> {
    return this.task.post;
  }

  /** Tells whether a configuration is known, without which nothing is taken. */
  get isReady(): boolean {
    return this.view !== undefined && !this.isLeaving;
  }

  /** Number of tasks that wait for an agent. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of jobs that are not answered. */
  get running(): number {
    return this.jobs.size;
  }

  /** Number of keys remembered. */
  get keys(): number {
    return this.ledger.keys;
  }

  /** Lists the agents known. */
  listAgents(): AgentStatus[] {
    return [...this.agents.values()].map(account => ({
      agent: account.identity,
      state: account.state,
      load: account.load,
      outstanding: account.sent.size,
    }));
  }

  /** Stops the timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case DispatcherMessageKind.OPEN_SESSION:
        this.openSession(message.team, message.reply);
        break;
      case DispatcherMessageKind.SUBMIT:
        this.submit(message);
        break;
      case DispatcherMessageKind.LOOK_UP:
        this.lookUp(message.key, message.reply);
        break;
      case DispatcherMessageKind.CANCEL:
        this.cancel(message.key, message.reply);
        break;
      case DispatcherMessageKind.AGENT_HELLO:
        this.greetAgent(message.stream, message.hello);
        break;
      case DispatcherMessageKind.AGENT_FRAME:
        this.takeFrame(message.stream, message.frame);
        break;
      case DispatcherMessageKind.AGENT_CLOSED:
        this.closeStream(message.stream);
        break;
      case DispatcherMessageKind.VIEW:
        this.takeView(message.view);
        break;
      case DispatcherMessageKind.EVIDENCE:
        this.evidence = message.evidence;
        break;
      case DispatcherMessageKind.JOB_TIMER:
        this.jobs.get(message.job)?.run.handle(message.event as JobEvent);
        break;
      case DispatcherMessageKind.AGENT_TIMER:
        this.agents.get(message.agent)?.change(message.event as PresenceEvent);
        break;
      case DispatcherMessageKind.TICK:
        this.check();
        break;
      case DispatcherMessageKind.LEAVE:
        this.isLeaving = true;
        break;
      case DispatcherMessageKind.REFUSE_WORK:
        this.isRefusing = true;
        break;
    }
    this.placeTasks();
    if (this.isRefusing && this.jobs.size === 0) this.options.reportIdle();
  }

  // Sessions, submissions and answers.

  private openSession(team: string, reply: Reply): void {
    const refusal = this.refuseTeam(team) ?? this.refuseWhileStopping();
    if (refusal !== undefined) return this.refuse(reply, refusal);
    const serial = this.ledger.openSession(this.options.readMonotonicMs());
    reply({kind: ReplyKind.SESSION, serial, team});
  }

  private submit(message: SubmitMessage): void {
    const {key, draft, digest, isDetached, reply} = message;
    const nowMs = this.options.readMonotonicMs();
    if (key !== undefined) {
      const finding = this.ledger.submit(key.serial, key.name, digest, nowMs);
      if (finding.verdict !== LedgerVerdict.NEW) {
        return this.answerKnown(key, finding, isDetached, reply);
      }
    }
    const refusal = this.findRefusal(draft);
    if (refusal !== undefined) {
      if (key !== undefined) this.ledger.release(key.serial, key.name);
      return this.refuse(reply, refusal);
    }
    const job = this.openJob(key, draft, nowMs);
    if (isDetached) this.tellProgress(job, reply);
    else job.replies.push(reply);
  }

  private answerKnown(
    key: OwnKey,
    finding: LedgerFinding<JobAnswer>,
    isDetached: boolean,
    reply: Reply,
  ): void {
    if (finding.verdict === LedgerVerdict.RUNNING) {
      const job = this.jobsByKey.get(joinKey(key));
      if (job === undefined) return this.refuse(reply, SESSION_ENDED);
      if (isDetached) return this.tellProgress(job, reply);
      job.replies.push(reply);
      return;
    }
    if (finding.answer !== undefined) {
      reply({kind: ReplyKind.ANSWER, answer: finding.answer});
      return;
    }
    this.refuse(reply, LEDGER_REFUSALS[finding.verdict] ?? SESSION_ENDED);
  }

  private lookUp(key: OwnKey, reply: Reply): void {
    const nowMs = this.options.readMonotonicMs();
    const finding = this.ledger.lookUp(key.serial, key.name, nowMs);
    if (finding.verdict === LedgerVerdict.NEW) {
      return this.refuse(reply, NOT_FOUND);
    }
    this.answerKnown(key, finding, true, reply);
  }

  private cancel(key: OwnKey, reply: Reply): void {
    const job = this.jobsByKey.get(joinKey(key));
    if (job === undefined) return this.lookUp(key, reply);
    job.replies.push(reply);
    job.run.handle(JobEvent.CANCEL);
  }

  private tellProgress(job: RunningJob, reply: Reply): void {
    const {state, done, total} = job.run;
    reply({kind: ReplyKind.PROGRESS, state, done, total});
  }

  private findRefusal(draft: JobDraft): Refusal | undefined {
    return (
      this.refuseWhileStopping() ??
      this.refuseTeam(draft.team) ??
      this.refuseOversize(draft) ??
      this.refuseOverload(draft) ??
      this.refuseWithoutTargets()
    );
  }

  private refuseWhileStopping(): Refusal | undefined {
    if (this.view === undefined) {
      return describeRefusal(
        Problem.NOT_READY,
        'The entry has no configuration yet.',
        RETRY_AFTER_MS,
      );
    }
    if (!this.isRefusing) return undefined;
    return describeRefusal(
      Problem.STOPPING,
      'The entry is stopping; submit through another one.',
      RETRY_AFTER_MS,
    );
  }

  private refuseTeam(team: string): Refusal | undefined {
    if (this.view === undefined || this.view.teams.has(team)) return undefined;
    return describeRefusal(
      Problem.TEAM_UNKNOWN,
      `There is no record of a team "${team}".`,
    );
  }

  private refuseOversize(draft: JobDraft): Refusal | undefined {
    const {tasksPerJobAtMost} = this.options;
    if (draft.tasks.length <= tasksPerJobAtMost) return undefined;
    return describeRefusal(
      Problem.CANNOT_RUN,
      `The job has ${draft.tasks.length} tasks; at most ${tasksPerJobAtMost} are taken.`,
    );
  }

  private refuseOverload(draft: JobDraft): Refusal | undefined {
    const {waitingTasksAtMost, jobsAtMost} = this.options;
    const isOver =
      this.jobs.size >= jobsAtMost ||
      this.queue.size + draft.tasks.length > waitingTasksAtMost;
    if (!isOver) return undefined;
    return describeRefusal(
      Problem.OVERLOADED,
      'Too much work waits at this entry.',
      RETRY_AFTER_MS,
    );
  }

  private refuseWithoutTargets(): Refusal | undefined {
    const idleMs = this.options.readMonotonicMs() - this.lastTargetAtMs;
    if (this.board.slots > 0 || idleMs < NO_TARGET_PATIENCE_MS) {
      return undefined;
    }
    return describeRefusal(
      Problem.NO_TARGETS,
      'No target takes tasks at present.',
      RETRY_AFTER_MS,
    );
  }

  private refuse(reply: Reply, refusal: Refusal): void {
    this.counters.jobsRefused += 1;
    reply({kind: ReplyKind.REFUSAL, refusal});
  }

  private openJob(
    key: OwnKey | undefined,
    draft: JobDraft,
    nowMs: number,
  ): RunningJob {
    this.lastJob += 1;
    const id = `${this.options.identity.incarnation}-${this.lastJob}`;
    const specification = this.completeDraft(draft);
    const {taskClasses} = this.view!;
    const taskClass = taskClasses.get(specification.taskClass);
    const job: RunningJob = {
      run: this.createRun(id, specification),
      key,
      takenAtMs: nowMs,
      deadlineAtMs: nowMs + specification.deadlineMs,
      runWithinMs: taskClass?.runWithinMs ?? DEFAULT_RUN_WITHIN_MS,
      payloads: specification.tasks.map(task => encodePayload(task.payload)),
      places: new Map(),
      replies: [],
    };
    this.jobs.set(id, job);
    if (key !== undefined) this.jobsByKey.set(joinKey(key), job);
    this.counters.jobs += 1;
    this.counters.tasks += specification.tasks.length;
    this.enqueue(job);
    return job;
  }

  private completeDraft(draft: JobDraft): JobSpecification {
    const taskClass = draft.taskClass ?? DEFAULT_CLASS;
    const defaults = this.view!.taskClasses.get(taskClass);
    return {
      team: draft.team,
      taskClass,
      value: draft.value ?? defaults?.value ?? DEFAULT_VALUE,
      deadlineMs:
        draft.deadlineMs ?? defaults?.deadlineMs ?? DEFAULT_DEADLINE_MS,
      tasks: draft.tasks,
      trace: draft.trace,
    };
  }

  private createRun(id: string, specification: JobSpecification): JobRun {
    const durations: Readonly<Record<string, number>> = {
      deadline: specification.deadlineMs,
      settle: SETTLE_MS,
    };
    return JobRun.create(id, specification, {
      startNamedTimer: (name, fire) =>
        this.options.startTimer(durations[name], fire),
      fire: event =>
        this.post({kind: DispatcherMessageKind.JOB_TIMER, job: id, event}),
      perform: action => this.performForJob(id, action as JobAction),
    });
  }

  private enqueue(job: RunningJob): void {
    const {specification} = job.run;
    const times = specification.tasks.map(task => task.expectedMs);
    const workMs = times.reduce((sum, ms) => sum + ms, 0);
    const slots = Math.max(1, this.board.slots);
    const idealMs = Math.max(Math.max(...times), workMs / slots);
    this.queue.setWeight(
      specification.team,
      this.view!.teams.get(specification.team)?.weight ?? 1,
    );
    this.queue.add({
      job: job.run.id,
      team: specification.team,
      rank: this.options.rankJob({
        arrivedAtMs: job.takenAtMs,
        deadlineAtMs: job.deadlineAtMs,
        value: specification.value,
        idealMs,
        workMs,
      }),
      value: specification.value,
      tasks: times.map((expectedMs, index) => ({index, expectedMs})),
    });
  }

  private performForJob(id: string, action: JobAction): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    switch (action) {
      case JobAction.WITHDRAW_TASKS:
        this.withdrawTasks(job);
        break;
      case JobAction.ABANDON_TASKS:
        job.run.abandon();
        break;
      case JobAction.ANSWER:
        this.answerJob(job);
        break;
    }
  }

  private withdrawTasks(job: RunningJob): void {
    this.queue.removeJob(job.run.id);
    for (const [index, [agent, sequence]] of job.places) {
      job.run.recordWithdrawal(index);
      this.agents.get(agent)?.addWithdrawal(sequence);
      this.counters.withdrawals += 1;
    }
    for (const index of job.run.listTasks(EntryTaskState.WAITING)) {
      job.run.drop(index);
    }
    this.scheduleFlush();
  }

  private answerJob(job: RunningJob): void {
    const {run, key} = job;
    run.stopTimers();
    this.queue.removeJob(run.id);
    this.jobs.delete(run.id);
    const answer = run.describeAnswer();
    if (key !== undefined) {
      this.jobsByKey.delete(joinKey(key));
      this.remember(key, answer);
    }
    this.countAnswer(answer);
    for (const reply of job.replies) reply({kind: ReplyKind.ANSWER, answer});
    const {team, taskClass, trace, tasks} = run.specification;
    this.options.reportJob({
      job: run.id,
      team,
      taskClass,
      trace,
      outcome: answer.outcome,
      problem: answer.problem,
      tasks: tasks.length,
      durationMs: this.options.readMonotonicMs() - job.takenAtMs,
    });
  }

  private remember(key: OwnKey, answer: JobAnswer): void {
    if (answer.outcome === Outcome.DID_NOT_RUN) {
      this.ledger.release(key.serial, key.name);
      return;
    }
    let bytes = 0;
    for (const result of answer.results) bytes += result.length;
    this.ledger.settle(key.serial, key.name, answer, bytes);
  }

  private countAnswer(answer: JobAnswer): void {
    if (answer.outcome === Outcome.COMPLETE) this.counters.jobsComplete += 1;
    else this.counters.jobsFailed += 1;
  }

  // Agents.

  private greetAgent(stream: AgentStreamHandle, hello: AgentHello): void {
    const {incarnation} = hello.agent;
    const known = this.agents.get(incarnation);
    if (known === undefined) {
      this.replaceLives(hello.agent);
      this.openAccount(stream, hello);
    } else if (!known.adoptStream(hello, stream)) {
      stream.close();
      return;
    } else {
      const own = this.options.identity.incarnation;
      const isKnown =
        hello.knownEntryIncarnation === own || known.sent.size === 0;
      if (!isKnown) this.loseTasks(known);
      this.returnTasks(known, hello.highestSequence);
      known.change(PresenceEvent.RECONNECT);
    }
    this.agentByStream.set(stream.id, incarnation);
    stream.send({
      welcome: this.options.identity,
      starts: [],
      withdrawn: [],
      acknowledged: [],
      configuration: this.describeConfiguration(),
    });
    this.takeLoad(this.agents.get(incarnation)!, hello.load);
  }

  private replaceLives(agent: ProcessIdentity): void {
    for (const account of this.agents.values()) {
      if (account.identity.id !== agent.id) continue;
      account.change(PresenceEvent.REPLACED);
    }
  }

  private openAccount(stream: AgentStreamHandle, hello: AgentHello): void {
    const {incarnation, dataCentre} = hello.agent;
    const nowMs = this.options.readMonotonicMs();
    const account = AgentAccount.create(hello, stream, nowMs, {
      entryIncarnation: this.options.identity.incarnation,
      startNamedTimer: (_name, fire) =>
        this.options.startTimer(this.options.returnLimitMs, fire),
      fire: event =>
        this.post({
          kind: DispatcherMessageKind.AGENT_TIMER,
          agent: incarnation,
          event,
        }),
      perform: action => this.performForAgent(incarnation, action),
    });
    this.agents.set(incarnation, account);
    this.board.addAgent(incarnation, dataCentre);
    this.options.reportAgent(PresenceState.CONNECTED, hello.agent);
  }

  private performForAgent(incarnation: string, action: PresenceAction): void {
    const account = this.agents.get(incarnation);
    if (account === undefined) return;
    switch (action) {
      case PresenceAction.PAUSE_SENDING:
        this.board.pauseAgent(incarnation);
        this.options.reportAgent(PresenceState.MISSING, account.identity);
        break;
      case PresenceAction.RECONCILE:
        this.board.addAgent(incarnation, account.identity.dataCentre);
        this.options.reportAgent(PresenceState.CONNECTED, account.identity);
        break;
      case PresenceAction.LOSE_TASKS:
        this.agents.delete(incarnation);
        this.board.removeAgent(incarnation);
        this.loseTasks(account);
        this.options.reportAgent(PresenceState.GONE, account.identity);
        break;
    }
  }

  private returnTasks(account: AgentAccount, highestSequence: number): void {
    for (const sent of account.takeBackAbove(highestSequence)) {
      this.endTask(sent, {
        end: TaskEnd.NOT_STARTED,
        result: NO_BYTES,
        targetStatus: 0,
      });
      this.board.recordReturned(account.identity.incarnation);
    }
  }

  private loseTasks(account: AgentAccount): void {
    for (const sent of account.takeAll()) {
      this.endTask(sent, {
        end: TaskEnd.UNKNOWN,
        result: NO_BYTES,
        targetStatus: 0,
      });
    }
  }

  private takeFrame(stream: AgentStreamHandle, frame: AgentFrame): void {
    const incarnation = this.agentByStream.get(stream.id);
    const account = this.agents.get(incarnation ?? '');
    if (account === undefined || account.stream.id !== stream.id) {
      stream.close();
      return;
    }
    account.heardAtMs = this.options.readMonotonicMs();
    for (const report of frame.reports) this.takeReport(account, report);
    if (frame.load !== undefined) {
      this.counters.loadReports += 1;
      this.takeLoad(account, frame.load);
    }
    if (frame.pingSentAtMs !== undefined) {
      this.answerPing(stream, frame.pingSentAtMs);
    }
  }

  private takeReport(account: AgentAccount, report: TaskReport): void {
    account.addAcknowledgement(report.sequence);
    this.scheduleFlush();
    const sent = account.sent.get(report.sequence);
    if (sent === undefined) return;
    account.sent.delete(report.sequence);
    const agent = account.identity.incarnation;
    if (report.end === TaskEnd.NOT_STARTED) {
      this.counters.ordersReturned += 1;
      this.board.recordReturned(agent);
    } else {
      this.board.recordEnd(
        agent,
        {
          isSuccess: report.end === TaskEnd.SUCCEEDED,
          runMs: report.runMs,
          expectedMs: sent.expectedMs,
        },
        account.heardAtMs,
      );
    }
    this.endTask(sent, report);
  }

  private endTask(
    sent: SentTask,
    ending: Pick<TaskReport, 'end' | 'result' | 'targetStatus'> &
      Partial<TaskReport>,
  ): void {
    const job = this.jobs.get(sent.job);
    if (job === undefined) return;
    job.places.delete(sent.index);
    const {team, taskClass} = job.run.specification;
    const aftermath = job.run.recordEnd(sent.index, ending);
    if (aftermath === Aftermath.WAIT_AGAIN) {
      const {index, expectedMs} = sent;
      this.queue.giveBack({job: sent.job, team, index, expectedMs});
      return;
    }
    const {runMs = 0, queuedMs = 0} = ending;
    const {end} = ending;
    this.options.reportTask({team, taskClass, end, runMs, queuedMs});
  }

  private takeLoad(account: AgentAccount, load: LoadReport): void {
    account.load = load;
    const nowMs = this.options.readMonotonicMs();
    const isUsable =
      load.target === TargetCondition.PRESENT &&
      load.isPermitted &&
      !load.isLeaving &&
      account.state === PresenceState.CONNECTED;
    this.board.applyReport(
      account.identity.incarnation,
      {
        isUsable,
        targetInstance: load.targetInstance,
        slots: load.slots,
        queueLimit: load.queueLimit,
        running: load.running,
        queued: load.queued,
        unreported: account.countUnreported(),
      },
      nowMs,
    );
    if (this.board.slots > 0) this.lastTargetAtMs = nowMs;
  }

  private answerPing(stream: AgentStreamHandle, pingSentAtMs: number): void {
    this.counters.pings += 1;
    const nowMs = this.options.readMonotonicMs();
    stream.send({
      starts: [],
      withdrawn: [],
      acknowledged: [],
      pong: {
        pingSentAtMs,
        contact: this.evidence.contact,
        confirmedAgeMs: nowMs - this.evidence.confirmedSentAtMs,
        configurationRevision: this.view?.revision ?? 0,
        isLeaving: this.isLeaving,
      },
    });
  }

  private closeStream(stream: AgentStreamHandle): void {
    const incarnation = this.agentByStream.get(stream.id);
    this.agentByStream.delete(stream.id);
    const account = this.agents.get(incarnation ?? '');
    if (account === undefined || account.stream.id !== stream.id) return;
    account.change(PresenceEvent.DISCONNECT);
  }

  private takeView(view: ConfigurationView): void {
    this.view = view;
    for (const team of view.teams.values()) {
      this.queue.setWeight(team.name, team.weight);
    }
    const configuration = this.describeConfiguration();
    for (const account of this.agents.values()) {
      if (account.state !== PresenceState.CONNECTED) continue;
      account.stream.send({
        starts: [],
        withdrawn: [],
        acknowledged: [],
        configuration,
      });
    }
  }

  private describeConfiguration(): AgentConfiguration | undefined {
    if (this.view === undefined) return undefined;
    const {revision, dataCentresOut, entries} = this.view;
    return {revision, dataCentresOut, entries};
  }

  private check(): void {
    const nowMs = this.options.readMonotonicMs();
    for (const account of this.agents.values()) {
      const isSilent = nowMs - account.heardAtMs > SILENCE_LIMIT_MS;
      if (isSilent && account.state === PresenceState.CONNECTED) {
        account.stream.close();
        account.change(PresenceEvent.DISCONNECT);
      }
    }
    this.board.refreshAll(nowMs);
    if (this.board.slots > 0) this.lastTargetAtMs = nowMs;
    this.ledger.expire(nowMs);
  }

  // Placement.

  private placeTasks(): void {
    const nowMs = this.options.readMonotonicMs();
    const entries = Math.max(1, this.view?.entries.length ?? 1);
    for (;;) {
      const next = this.queue.peek();
      if (next === undefined) return;
      const waitedMs =
        this.blockedSinceMs === 0 ? 0 : nowMs - this.blockedSinceMs;
      const need = this.board.describeNeed(
        next.expectedMs,
        this.queue.size,
        waitedMs,
        entries,
      );
      const agent = this.board.choose(need);
      if (agent === undefined) {
        if (this.blockedSinceMs === 0) this.blockedSinceMs = nowMs;
        return;
      }
      this.blockedSinceMs = 0;
      this.queue.take();
      this.sendTask(next.job, next.index, next.expectedMs, agent, nowMs);
    }
  }

  private sendTask(
    jobId: string,
    index: number,
    expectedMs: number,
    agent: string,
    nowMs: number,
  ): void {
    const job = this.jobs.get(jobId);
    const account = this.agents.get(agent);
    if (job === undefined || account === undefined) return;
    const {team, taskClass, trace} = job.run.specification;
    const sent = account.addStart(
      {
        job: jobId,
        index,
        team,
        taskClass,
        payload: job.payloads[index],
        startWithinMs: Math.max(1, Math.ceil(job.deadlineAtMs - nowMs)),
        runWithinMs: job.runWithinMs,
        trace,
      },
      expectedMs,
    );
    job.places.set(index, [agent, sent.sequence]);
    job.run.recordSent(index);
    this.board.recordSent(agent);
    this.counters.ordersSent += 1;
    this.scheduleFlush();
  }

  // One flush a turn of the event loop batches what that turn produced.
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isFlushScheduled = false;
    for (const account of this.agents.values()) {
      if (!account.hasPending) continue;
      this.counters.framesSent += 1;
      account.flush();
    }
  }

  private stopTimers(): void {
    for (const job of this.jobs.values()) job.run.stopTimers();
    for (const account of this.agents.values()) account.stopTimers();
  }
}

const NO_BYTES = new Uint8Array(0);

const SESSION_ENDED: Refusal = {
  problem: Problem.SESSION_ENDED,
  isProvenUnstarted: false,
  detail:
    'The session of this key is not remembered any more. This submission ' +
    'started nothing; an earlier one under the same key may have run.',
  retryAfterMs: 0,
};

const NOT_FOUND: Refusal = {
  problem: Problem.NOT_FOUND,
  isProvenUnstarted: true,
  detail: 'No job has been submitted under this key.',
  retryAfterMs: 0,
};

const LEDGER_REFUSALS: Partial<Record<LedgerVerdict, Refusal>> = {
  [LedgerVerdict.REUSED]: {
    problem: Problem.KEY_REUSED,
    isProvenUnstarted: false,
    detail: 'The key stands for another body. This submission started nothing.',
    retryAfterMs: 0,
  },
  [LedgerVerdict.ANSWER_EXPIRED]: {
    problem: Problem.ANSWER_EXPIRED,
    isProvenUnstarted: false,
    detail: 'The job has ended; its answer is no longer kept.',
    retryAfterMs: 0,
  },
  [LedgerVerdict.SESSION_FULL]: {
    problem: Problem.SESSION_ENDED,
    isProvenUnstarted: true,
    detail: 'The session holds its number of keys; open another one.',
    retryAfterMs: 0,
  },
};

function describeRefusal(
  problem: Problem,
  detail: string,
  retryAfterMs = 0,
): Refusal {
  return {problem, isProvenUnstarted: true, detail, retryAfterMs};
}

function joinKey(key: OwnKey): string {
  return `${key.serial}.${key.name}`;
}

function encodePayload(payload: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(payload));
}
