/** Stand-in for a target that runs tasks under a lease held by one caller. */
import {request as createRequest} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {openHttpListener} from '../src/lib/core/http_listener.js';
import type {HttpListener} from '../src/lib/core/http_listener.js';
import {readBody} from '../src/lib/core/read_body.js';
import type {
  FleetTargetOptions,
  TargetViolations,
} from './fleet_target_options.js';
import {RunOutcome} from './fleet_target_run.js';
import type {EndedRun, RequestBody, Run} from './fleet_target_run.js';

const HEARTBEAT_PERIOD_MS = 200;
const CRASH_DELAY_MS = 5;
const REBIRTH_DELAY_MS = 500;
const UNANSWERED_REQUEST_DELAY_MS = 700;
const STOP_DELAY_MS = 20;
const LEASE_CHECK_PERIOD_MS = 20;
const MAX_BODY_BYTES = 65_536;
const REQUEST_TIMEOUT_MS = 10_000;

/** Runs tasks, counts violations of its limits and sends heartbeats. */
export class FleetTarget {
  /** Violations so far. */
  readonly violations: TargetViolations = {overCapacity: 0, duplicates: 0};
  /** Tasks that started, in order. */
  readonly started: string[] = [];
  /** Tasks that completed, in order of their end. */
  readonly done: string[] = [];
  /** Tasks stopped on request, in order of their end. */
  readonly stopped: string[] = [];
  /** Deadly tasks under which it crashed, in order. */
  readonly crashes: string[] = [];
  /** Start of the incarnation in milliseconds since 1970. */
  startMs = Math.round(performance.timeOrigin + performance.now());
  /** State that heartbeats report. */
  state = 'ready';
  /** Capacity in thousandths of a core that heartbeats report. */
  cpuMilli: number;

  private readonly runs = new Map<string, Run>();
  /** Highest run number of each task that has ended or was stopped here. */
  private readonly highestClosedRuns = new Map<string, number>();
  private readonly pendingHolds = new Set<() => void>();
  private ended: EndedRun[] = [];
  private endCount = 0;
  private highestFencingToken = 0;
  private deadlineMs = 0;
  private sequence = 0;
  private startedAtMs = performance.now();
  private timers: NodeJS.Timeout[] = [];
  private rebirth: NodeJS.Timeout | undefined;
  private listener: HttpListener | undefined;

  private constructor(private readonly options: FleetTargetOptions) {
    this.cpuMilli = options.cpuMilli;
  }

  /** Opens a target on a free loopback port and starts its heartbeats. */
  static async create(options: FleetTargetOptions): Promise<FleetTarget> {
    const target = new FleetTarget(options);
    await target.open(0);
    return target;
  }

  /** `host:port` that requests are sent to. */
  get address(): string {
    return `${this.host}:${this.listener?.port}`;
  }

  /** Whether an incarnation is up, not between a crash and its rebirth. */
  get isOpen(): boolean {
    return this.listener !== undefined;
  }

  /** Returns the ids of the running tasks. */
  listRunning(): string[] {
    return [...this.runs.values()].map(({task}) => task);
  }

  /** Stops without notifying the agent or the caller. */
  async close(): Promise<void> {
    clearTimeout(this.rebirth);
    for (const timer of this.timers) clearInterval(timer);
    for (const {task, run, timer} of this.runs.values()) {
      clearTimeout(timer);
      const outcome = RunOutcome.CRASHED;
      this.options.reportRun?.({task, run, outcome, lateMs: 0});
    }
    this.runs.clear();
    const {listener} = this;
    this.listener = undefined;
    listener?.server.closeAllConnections();
    await listener?.close();
  }

  /**
   * Ends without notice, and starts again under the same id and address.
   *
   * @param delayMs Time between the end and the new start.
   */
  async restart(delayMs = REBIRTH_DELAY_MS): Promise<void> {
    const port = this.listener?.port ?? 0;
    await this.close();
    this.rebirth = setTimeout(() => void this.open(port), delayMs);
  }

  /** Begins an incarnation, which knows nothing of earlier ones. */
  private async open(port: number): Promise<void> {
    this.highestClosedRuns.clear();
    this.pendingHolds.clear();
    this.ended = [];
    this.endCount = 0;
    this.highestFencingToken = 0;
    this.deadlineMs = 0;
    this.sequence = 0;
    this.startMs = Math.round(performance.timeOrigin + performance.now());
    this.startedAtMs = performance.now();
    this.listener = await openHttpListener({
      host: this.host,
      port,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      handle: (request, response) => void this.serve(request, response),
    });
    this.timers = [
      setInterval(() => this.sendHeartbeat(), HEARTBEAT_PERIOD_MS),
      setInterval(() => this.checkLease(), LEASE_CHECK_PERIOD_MS),
    ];
  }

  private get host(): string {
    return this.options.host ?? '127.0.0.1';
  }

  private get clockMs(): number {
    return Math.round(performance.now() - this.startedAtMs) + 1000;
  }

