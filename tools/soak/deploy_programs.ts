/** Command lines and settings of the programs that the deploy file runs. */
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Role} from './fault.js';
import {SoakError} from './soak_error.js';
import {SoakPort} from './soak_network.js';

/** Root of the repository, from which the programs run. */
export const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

/** Host of the queue. */
export const QUEUE_HOST = 'desk.example';

/** Path of the queue's jobs, before their id. */
export const QUEUE_PREFIX = '/jobs/';

/** Service of the targets. */
export const SERVICE = 'runner';

/** Time in seconds between the stop signal and the kill. */
export const STOP_WITHIN_S = 6;

/** Configuration with one queue, whose jobs callers do not submit again. */
export const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'queue',
      host: QUEUE_HOST,
      prefix: QUEUE_PREFIX,
      type: 'non_idempotent',
      targetDurationMs: 60,
      priority: 0,
      service: SERVICE,
      maxAttempts: 3,
      stretch: 1.6,
    },
  ],
  services: [{name: SERVICE}],
  limits: {maxBodyBytes: 10_000},
};

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
  const control = `${host}:${SoakPort.TARGET_HEARTBEAT}`;
  const front = `${host}:${SoakPort.CALLER}`;
  const ready = `${host}:${SoakPort.READY}`;
  const isEntry = role === Role.ENTRY;
  return JSON.stringify({
    nodeName: name,
    role,
    ip: host,
    zone: dataCentre,
    listenAddrs: isEntry ? {front, ready, control} : {control},
    internalPortRange: [SoakPort.LINK, SoakPort.LINK + 15],
    seeds: seedHosts.map(seed => `${seed}:${SoakPort.TARGET_HEARTBEAT}`),
    bounds: {graceS: STOP_WITHIN_S, farX: 1.5},
    app: settings.targetAddress,
    platform: {address: storeAddress, form: 'kv', ttlMinMs: 1000},
  });
}
