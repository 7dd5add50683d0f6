/** Allocates free ports on the loopback address. */
import {createServer} from 'node:net';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {FindPort, Listener} from './fleet_plan.js';
import {ScenarioError} from './scenario_error.js';

// Below the kernel's ephemeral port range, so that no outgoing connection takes
// a port after the check here has released it.
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
const MAX_EXTRA_ATTEMPTS = 200;

/** Returns whether a port is free to listen on. */
export type CheckPort = (port: number) => Promise<boolean>;

/** Checks a port by listening on it briefly. */
export const checkPort: CheckPort = port =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Finds `count` distinct free ports. @throws ScenarioError after too many attempts. */
export async function findFreePorts(
  count: number,
  drawRandom: DrawRandom,
  check: CheckPort = checkPort,
): Promise<number[]> {
  const found = new Set<number>();
  for (let attempt = 0; found.size < count; attempt += 1) {
    if (attempt >= MAX_EXTRA_ATTEMPTS + count) {
      throw new ScenarioError(
        `Found only ${found.size} of ${count} free ports.`,
      );
    }
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(drawRandom() * span);
    if (!found.has(port) && (await check(port))) found.add(port);
  }
  return [...found];
}

/** Creates a function that assigns a port to each listener on first use. */
export function createPortFinder(ports: readonly number[]): FindPort {
  const available = [...ports];
  const assigned = new Map<string, number>();
  return (process: string, listener: Listener) => {
    const name = `${process}/${listener}`;
    const port = assigned.get(name) ?? available.pop();
    if (port === undefined) {
      throw new ScenarioError('All allocated ports are assigned.');
    }
    assigned.set(name, port);
    return port;
  };
}
