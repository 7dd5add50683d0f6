import {TargetCondition} from '../../src/lib/core/link_messages.js';
import type {AgentHello, EntryFrame} from '../../src/lib/core/link_messages.js';
import type {TaskEnd} from '../../src/lib/core/job.js';
import {AgentLoadTable} from '../../src/lib/decisions/agent_load_table.js';
import {
  createPlacementPolicy,
  PlacementKind,
} from '../../src/lib/decisions/choose_agent.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import {AgentRegistry} from '../../src/lib/entry/agent_registry.js';
import {createDispatcherCounters} from '../../src/lib/entry/dispatcher_counters.js';
import type {AgentStreamHandle} from '../../src/lib/entry/dispatcher_messages.js';
import {ManualClock} from '../fakes/manual_clock.js';

/** Incarnation of the entry. */
export const ENTRY = 'entry-life';

const RETURN_LIMIT_MS = 5000;

/** A stream of an agent to the entry. */
export interface FakeStream extends AgentStreamHandle {
  readonly frames: EntryFrame[];
  isClosed: boolean;
}

/** An agent registry whose streams and clock the test controls. */
export class AgentRegistryFixture {
  readonly clock = ManualClock.create();
  /** Ends of tasks, by index of the task. */
  readonly ends = new Map<number, TaskEnd>();
  readonly registry: AgentRegistry;
  private lastStreamId = 0;

  private constructor() {
    this.registry = AgentRegistry.create({
      identity: {id: 'entry', incarnation: ENTRY, dataCentre: 'a'},
      agentLoads: AgentLoadTable.create({
        policy: createPlacementPolicy(PlacementKind.LEAST_LOADED),
        drawRandom: () => 0,
        dataCentre: 'a',
      }),
      counters: createDispatcherCounters(),
      returnLimitMs: RETURN_LIMIT_MS,
      readMonotonicMs: this.clock.readMs,
      startTimer: this.clock.startTimer,
      defer: run => void setImmediate(run),
      postTimer: () => undefined,
      endTask: ({index}, _agent, {end}) => void this.ends.set(index, end),
      describeConfiguration: () => undefined,
      describePong: pingSentAtMs => ({
        pingSentAtMs,
        contact: StoreContact.CONFIRMED,
        confirmedAgeMs: 0,
        configurationRevision: 1,
        isLeaving: false,
      }),
      reportAgent: () => undefined,
    });
  }

  static create(): AgentRegistryFixture {
    return new AgentRegistryFixture();
  }

  createStream(): FakeStream {
    this.lastStreamId += 1;
    const frames: EntryFrame[] = [];
    const stream: FakeStream = {
      id: this.lastStreamId,
      frames,
      isClosed: false,
      send: frame => void frames.push(frame),
      close: () => void (stream.isClosed = true),
    };
    return stream;
  }

  /** Receives the hello of an incarnation of the agent on a new stream. */
  receiveHello(
    incarnation: string,
    changes: Partial<AgentHello> = {},
  ): FakeStream {
    const stream = this.createStream();
    this.registry.handleHello(stream, {
      agent: {id: 'agent', incarnation, dataCentre: 'a'},
      streamNumber: 1,
      knownEntryIncarnation: '',
      highestSequence: 0,
      load: {
        target: TargetCondition.PRESENT,
        targetName: 'target',
        targetInstance: 'target-life',
        isPermitted: true,
        isLeaving: false,
        slots: 8,
        running: 0,
        queued: 0,
        queueLimit: 4,
        configurationRevision: 1,
        ownOutstanding: 0,
        highestSequence: 0,
      },
      ...changes,
    });
    return stream;
  }

  /** Sends the task of an index to an incarnation of the agent. */
  async sendTask(incarnation: string, index: number): Promise<void> {
    const order = {
      job: 'job',
      index,
      team: 'team',
      taskClass: 'class',
      payload: new Uint8Array(0),
      startWithinMs: 1000,
      runWithinMs: 1000,
      trace: '',
    };
    const task = {job: 'job', team: 'team', index, expectedMs: 50};
    this.registry.sendStart(incarnation, order, task);
    await this.clock.advance(0);
  }
}
