/** Hands out free ports on the loopback address. */
import {createServer} from 'node:net';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {FindPort, Listener} from './fleet_plan.js';
import {ScenarioError} from './scenario_error.js';

// Below the range from which the kernel draws ports for outgoing connections,
// so that a port freed here is not taken by one of them.
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
const ATTEMPTS_AT_MOST = 200;

/** Tells whether a port can be listened on. */
export type CheckPort = (port: number) => Promise<boolean>;

/** Listens on a port for a moment. */
export const checkPort: CheckPort = port =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Finds `count` different free ports. */
export async function findFreePorts(
  count: number,
  drawRandom: DrawRandom,
  check: CheckPort = checkPort,
): Promise<number[]> {
  const found = new Set<number>();
  for (let attempt = 0; found.size < count; attempt += 1) {
    if (attempt >= ATTEMPTS_AT_MOST + count) {
      throw new ScenarioError(`Only ${found.size} of ${count} ports are free.`);
    }
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(drawRandom() * span);
    if (!found.has(port) && (await check(port))) found.add(port);
  }
  return [...found];
}

/** Creates a function that deals out ports, the same one for the same name. */
export function createPortFinder(ports: readonly number[]): FindPort {
  const left = [...ports];
  const dealt = new Map<string, number>();
  return (process: string, listener: Listener) => {
    const name = `${process}/${listener}`;
    const port = dealt.get(name) ?? left.pop();
    if (port === undefined) throw new ScenarioError('No port is left.');
    dealt.set(name, port);
    return port;
  };
}
