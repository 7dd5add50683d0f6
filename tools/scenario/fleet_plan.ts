/** Decides which processes a fleet has and with which settings they run. */
import {RelayPlace} from './definition.js';
import type {FleetDefinition, RelayDefinition} from './definition.js';

/** Kinds of process in a scenario. */
export enum ProcessKind {
  STORE = 'store',
  ENTRY = 'entry',
  AGENT = 'agent',
  TARGET = 'target',
  RELAY = 'relay',
  BALANCER = 'balancer',
}

/** Program, arguments and settings of a process. */
export interface ProcessPlan {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly dataCentre: string;
  /** Path of the program below `build/`. */
  readonly program: string;
  /** Command line arguments without the settings file. */
  readonly programArguments: readonly string[];
  /** Contents of the settings file, undefined if the program reads none. */
  readonly settings: object | undefined;
}

/** Listeners of a process, each with its own port. */
export enum Listener {
  MAIN = 'main',
  CALLERS = 'callers',
  PEERS = 'peers',
  ADMINISTRATION = 'administration',
  CONTROL = 'control',
}

/** Returns the port of a listener, the same one for each call. */
export type FindPort = (process: string, listener: Listener) => number;

/** Key of the administration API in every scenario. */
export const ADMINISTRATION_KEY = 'scenario-administration-key';

/** Name of the stand-in store's process. */
export const STORE_NAME = 'store';

/** Name of the stand-in balancer's process. */
export const BALANCER_NAME = 'balancer';

const SESSION_SECRET = 'scenario-session-secret';
const HOST = '127.0.0.1';
const PREFIX = '/foxtailbay/';
const TARGET_CONNECTIONS = 64;

const DEFAULT_ENTRY_SETTINGS: Record<string, object> = {
  stop: {noticeMs: 500, drainMs: 20_000},
  log: {level: 'info'},
};

const DEFAULT_AGENT_SETTINGS: Record<string, object> = {
  stop: {drainMs: 20_000},
  log: {level: 'info'},
};

/** Plans all processes, in start order. */
export function planFleet(
  fleet: FleetDefinition,
  findPort: FindPort,
): ProcessPlan[] {
  const entries = listNumbered(ProcessKind.ENTRY, fleet.entries);
  const agents = listNumbered(ProcessKind.AGENT, fleet.agents);
  const targets = listNumbered(ProcessKind.TARGET, fleet.agents);
  return [
    planStore(fleet, findPort),
    ...fleet.relays.map(relay => planRelay(relay, findPort)),
    ...entries.map((_, index) => planEntry(fleet, index, findPort)),
    ...(fleet.hasBalancer ? [planBalancer(entries, findPort)] : []),
    ...agents.map((_, index) => planAgent(fleet, index, findPort)),
    ...targets.map((_, index) => planTarget(fleet, index, findPort)),
  ];
}

/** Lists the names of `count` processes of a kind, numbered from 1. */
export function listNumbered(kind: ProcessKind, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${kind}-${index + 1}`);
}

/** Formats the HTTP address of a port on the loopback interface. */
export function formatAddress(port: number): string {
  return `http://${HOST}:${port}`;
}

function planStore(fleet: FleetDefinition, findPort: FindPort): ProcessPlan {
  const port = findPort(STORE_NAME, Listener.MAIN);
  return {
    name: STORE_NAME,
    kind: ProcessKind.STORE,
    dataCentre: '',
    program: 'stand_ins/platform_store.js',
    programArguments: ['--port', `${port}`, ...fleet.storeArguments],
    settings: undefined,
  };
}

function planEntry(
  fleet: FleetDefinition,
  index: number,
  findPort: FindPort,
): ProcessPlan {
  const name = `${ProcessKind.ENTRY}-${index + 1}`;
  const dataCentre = pickDataCentre(fleet, index);
  const peers = findRelayFor(fleet, RelayPlace.PEERS, name);
  const store = findRelayFor(fleet, RelayPlace.STORE, name) ?? STORE_NAME;
  const advertised = peers
    ? findPort(peers, Listener.MAIN)
    : findPort(name, Listener.PEERS);
  const required = {
    schemaVersion: 1,
    process: {id: name, dataCentre},
    listen: {
      callers: {host: HOST, port: findPort(name, Listener.CALLERS)},
      peers: {host: HOST, port: findPort(name, Listener.PEERS)},
      administration: {
        host: HOST,
        port: findPort(name, Listener.ADMINISTRATION),
      },
    },
    advertise: {peers: `${HOST}:${advertised}`},
    store: {
      address: formatAddress(findPort(store, Listener.MAIN)),
      prefix: PREFIX,
    },
    sessions: {secret: SESSION_SECRET},
    administration: {key: ADMINISTRATION_KEY},
  };
  return {
    name,
    kind: ProcessKind.ENTRY,
    dataCentre,
    program: 'src/foxtailbay_entry.js',
    programArguments: [],
    settings: mergeSections(
      mergeSections(required, DEFAULT_ENTRY_SETTINGS),
      fleet.entrySettings,
    ),
  };
}

