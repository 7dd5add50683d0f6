/** The threads that relay the links, apart from the event loop of the targets. */
import {Worker} from 'node:worker_threads';
import type {RelayMessage, RelayPlan} from './relay_messages.js';

const AGENTS_PER_THREAD = 24;

/** Passes messages on to the threads that own the relays. */
export class RelayThreads {
  private constructor(private readonly workers: readonly Worker[]) {}

  /** Starts threads for the relays of all agents. */
  static create(plans: readonly RelayPlan[]): RelayThreads {
    const file = new URL('./relay_thread.js', import.meta.url);
    const agents = Math.max(...plans.map(({agent}) => agent)) + 1;
    const count = Math.ceil(agents / AGENTS_PER_THREAD);
    const workers = Array.from({length: count}, (_, index) => {
      const own = plans.filter(({agent}) => agent % count === index);
      return new Worker(file, {workerData: own});
    });
    return new RelayThreads(workers);
  }

  /** Sends a message to a relay. */
  send(message: RelayMessage): void {
    this.workers[message.agent % this.workers.length].postMessage(message);
  }

  /** Ends the threads, and with them all connections. */
  async close(): Promise<void> {
    await Promise.all(this.workers.map(worker => worker.terminate()));
  }
}
