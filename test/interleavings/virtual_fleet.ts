/** Simulates an entry and its agents in one process, over a network with injected faults. */
import {EntryLink} from '../../src/lib/agent/entry_link.js';
import {Runner} from '../../src/lib/agent/runner.js';
import {
  RunnerMessageKind,
  TargetMessageKind,
} from '../../src/lib/agent/runner_messages.js';
import type {TargetMessage} from '../../src/lib/agent/runner_messages.js';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import {TargetCondition} from '../../src/lib/core/link_messages.js';
import {PostOutcome} from '../../src/lib/core/task.js';
import {
  createPlacementPolicy,
  PlacementKind,
} from '../../src/lib/decisions/choose_agent.js';
import {JobOrder, selectRankJob} from '../../src/lib/decisions/rank_job.js';
import {AgentTaskEvent} from '../../src/lib/decisions/agent_task.js';
import {Dispatcher} from '../../src/lib/entry/dispatcher.js';
import {DispatcherMessageKind} from '../../src/lib/entry/dispatcher_messages.js';
import type {
  DispatcherReply,
  JobDraft,
  LocalKey,
} from '../../src/lib/entry/dispatcher_messages.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {ConfigurationView} from '../../src/lib/records/configuration_view.js';
import {VirtualNetwork} from './virtual_network.js';
import {VirtualHost} from './virtual_time.js';
import type {VirtualTime} from './virtual_time.js';

const ENTRY_ADDRESS = 'entry:1';
const SLOTS = 2;

/** One start of a task at a target. */
export interface VirtualStart {
  /** Payload of the task, unique to the submission and the task's index. */
  readonly payload: string;
  readonly atMs: number;
  readonly dataCentre: string;
}

/** One incarnation of an agent. */
export interface VirtualAgent {
  readonly id: string;
  readonly host: VirtualHost;
  readonly runner: Runner;
  readonly link: EntryLink;
}

/** One incarnation of an entry, its agents, and the network between them. */
export class VirtualFleet {
  readonly starts: VirtualStart[] = [];
  readonly entryHost: VirtualHost;
  readonly dispatcher: Dispatcher;
  private readonly network: VirtualNetwork;
  private readonly agents = new Map<string, VirtualAgent>();
  private incarnations = 0;
  private view: ConfigurationView;

  private constructor(
    private readonly time: VirtualTime,
    private readonly drawRandom: DrawRandom,
  ) {
    this.entryHost = VirtualHost.create(time);
    this.view = {
      revision: 1,
      dataCentresOut: [],
      teams: new Map([
        ['t', {name: 't', weight: 1, slotsAtMost: 0, tasksPerSecondAtMost: 0}],
      ]),
      taskClasses: new Map(),
      entries: [{id: 'entry', incarnation: 'e', address: ENTRY_ADDRESS}],
    };
    this.dispatcher = this.createDispatcher();
    this.network = VirtualNetwork.create(time, drawRandom, {
      host: this.entryHost,
      dispatcher: this.dispatcher,
    });
    this.dispatcher.post({kind: DispatcherMessageKind.VIEW, view: this.view});
    this.confirmStore();
  }

  /** Creates a fleet without agents. */
  static create(time: VirtualTime, drawRandom: DrawRandom): VirtualFleet {
    return new VirtualFleet(time, drawRandom);
  }

  /** Starts an agent, or replaces its earlier incarnation. */
  startAgent(id: string, dataCentre: string): void {
    this.killAgent(id);
    this.incarnations += 1;
    const host = VirtualHost.create(this.time);
    const runner = this.createRunner(
      id,
      `${id}-${this.incarnations}`,
      dataCentre,
      host,
    );
    const link = EntryLink.create({
      address: ENTRY_ADDRESS,
      pingPeriodMs: 500,
      openStream: (_address, listener) => this.network.connect(host, listener),
      postToRunner: message => runner.post(message),
      readMonotonicMs: host.readMonotonicMs,
      startTimer: host.startTimer,
      drawRandom: this.drawRandom,
      reportState: () => undefined,
      reportFailure: throwFailure,
    });
    this.agents.set(id, {id, host, runner, link});
    runner.post({
      kind: RunnerMessageKind.TARGET_CHANGED,
      target: {
        condition: TargetCondition.PRESENT,
        name: id,
        instance: `${id}-${this.incarnations}`,
        slots: SLOTS,
      },
    });
  }

