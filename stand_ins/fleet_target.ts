/** A stand-in of a target that runs tasks under a lease and is told by one caller. */
import {request as createRequest} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {openHttpListener, readBody} from '../src/lib/core/http_listener.js';
import type {HttpListener} from '../src/lib/core/http_listener.js';

/** What the target counted against its caller. */
export interface TargetBreaches {
  /** Starts that went beyond its capacity. */
  overCapacity: number;
  /** Starts of a task of which a run was still going. */
  twice: number;
}

/** What a stand-in target needs. */
export interface FleetTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Cores, in thousandths. */
  readonly cpuMilli: number;
  /** Where the heartbeats go, `host:port`. */
  readonly agentAddress: string;
  /** How long a run of a task takes, in milliseconds; negative fails it. */
  readonly computeRunMs: (payload: string) => number;
  /** What a task needs, in thousandths of a core: the target is not told. */
  readonly computeNeed: (payload: string) => number;
  /** Whether an order gets an answer; it is carried out later if not. */
  readonly isAnswered?: (path: string) => boolean;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly startedAtMs: number;
  readonly timer: NodeJS.Timeout | undefined;
}

interface RequestBody {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly ackedThrough?: number;
  readonly waitMs?: number;
}

const HEARTBEAT_PERIOD_MS = 200;
const UNANSWERED_REQUEST_DELAY_MS = 700;
const STOP_DELAY_MS = 20;
const LEASE_CHECK_PERIOD_MS = 20;
const MAX_BODY_BYTES = 65_536;
const REQUEST_TIMEOUT_MS = 10_000;

type EndedRun = [
  number: number,
  task: string,
  run: number,
  outcome: string,
  savedState: string,
];

/** Runs tasks, counts breaches of its limits, sends heartbeats. */
export class FleetTarget {
  /** What went wrong so far. */
  readonly breaches: TargetBreaches = {overCapacity: 0, twice: 0};
  /** Tasks done, in order. */
  readonly done: string[] = [];
  /** Tasks stopped on request while they ran, in order. */
  readonly stopped: string[] = [];
  /** What the heartbeats say. */
  state = 'ready';

  private readonly runs = new Map<string, Run>();
  /** Highest run of each task that was stopped or ended here. */
  private readonly highestClosedRuns = new Map<string, number>();
  private readonly pendingHolds = new Set<() => void>();
  private ended: EndedRun[] = [];
  private endCount = 0;
  private highestFencingToken = 0;
  private deadlineMs = 0;
  private sequence = 0;
  private readonly bornMs = Math.round(
    performance.timeOrigin + performance.now(),
  );
  private readonly startedAtMs = performance.now();
  private readonly timers: NodeJS.Timeout[] = [];
  private listener: HttpListener | undefined;

  private constructor(private readonly options: FleetTargetOptions) {}

  /** Opens a target on a free port of the loopback address. */
  static async create(options: FleetTargetOptions): Promise<FleetTarget> {
    const target = new FleetTarget(options);
    target.listener = await openHttpListener({
      host: '127.0.0.1',
      port: 0,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      handle: (request, response) => void target.serve(request, response),
    });
    target.timers.push(
      setInterval(() => target.sendHeartbeat(), HEARTBEAT_PERIOD_MS),
      setInterval(() => target.checkLease(), LEASE_CHECK_PERIOD_MS),
    );
    return target;
  }

  /** `host:port` at which it takes orders. */
  get address(): string {
    return `127.0.0.1:${this.listener?.port}`;
  }

  /** Tasks that run now. */
  listRunning(): string[] {
    return [...this.runs.values()].map(({task}) => task);
  }

  /** Ends without a word. */
  async close(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    for (const {timer} of this.runs.values()) clearTimeout(timer);
    this.runs.clear();
    this.listener?.server.closeAllConnections();
    await this.listener?.close();
  }

  private get clockMs(): number {
    return Math.round(performance.now() - this.startedAtMs) + 1000;
  }

  private sendHeartbeat(): void {
    this.sequence += 1;
    const {id, service, dataCentre, cpuMilli, agentAddress} = this.options;
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
      born: this.bornMs,
    });
    const url = `http://${agentAddress}/v1/instances/${id}/heartbeat`;
    const request = createRequest(url, {method: 'POST'}, reply =>
      reply.resume(),
    );
    // An agent that is away is told by the next beat.
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
    if (known !== undefined) this.breaches.twice += 1;
    const used = [...this.runs.values()].reduce(
      (sum, {payload}) => sum + this.options.computeNeed(payload),
      this.options.computeNeed(spec),
    );
    if (used > this.options.cpuMilli) this.breaches.overCapacity += 1;
    const runMs = this.options.computeRunMs(spec);
    const outcome = runMs < 0 ? 'failed' : 'done';
    const timer = setTimeout(() => this.end(task, outcome), Math.abs(runMs));
    const startedAtMs = performance.now();
    this.runs.set(task, {task, run, payload: spec, startedAtMs, timer});
    return '';
  }

  private stop({task, run}: RequestBody): string {
    this.highestClosedRuns.set(
      task,
      Math.max(run, this.highestClosedRuns.get(task) ?? 0),
    );
    if (this.runs.get(task)?.run === run) {
      setTimeout(() => this.end(task, 'stopped'), STOP_DELAY_MS);
    }
    return '';
  }

  private end(task: string, outcome: string): void {
    const run = this.runs.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.highestClosedRuns.set(
      task,
      Math.max(run.run, this.highestClosedRuns.get(task) ?? 0),
    );
    this.endCount += 1;
    this.ended.push([this.endCount, task, run.run, outcome, '']);
    if (outcome === 'done') this.done.push(task);
    if (outcome === 'stopped') this.stopped.push(task);
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
      const running = [...this.runs.values()].map(one => [
        one.task,
        one.run,
        '',
        this.computePercent(one),
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
    if (this.clockMs <= this.deadlineMs) return;
    for (const {task} of [...this.runs.values()]) this.end(task, 'lapsed');
  }

  private answer(
    response: ServerResponse,
    status: number,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    if (response.destroyed) return;
    const body = {...fields, clockMs: this.clockMs, born: this.bornMs};
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}
