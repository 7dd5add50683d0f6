/**
 * Stand-in of a runner: heartbeats to the agent beside it, tasks under one lease,
 * fencing tokens, lists of runs. A task's `spec` is JSON: `{"ms": RUN_TIME}`.
 */
import {createServer, request as sendRequest} from 'node:http';

const HOLD_MAX_MS = 1000;
const STOP_MS = 30;
const LEASE_CHECK_MS = 2;
const FIRST_CLOCK_MS = 1000;

export class Runner {
  /** All runs that ever began here, with their times; for the check. */
  history = [];

  /**
   * @param options `id`, `host`, `port`, `control` (the agent's address),
   *     `service`, `zone`, `cpu`, `labels`, `beatMs`, `record`; `slowClock` is the
   *     share by which its clock is slow.
   */
  constructor(options) {
    this.options = {memMb: 32_768, labels: [], beatMs: 1500, ...options};
    this.id = options.id;
    this.state = 'ready';
  }

  get clockMs() {
    const elapsedMs = performance.now() - this.startedAt;
    const rate = 1 - (this.options.slowClock ?? 0);
    return Math.floor(elapsedMs * rate) + FIRST_CLOCK_MS;
  }

  /** Begins a life that knows nothing of earlier ones. */
  async open() {
    this.startedAt = performance.now();
    this.born = Date.now();
    this.sequence = 0;
    this.fence = 0;
    this.deadline = 0;
    this.runs = new Map();
    this.closed = new Map();
    this.finished = [];
    this.endCount = 0;
    this.holds = new Set();
    this.server = createServer((request, response) =>
      this.receive(request, response),
    );
    this.server.keepAliveTimeout = 60_000;
    const {host, port, beatMs, record} = this.options;
    await new Promise(resolve => this.server.listen(port, host, resolve));
    record(`runner ${this.id}: a life begins, born ${this.born}`);
    this.leaseTimer = setInterval(() => this.checkLease(), LEASE_CHECK_MS);
    this.beatTimer = setInterval(() => this.beat(), beatMs);
    this.beat();
  }

  /** Ends the life without notice, as a crash does. */
  crash(reason = 'crash') {
    clearInterval(this.leaseTimer);
    clearInterval(this.beatTimer);
    for (const run of [...this.runs.values()]) this.end(run, reason);
    for (const hold of this.holds) clearTimeout(hold.timer);
    this.server.closeAllConnections();
    this.server.close();
    this.options.record(`runner ${this.id}: the life ends (${reason})`);
  }

  beat() {
    this.sequence += 1;
    const {service, zone, cpu, memMb, labels, host, port} = this.options;
    const body = {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: {cpu, memMb, gpus: 0},
      labels,
      clockMs: this.clockMs,
      sequence: this.sequence,
      born: this.born,
    };
    sendHeartbeat(this.options.control, this.id, JSON.stringify(body));
  }

