/** The agent registry's dependencies, and the status it reports of an agent. */
import type {Defer, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {
  AgentConfiguration,
  EntryFrame,
  EntryPong,
  LoadReport,
  TaskReport,
} from '../core/link_messages.js';
import type {AgentLoadTable} from '../decisions/agent_load_table.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import type {PresenceState} from './agent_session.js';
import type {DispatcherCounters} from './dispatcher_counters.js';

/** A frame without content, for composing frames with one field set. */
export const EMPTY_FRAME: EntryFrame = {
  starts: [],
  withdrawn: [],
  acknowledged: [],
};

/** Dependencies of the agent registry; an `agent` id is an incarnation. */
export interface AgentRegistryOptions {
  readonly identity: ProcessIdentity;
  readonly agentLoads: AgentLoadTable;
  readonly counters: DispatcherCounters;
  /** Time in milliseconds that a disconnected agent has to reconnect. */
  readonly returnLimitMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Runs a callback after this turn of the event loop, to batch messages. */
  readonly defer: Defer;
  /** Posts the event of an agent's timer to the dispatcher's mailbox. */
  readonly postTimer: (agent: string, event: string) => void;
  /** Called with the report when a task that was sent to an agent ends. */
  readonly endTask: (
    task: QueuedTask,
    agent: string,
    report: TaskReport,
  ) => void;
  readonly describeConfiguration: () => AgentConfiguration | undefined;
  readonly describePong: (pingSentAtMs: number) => EntryPong;
  readonly reportAgent: (state: PresenceState, agent: ProcessIdentity) => void;
}

/** The state of one agent, for status pages. */
export interface AgentStatus {
  readonly agent: ProcessIdentity;
  readonly state: PresenceState;
  readonly load: LoadReport;
  /** Number of tasks sent whose end has not been reported. */
  readonly outstanding: number;
  /** Monotonic time in milliseconds of the agent's last message. */
  readonly heardAtMs: number;
}

/** Selects the part of a configuration that agents need. */
export function selectAgentConfiguration(
  view: ConfigurationView | undefined,
): AgentConfiguration | undefined {
  if (view === undefined) return undefined;
  const {revision, dataCentresOut, entries} = view;
  return {revision, dataCentresOut, entries};
}