function planAgent(
  fleet: FleetDefinition,
  index: number,
  findPort: FindPort,
): ProcessPlan {
  const name = `${ProcessKind.AGENT}-${index + 1}`;
  const dataCentre = pickDataCentre(fleet, index);
  const entries = listNumbered(ProcessKind.ENTRY, fleet.entries)
    .filter(entry => !fleet.later.includes(entry))
    .map(entry => {
      const relay = findRelayFor(fleet, RelayPlace.PEERS, entry);
      return relay
        ? findPort(relay, Listener.MAIN)
        : findPort(entry, Listener.PEERS);
    });
  const required = {
    schemaVersion: 1,
    process: {id: name, dataCentre},
    listen: {targets: {host: HOST, port: findPort(name, Listener.MAIN)}},
    entries: entries.map(port => `${HOST}:${port}`),
  };
  return {
    name,
    kind: ProcessKind.AGENT,
    dataCentre,
    program: 'src/foxtailbay_agent.js',
    programArguments: [],
    settings: mergeSections(
      mergeSections(required, DEFAULT_AGENT_SETTINGS),
      fleet.agentSettings,
    ),
  };
}

function planTarget(
  fleet: FleetDefinition,
  index: number,
  findPort: FindPort,
): ProcessPlan {
  const name = `${ProcessKind.TARGET}-${index + 1}`;
  const agent = `${ProcessKind.AGENT}-${index + 1}`;
  const announce = findRelayFor(fleet, RelayPlace.ANNOUNCE, name) ?? agent;
  const options = {
    name,
    agent: formatAddress(findPort(announce, Listener.MAIN)),
    port: findPort(name, Listener.MAIN),
    slots: fleet.slots,
    connections: TARGET_CONNECTIONS,
    speed: fleet.speeds[index % fleet.speeds.length],
  };
  return {
    name,
    kind: ProcessKind.TARGET,
    dataCentre: pickDataCentre(fleet, index),
    program: 'stand_ins/target.js',
    programArguments: formatOptions(options),
    settings: undefined,
  };
}

function planRelay(relay: RelayDefinition, findPort: FindPort): ProcessPlan {
  const to = findPort(...findRelayDestination(relay));
  const options = {
    listen: findPort(relay.name, Listener.MAIN),
    to: `${HOST}:${to}`,
    control: findPort(relay.name, Listener.CONTROL),
  };
  return {
    name: relay.name,
    kind: ProcessKind.RELAY,
    dataCentre: '',
    program: 'stand_ins/relay.js',
    programArguments: formatOptions(options),
    settings: undefined,
  };
}

function planBalancer(
  entries: readonly string[],
  findPort: FindPort,
): ProcessPlan {
  const addresses = entries.map(
    entry => `${HOST}:${findPort(entry, Listener.CALLERS)}`,
  );
  const options = {
    port: findPort(BALANCER_NAME, Listener.MAIN),
    entries: addresses.join(','),
  };
  return {
    name: BALANCER_NAME,
    kind: ProcessKind.BALANCER,
    dataCentre: '',
    program: 'stand_ins/balancer.js',
    programArguments: formatOptions(options),
    settings: undefined,
  };
}

function findRelayDestination(relay: RelayDefinition): [string, Listener] {
  switch (relay.place) {
    case RelayPlace.PEERS:
      return [relay.process, Listener.PEERS];
    case RelayPlace.CALLERS:
      return [relay.process, Listener.CALLERS];
    case RelayPlace.STORE:
      return [STORE_NAME, Listener.MAIN];
    case RelayPlace.ANNOUNCE:
      return [
        relay.process.replace(ProcessKind.TARGET, ProcessKind.AGENT),
        Listener.MAIN,
      ];
  }
}

function findRelayFor(
  fleet: FleetDefinition,
  place: RelayPlace,
  process: string,
): string | undefined {
  return fleet.relays.find(
    relay => relay.place === place && relay.process === process,
  )?.name;
}

function pickDataCentre(fleet: FleetDefinition, index: number): string {
  return fleet.dataCentres[index % fleet.dataCentres.length];
}

function formatOptions(options: Record<string, string | number>): string[] {
  return Object.entries(options).flatMap(([name, value]) => [
    `--${name}`,
    `${value}`,
  ]);
}

function mergeSections(
  base: Record<string, unknown>,
  overrides: Readonly<Record<string, object>>,
): Record<string, unknown> {
  const merged = {...base};
  for (const [section, values] of Object.entries(overrides)) {
    merged[section] = {...(merged[section] as object | undefined), ...values};
  }
  return merged;
}