  private sendHeartbeat(): void {
    this.sequence += 1;
    const {id, service, dataCentre, agentAddress} = this.options;
    const {cpuMilli} = this;
    const body = JSON.stringify({
      service,
      address: this.address,
      zone: dataCentre,
      version: 'v1',
      state: this.state,
      capacity: {cpu: cpuMilli, memMb: 100_000, gpus: 0},
      labels: ['a', 'r1'],
      clockMs: this.clockMs,
      sequence: this.sequence,
      born: this.startMs,
    });
    const url = `http://${agentAddress}/v1/instances/${id}/heartbeat`;
    const request = createRequest(url, {method: 'POST'}, reply =>
      reply.resume(),
    );
    // If the agent is unreachable, the next heartbeat reports the state.
    request.on('error', () => undefined);
    request.end(body);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {bytes} = await readBody(request, MAX_BODY_BYTES);
    const path = request.url ?? '';
    const body = JSON.parse(bytes.toString()) as RequestBody;
    if (request.headers['expect-instance'] !== this.options.id) {
      return this.answer(response, 421, {});
    }
    if (this.options.isAnswered?.(path) === false) {
      setTimeout(() => this.execute(path, body), UNANSWERED_REQUEST_DELAY_MS);
      return;
    }
    if (path === '/v1/hold') return this.answerHold(body, response);
    const reason = this.execute(path, body);
    if (reason === '') return this.answer(response, 200, {});
    this.answer(response, 409, {reason});
  }

  private execute(path: string, body: RequestBody): string {
    const {fencingToken = 0, deadlineMs = 0} = body;
    if (fencingToken < this.highestFencingToken) return 'fence';
    this.highestFencingToken = fencingToken;
    if (path === '/v1/run-stop') return this.stop(body);
    if (path !== '/v1/run-start') return '';
    if (deadlineMs < this.clockMs) return 'late';
    this.deadlineMs = Math.max(this.deadlineMs, deadlineMs);
    return this.start(body);
  }

  private start({task, run, spec}: RequestBody): string {
    const known = this.runs.get(task);
    if (known?.run === run) return '';
    if (run <= (this.highestClosedRuns.get(task) ?? 0)) return 'old';
    if (known !== undefined) this.violations.duplicates += 1;
    const used = [...this.runs.values()].reduce(
      (sum, {payload}) => sum + this.options.computeDemandMilli(payload),
      this.options.computeDemandMilli(spec),
    );
    if (used > this.cpuMilli) this.violations.overCapacity += 1;
    this.started.push(task);
    const runMs = this.options.computeRunMs(spec);
    const outcome = runMs < 0 ? RunOutcome.FAILED : RunOutcome.DONE;
    const timer = setTimeout(() => this.end(task, outcome), Math.abs(runMs));
    const startedAtMs = performance.now();
    this.runs.set(task, {task, run, payload: spec, startedAtMs, timer});
    this.options.reportRun?.({task, run, lateMs: 0});
    if (this.options.isDeadly?.(spec) === true) {
      setTimeout(() => {
        if (!this.runs.has(task)) return;
        this.crashes.push(task);
        void this.restart();
      }, CRASH_DELAY_MS);
    }
    return '';
  }

  private stop({task, run}: RequestBody): string {
    this.highestClosedRuns.set(
      task,
      Math.max(run, this.highestClosedRuns.get(task) ?? 0),
    );
    if (this.runs.get(task)?.run === run) {
      setTimeout(() => this.end(task, RunOutcome.STOPPED), STOP_DELAY_MS);
    }
    return '';
  }

  private end(task: string, outcome: RunOutcome, lateMs = 0): void {
    const run = this.runs.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.highestClosedRuns.set(
      task,
      Math.max(run.run, this.highestClosedRuns.get(task) ?? 0),
    );
    this.options.reportRun?.({task, run: run.run, outcome, lateMs});
    this.endCount += 1;
    this.ended.push([this.endCount, task, run.run, outcome, '']);
    if (outcome === RunOutcome.DONE) this.done.push(task);
    if (outcome === RunOutcome.STOPPED) this.stopped.push(task);
    for (const reply of [...this.pendingHolds]) reply();
  }

  private answerHold(body: RequestBody, response: ServerResponse): void {
    const {fencingToken = 0, deadlineMs = 0, ackedThrough = 0} = body;
    if (fencingToken < this.highestFencingToken) {
      return this.answer(response, 409, {reason: 'fence'});
    }
    this.highestFencingToken = fencingToken;
    this.deadlineMs = Math.max(this.deadlineMs, deadlineMs);
    this.ended = this.ended.filter(([number]) => number > ackedThrough);
    const reply = () => {
      clearTimeout(timer);
      this.pendingHolds.delete(reply);
      const running = [...this.runs.values()].map(run => [
        run.task,
        run.run,
        '',
        this.computePercent(run),
        0,
      ]);
      this.answer(response, 200, {running, finished: this.ended});
    };
    const timer = setTimeout(reply, body.waitMs ?? 0);
    if (this.ended.length > 0) reply();
    else this.pendingHolds.add(reply);
  }

  private computePercent({payload, startedAtMs}: Run): number {
    const runMs = Math.abs(this.options.computeRunMs(payload));
    const share = (performance.now() - startedAtMs) / Math.max(1, runMs);
    return Math.min(99, Math.floor(share * 100));
  }

  private checkLease(): void {
    const lateMs = this.clockMs - this.deadlineMs;
    if (lateMs <= 0) return;
    for (const {task} of [...this.runs.values()]) {
      this.end(task, RunOutcome.LAPSED, lateMs);
    }
  }

  private answer(
    response: ServerResponse,
    status: number,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    if (response.destroyed) return;
    const body = {...fields, clockMs: this.clockMs, born: this.startMs};
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}
