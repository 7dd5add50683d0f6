/** Command lines and settings of the programs that the deploy file runs. */
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Role} from './fault.js';
import {SoakPort} from './soak_network.js';
import {SoakError} from './soak_error.js';

/** Root of the repository, from which the programs run. */
export const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

/** Host of the queue. */
export const QUEUE_HOST = 'desk.example';

/** Path of the queue's jobs, before their id. */
export const QUEUE_PREFIX = '/jobs/';

/** Service of the targets. */
export const SERVICE = 'runner';

/** Time in milliseconds between the stop signal and the kill. */
export const STOP_WITHIN_MS = 6000;

const MS_PER_S = 1000;
const HEARTBEAT_PERIOD_MS = 200;
const JOB_TIMEOUT_MS = 20_000;

/** What the settings of a program depend on. */
export interface ProgramSettings {
  readonly name: string;
  readonly role: Role;
  readonly host: string;
  readonly dataCentre: string;
  /** Hosts at which the program reaches the entries. */
  readonly seedHosts: readonly string[];
  readonly storeAddress: string;
  /** Address of the target beside an agent. */
  readonly targetAddress?: string;
}

/**
 * Reads the command line of a role from the deploy file.
 *
 * @throws SoakError if it is missing or the program is not bundled.
 */
export function readCommand(role: Role): readonly string[] {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`).at(1) ?? '';
  const command = /^run = "(.*)"$/m.exec(section)?.[1].split(' ') ?? [];
  const file = command.at(-1);
  if (file === undefined || !existsSync(join(ROOT, file))) {
    throw new SoakError(
      `The program of ${role} is missing; run "node deploy/bundle.mjs".`,
    );
  }
  return command;
}

/** Formats a settings file as the platform writes it. */
export function formatSettings(settings: ProgramSettings): string {
  const {name, role, host, dataCentre, seedHosts, storeAddress} = settings;
  const isEntry = role === Role.ENTRY;
  const machineClass = isEntry ? 'front' : 'side';
  const control = `${host}:${SoakPort.TARGET_HEARTBEAT}`;
  const entryAddresses = {
    front: `${host}:${SoakPort.CALLER}`,
    ready: `${host}:${SoakPort.READY}`,
  };
  return JSON.stringify({
    nodeName: name,
    role,
    machineClass,
    serves: isEntry ? ['front', 'control'] : ['side'],
    ip: host,
    zone: dataCentre,
    region: 'region',
    zones: {[dataCentre]: 'region'},
    listenAddrs: isEntry ? {...entryAddresses, control} : {control},
    internalPortRange: [SoakPort.LINK, SoakPort.LINK + 15],
    seeds: seedHosts.map(seed => `${seed}:${SoakPort.TARGET_HEARTBEAT}`),
    bootstrap: true,
    heartbeatIntervalMs: HEARTBEAT_PERIOD_MS,
    bounds: {graceS: STOP_WITHIN_MS / MS_PER_S, farX: 1.5},
    ...(isEntry ? {} : {app: settings.targetAddress, service: SERVICE}),
    platform: {address: storeAddress, form: 'kv', ttlMinMs: 1000},
  });
}

/** Formats the configuration: one queue whose jobs callers do not send again. */
export function formatConfiguration(): string {
  const queue = {
    name: 'queue',
    host: QUEUE_HOST,
    prefix: QUEUE_PREFIX,
    type: 'non_idempotent',
    timeoutMs: JOB_TIMEOUT_MS,
    targetDurationMs: 60,
    priority: 0,
    service: SERVICE,
    maxAttempts: 3,
    stretch: 1.6,
  };
  const limits = {maxBodyBytes: 10_000};
  return JSON.stringify({
    version: 1,
    routes: [queue],
    services: [{name: SERVICE}],
    limits,
  });
}
