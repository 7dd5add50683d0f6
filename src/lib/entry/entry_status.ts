/** Describes the fleet as seen by one entry. */
import type {ProcessIdentity} from '../core/identity.js';
import {ProcessRole} from '../admin/status_report.js';
import type {
  ProcessStatus,
  StatusReport,
  TargetStatus,
} from '../admin/status_report.js';
import {Gauge} from '../observe/metrics.js';
import type {
  ConfigurationView,
  StoreContact,
} from '../records/configuration_view.js';
import type {AgentStatus} from './agent_registry_options.js';
import type {Dispatcher} from './dispatcher.js';
import type {PeerManager} from './peer_manager.js';

/** Sources of an entry's status. */
export interface EntryStatusSources {
  readonly identity: ProcessIdentity;
  readonly view: ConfigurationView | undefined;
  readonly contact: StoreContact;
  readonly dispatcher: Dispatcher;
  readonly peers: PeerManager;
  readonly nowMs: number;
}

/** Describes the entries, agents and targets that an entry knows. */
export function describeEntryStatus(sources: EntryStatusSources): StatusReport {
  const agents = sources.dispatcher.listAgents();
  const {dispatcher} = sources;
  return {
    entry: sources.identity.id,
    configurationRevision: sources.view?.revision ?? 0,
    contact: sources.contact,
    processes: [
      ...describeEntries(sources),
      ...agents.map(agent => describeAgent(agent, sources.nowMs)),
    ],
    targets: agents.flatMap(describeTarget),
    counters: {
      ...dispatcher.counters,
      ...dispatcher.describeGauges(),
    },
  };
}

/** Returns the current values of an entry's gauges. */
export function listGauges(
  dispatcher: Dispatcher,
): Partial<Record<Gauge, number>> {
  const {tasksWaiting, jobsRunning} = dispatcher.describeGauges();
  return {
    [Gauge.TASKS_WAITING]: tasksWaiting,
    [Gauge.JOBS]: jobsRunning,
    [Gauge.AGENTS]: dispatcher.listAgents().length,
  };
}

function describeEntries(sources: EntryStatusSources): ProcessStatus[] {
  const {identity, view, contact, peers, nowMs} = sources;
  const own: ProcessStatus = {
    ...identity,
    role: ProcessRole.ENTRY,
    configurationRevision: view?.revision ?? 0,
    heardAgeMs: 0,
    contact,
  };
  const others = (view?.entries ?? []).filter(
    entry => entry.incarnation !== identity.incarnation,
  );
  return [
    own,
    ...others.map(({id, incarnation}): ProcessStatus => {
      const known = peers.getStatus(incarnation);
      return {
        id,
        role: ProcessRole.ENTRY,
        incarnation,
        dataCentre: known?.state.entry.dataCentre ?? '',
        configurationRevision: known?.state.revision ?? 0,
        heardAgeMs: known === undefined ? 0 : nowMs - known.heardAtMs,
        contact: known?.state.contact,
      };
    }),
  ];
}

function describeAgent(status: AgentStatus, nowMs: number): ProcessStatus {
  return {
    ...status.agent,
    role: ProcessRole.AGENT,
    configurationRevision: status.load.configurationRevision,
    heardAgeMs: nowMs - status.heardAtMs,
  };
}

function describeTarget(status: AgentStatus): TargetStatus[] {
  const {load, agent} = status;
  if (load.targetName === '') return [];
  return [
    {
      name: load.targetName,
      agent: agent.id,
      dataCentre: agent.dataCentre,
      condition: load.target,
      isPermitted: load.isPermitted,
      slots: load.slots,
      running: load.running,
      queued: load.queued,
    },
  ];
}