  /** Kills an agent; its connection breaks. */
  killAgent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.host.isKilled = true;
    this.cut(id);
    this.agents.delete(id);
  }

  /** Freezes an agent for a time. */
  pauseAgent(id: string, durationMs: number): void {
    const agent = this.agents.get(id);
    if (agent !== undefined) {
      agent.host.frozenUntilMs = this.time.nowMs + durationMs;
    }
  }

  /** Freezes the entry for a time. */
  pauseEntry(durationMs: number): void {
    this.entryHost.frozenUntilMs = this.time.nowMs + durationMs;
  }

  /** Cuts an agent's connection; frames in flight may be lost. */
  cut(id: string): void {
    const host = this.agents.get(id)?.host;
    if (host !== undefined) this.network.cut(host);
  }

  /** Takes a data centre out of service or puts it back. */
  setService(dataCentre: string, isInService: boolean): void {
    const others = this.view.dataCentresOut.filter(name => name !== dataCentre);
    this.view = {
      ...this.view,
      revision: this.view.revision + 1,
      dataCentresOut: isInService ? others : [...others, dataCentre],
    };
    const {view} = this;
    this.time.schedule(
      this.network.drawDelayMs(),
      () => this.dispatcher.post({kind: DispatcherMessageKind.VIEW, view}),
      this.entryHost,
    );
  }

  /** Submits a job after a network delay; `reply` receives the entry's reply. */
  submit(
    draft: JobDraft,
    key: LocalKey | undefined,
    reply: (message: DispatcherReply) => void,
  ): void {
    this.time.schedule(
      this.network.drawDelayMs(),
      () =>
        this.dispatcher.post({
          kind: DispatcherMessageKind.SUBMIT,
          key,
          digest: JSON.stringify(draft),
          draft,
          isDetached: false,
          reply,
        }),
      this.entryHost,
    );
  }

  private createDispatcher(): Dispatcher {
    const {entryHost} = this;
    return Dispatcher.create({
      identity: {id: 'entry', incarnation: 'e', dataCentre: 'a'},
      keyTableLimits: {
        lifetimeMs: 1e9,
        keysAtMost: 1e5,
        answerBytesAtMost: 1e9,
      },
      limits: {tasksPerJob: 1000, waitingTasksAtMost: 1e5, jobsAtMost: 1e4},
      returnLimitMs: 5000,
      policy: createPlacementPolicy(PlacementKind.LEAST_LOADED),
      rankJob: selectRankJob(JobOrder.STRETCH),
      readMonotonicMs: entryHost.readMonotonicMs,
      startTimer: entryHost.startTimer,
      defer: entryHost.defer,
      drawRandom: this.drawRandom,
      publishHeld: () => undefined,
      reportAgent: () => undefined,
      reportJob: () => undefined,
      reportTask: () => undefined,
      reportIdle: () => undefined,
      reportFailure: throwFailure,
    });
  }

  private createRunner(
    id: string,
    incarnation: string,
    dataCentre: string,
    host: VirtualHost,
  ): Runner {
    const runner: Runner = Runner.create({
      identity: {id, incarnation, dataCentre},
      queueLimit: 2,
      permissionFreshMs: 4000,
      readMonotonicMs: host.readMonotonicMs,
      startTimer: host.startTimer,
      defer: host.defer,
      postToLink: (_link, message) => this.agents.get(id)?.link.post(message),
      postToTarget: message =>
        this.runOnTarget(message, runner, host, dataCentre),
      publishConfiguration: () => undefined,
      reportPermission: () => undefined,
      reportIdle: () => undefined,
      reportFailure: throwFailure,
    });
    return runner;
  }

  private runOnTarget(
    message: TargetMessage,
    runner: Runner,
    host: VirtualHost,
    dataCentre: string,
  ): PostOutcome {
    if (message.kind !== TargetMessageKind.RUN) return PostOutcome.QUEUED;
    const {task, startBeforeMs} = message;
    const isLate = this.time.nowMs >= startBeforeMs;
    const payload = Buffer.from(task.order.payload).toString();
    if (!isLate) {
      this.starts.push({payload, atMs: this.time.nowMs, dataCentre});
    }
    const end = {
      event: isLate ? AgentTaskEvent.UNSENT : AgentTaskEvent.ANSWERED,
      result: task.order.payload,
      targetStatus: isLate ? 0 : 200,
    } as const;
    const runMs = isLate ? 0 : 20 + this.drawRandom() * 400;
    this.time.schedule(
      runMs,
      () => runner.post({kind: RunnerMessageKind.RUN_ENDED, task, end}),
      host,
    );
    return PostOutcome.QUEUED;
  }

  private confirmStore(): void {
    this.dispatcher.post({
      kind: DispatcherMessageKind.EVIDENCE,
      evidence: {
        contact: StoreContact.CONFIRMED,
        confirmedSentAtMs: this.time.nowMs,
      },
    });
    this.time.schedule(500, () => this.confirmStore(), this.entryHost);
  }
}

function throwFailure(failure: unknown): never {
  throw failure;
}
