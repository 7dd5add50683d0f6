/** A caller that submits one job after another over a kept connection. */
import {Agent, request as createRequest} from 'node:http';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import {startTimer} from '../../src/lib/core/clock.js';
import {QUEUE_HOST, QUEUE_PREFIX} from './deploy_programs.js';
import {SoakPort} from './soak_network.js';

/** Hosts, seed and numbers of a caller. */
export interface CallerOptions {
  /** Number of the caller, from 0. */
  readonly index: number;
  readonly entryHosts: readonly string[];
  readonly drawRandom: DrawRandom;
  /** Receives the status of each answer; 0 if there was none. */
  readonly reportStatus: (status: number) => void;
}

const MAX_TASKS = 6;
const RUN_MS = {least: 50, most: 4000};
const TASK_CPU_MILLI = 1000;
const DEADLINE_MS = 8000;
const TIMEOUT_MS = 12_000;
const PAUSE_MS = {least: 50, most: 300};
const OK = 200;

const ID_DIGITS = 16;

/** Returns the run time in milliseconds that a payload asks for. */
export function readRunMs(payload: string): number {
  return Number(payload.split('/')[0]);
}

/** Returns the demand of a payload's task in thousandths of a core. */
export function readDemandMilli(payload: string): number {
  return Number(payload.split('/')[1]);
}

/** Submits jobs until it is closed; it never submits a job again. */
export class Caller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private entry: number;
  private lastJob = 0;
  private isClosed = false;

  private constructor(private readonly options: CallerOptions) {
    this.entry = options.index % options.entryHosts.length;
  }

  /** Starts a caller at the entry of its number. */
  static create(options: CallerOptions): Caller {
    const caller = new Caller(options);
    void caller.run();
    return caller;
  }

  /** Breaks the connection and submits nothing more. */
  close(): void {
    this.isClosed = true;
    this.agent.destroy();
  }

  private async run(): Promise<void> {
    const {entryHosts, drawRandom, reportStatus} = this.options;
    while (!this.isClosed) {
      const status = await this.submit();
      if (this.isClosed) return;
      reportStatus(status);
      if (status === OK) continue;
      if (status === 0) this.entry = (this.entry + 1) % entryHosts.length;
      const {least, most} = PAUSE_MS;
      await pause(least + drawRandom() * (most - least));
    }
  }

  private submit(): Promise<number> {
    const {drawRandom, entryHosts, index} = this.options;
    this.lastJob += 1;
    const id = ((index + 1) * 2 ** 32 + this.lastJob).toString(16);
    const {least, most} = RUN_MS;
    const runMs = Math.round(least * (most / least) ** Math.sqrt(drawRandom()));
    const count = 1 + Math.floor(drawRandom() * MAX_TASKS);
    const step = {count, cpu: TASK_CPU_MILLI, memMb: 10, estimateMs: runMs};
    const spec = `${runMs}/${TASK_CPU_MILLI}`;
    const body = JSON.stringify({spec, steps: [step], bestEffort: true});
    return new Promise(resolve => {
      const request = createRequest(
        {
          agent: this.agent,
          host: entryHosts[this.entry],
          port: SoakPort.CALLER,
          method: 'POST',
          path: QUEUE_PREFIX + id.padStart(ID_DIGITS, '0'),
          headers: {host: QUEUE_HOST, 'deadline-ms': String(DEADLINE_MS)},
          timeout: TIMEOUT_MS,
        },
        response => {
          response.resume();
          response.on('end', () => resolve(response.statusCode ?? 0));
          response.on('close', () => resolve(0));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(0));
      request.end(body);
    });
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => startTimer(durationMs, resolve));
}
