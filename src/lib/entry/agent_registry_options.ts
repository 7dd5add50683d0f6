/** What an agent's desk is given, and what it tells of an agent. */
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

/** A frame with nothing in it. */
export const EMPTY_FRAME: EntryFrame = {
  starts: [],
  withdrawn: [],
  acknowledged: [],
};

/** What an agent's desk needs to be created. */
export interface AgentRegistryOptions {
  readonly identity: ProcessIdentity;
  readonly agentLoads: AgentLoadTable;
  readonly counters: DispatcherCounters;
  /** How long a broken stream may take to return, in milliseconds. */
  readonly returnLimitMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Gathers what one turn of the event loop produced before it is sent. */
  readonly defer: Defer;
  /** Posts the event of an agent's timer to the owner's mailbox. */
  readonly postTimer: (agent: string, event: string) => void;
  /** Is told how a task ended that was sent to an agent. */
  readonly endTask: (
    task: QueuedTask,
    agent: string,
    report: TaskReport,
  ) => void;
  readonly describeConfiguration: () => AgentConfiguration | undefined;
  readonly describePong: (pingSentAtMs: number) => EntryPong;
  readonly reportAgent: (state: PresenceState, agent: ProcessIdentity) => void;
}

/** What is known of one agent, for status pages. */
export interface AgentStatus {
  readonly agent: ProcessIdentity;
  readonly state: PresenceState;
  readonly load: LoadReport;
  /** Tasks sent whose end is not known. */
  readonly outstanding: number;
  /** Monotonic time in milliseconds at which the agent was last heard. */
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