  async receive(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return this.answer(response, 421, {});
    }
    const lateMs = this.options.chooseDelay?.(request.url, body) ?? 0;
    if (lateMs > 0) {
      // No answer; the call is carried out late, by the life that is up then.
      const {record} = this.options;
      record(`runner ${this.id}: ${request.url} ${body.task} no answer`);
      setTimeout(() => this.execute(request.url, body, 'late '), lateMs);
      return;
    }
    const {status, fields, waitMs} = this.execute(request.url, body, '');
    if (waitMs > 0 && this.finished.length === 0) {
      const hold = {};
      hold.finish = () => {
        clearTimeout(hold.timer);
        this.holds.delete(hold);
        this.answer(response, 200, this.list());
      };
      hold.timer = setTimeout(hold.finish, Math.min(2000, waitMs));
      this.holds.add(hold);
      return;
    }
    this.answer(response, status, fields);
  }

  execute(path, body, note) {
    const {record} = this.options;
    const {fencingToken = 0, deadlineMs = 0, task, run} = body;
    if (fencingToken < this.fence) return refuse('fence');
    this.fence = fencingToken;
    const isLate = path === '/v1/run-start' && deadlineMs <= this.clockMs;
    if (isLate) return refuse('late');
    const longest = this.clockMs + HOLD_MAX_MS;
    this.deadline = Math.max(this.deadline, Math.min(deadlineMs, longest));
    if (path === '/v1/hold') {
      const {ackedThrough = 0, waitMs = 0} = body;
      this.finished = this.finished.filter(([number]) => number > ackedThrough);
      return {status: 200, fields: this.list(), waitMs};
    }
    if (path === '/v1/run-stop') {
      const highest = Math.max(run, this.closed.get(task) ?? 0);
      this.closed.set(task, highest);
      const known = this.runs.get(`${task}#${run}`);
      record(`runner ${this.id}: ${note}stop ${task} run ${run}`);
      if (known !== undefined) {
        setTimeout(() => this.end(known, 'stopped'), STOP_MS);
      }
      return {status: 200, fields: {}};
    }
    if (path !== '/v1/run-start') return {status: 404, fields: {}};
    if (this.runs.has(`${task}#${run}`)) return {status: 200, fields: {}};
    if (run <= (this.closed.get(task) ?? 0)) return refuse('old');
    record(
      `runner ${this.id}: ${note}start ${task} run ${run} spec ${body.spec}`,
    );
    this.begin(task, run, body.spec);
    return {status: 200, fields: {}};
  }

  begin(task, run, spec) {
    const {ms} = JSON.parse(spec);
    const startedMs = this.options.record.nowMs();
    const held = {task, run, spec, ms, startedMs, runner: this.id};
    held.startedAt = performance.now();
    held.timer = setTimeout(() => this.end(held, 'done'), ms);
    this.runs.set(`${task}#${run}`, held);
    this.history.push(held);
  }

  end(held, how) {
    const {task, run} = held;
    if (!this.runs.delete(`${task}#${run}`)) return;
    clearTimeout(held.timer);
    held.how = how;
    held.endedMs = this.options.record.nowMs();
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
    this.endCount += 1;
    this.finished.push([this.endCount, task, run, how, '']);
    this.options.record(`runner ${this.id}: end ${task} run ${run} ${how}`);
    for (const hold of [...this.holds]) hold.finish();
  }

  list() {
    const running = [...this.runs.values()].map(held => {
      const share = (performance.now() - held.startedAt) / held.ms;
      const percent = Math.min(99, Math.floor(share * 100));
      return [held.task, held.run, '', percent, 0];
    });
    const finished = this.finished.slice(0, 500);
    return {running, finished, born: this.born};
  }

  checkLease() {
    if (this.clockMs <= this.deadline) return;
    for (const held of [...this.runs.values()]) this.end(held, 'lapsed');
  }

  answer(response, status, fields) {
    if (response.destroyed) return;
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify({clockMs: this.clockMs, ...fields}));
  }
}

function refuse(reason) {
  return {status: 409, fields: {reason}};
}

/** Sends a heartbeat; without an answer, the next one tells the state. */
export function sendHeartbeat(control, id, body) {
  return new Promise(resolve => {
    const request = sendRequest(
      `http://${control}/v1/instances/${id}/heartbeat`,
      {method: 'POST', headers: {'content-type': 'application/json'}},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('error', () => resolve(0));
    request.setTimeout(1000, () => request.destroy());
    request.end(body);
  });
}

/** The lease's end is seen this late at most; shorter overlaps don't count. */
const LEAST_OVERLAP_MS = 5;

/** Finds two runs of one task that were in progress at the same time. */
export function findOverlaps(runners) {
  const runs = runners.flatMap(({history}) => history);
  const overlaps = [];
  for (const [index, a] of runs.entries()) {
    for (const b of runs.slice(index + 1)) {
      if (a.task !== b.task) continue;
      const from = Math.max(a.startedMs, b.startedMs);
      const to = Math.min(a.endedMs ?? Infinity, b.endedMs ?? Infinity);
      if (to - from > LEAST_OVERLAP_MS) overlaps.push({a, b, from, to});
    }
  }
  return overlaps;
}
