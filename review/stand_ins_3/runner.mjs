/**
 * Stand-in of a runner, as PROTOCOL.md describes it: it does not guard its capacity,
 * keeps the highest fencing token, holds runs under a lease on its own clock, lists
 * ends until they are acknowledged, and sends heartbeats to the agent of its machine.
 */
import {createServer} from 'node:http';
import {call, readJson, reply} from './http.mjs';

const HOLD_MAX_MS = 1000;
const STOP_MS = 30;
const LEASE_CHECK_MS = 10;
const MAX_LISTED_ENDS = 500;

/** One life of a runner. */
export class Runner {
  runs = new Map();
  closed = new Map();
  ended = [];
  holds = new Set();
  endCount = 0;
  highestToken = 0;
  leaseUntilMs = 0;
  sequence = 0;
  state = 'ready';
  born = Date.now();
  startedAt = performance.now();

  /**
   * Starts a runner and its heartbeats.
   *
   * @param options `id`, `service`, `zone`, `host`, `port`, `agent` (its `control`
   *     address), `capacity`, `labels`, `heartbeatMs`, `readRunMs` (run time of a
   *     task by its name and spec) and `record`.
   */
  static async start(options) {
    const runner = new Runner();
    Object.assign(runner, options);
    runner.server = createServer((request, response) => {
      runner.serve(request, response).catch(() => reply(response, 400, {}));
    });
    runner.server.keepAliveTimeout = 60_000;
    const {host, port} = options;
    await new Promise(resolve => runner.server.listen(port, host, resolve));
    runner.beat();
    runner.timers = [
      setInterval(() => runner.beat(), options.heartbeatMs),
      setInterval(() => runner.checkLease(), LEASE_CHECK_MS),
    ];
    return runner;
  }

  get clockMs() {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Lists the names of the tasks that run now. */
  listRunning() {
    return [...this.runs.keys()];
  }

  /** Stops the stand-in. */
  stop() {
    for (const timer of this.timers) clearInterval(timer);
    for (const {timer} of this.runs.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  beat() {
    this.sequence += 1;
    const {service, zone, state, capacity, labels, clockMs, sequence, born} =
      this;
    const {answer} = call({
      address: this.agent,
      method: 'POST',
      path: `/v1/instances/${this.id}/heartbeat`,
      headers: {host: this.agent},
      timeoutMs: 1000,
      fields: {
        service,
        address: `${this.host}:${this.port}`,
        zone,
        version: 'v1',
        slots: 8,
        state,
        coldRemainingMs: 0,
        capacity,
        labels,
        clockMs,
        sequence,
        born,
      },
    });
    void answer;
  }

  async serve(request, response) {
    const body = await readJson(request);
    if (request.headers['expect-instance'] !== this.id) {
      return this.answer(response, 421, {});
    }
    switch (request.url) {
      case '/v1/run-start':
        return this.answerOrder(response, this.start(body));
      case '/v1/run-stop':
        return this.answerOrder(response, this.end(body));
      case '/v1/hold':
        return this.hold(body, response);
      default:
        return this.answer(response, 404, {});
    }
  }

  answer(response, status, fields) {
    reply(response, status, {
      ...fields,
      clockMs: this.clockMs,
      born: this.born,
    });
  }

  answerOrder(response, reason) {
    if (reason === '') this.answer(response, 200, {});
    else this.answer(response, 409, {reason});
  }

  admitToken(token = 0) {
    if (token < this.highestToken) return false;
    this.highestToken = token;
    return true;
  }

  extendLease(deadlineMs) {
    const limitMs = this.clockMs + HOLD_MAX_MS;
    const untilMs = Math.min(deadlineMs, limitMs);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs);
  }

  start({task, run, spec, deadlineMs, fencingToken}) {
    if (!this.admitToken(fencingToken)) return 'fence';
    if (deadlineMs <= this.clockMs) return 'late';
    this.extendLease(deadlineMs);
    if (this.runs.get(task)?.run === run) return '';
    if (run <= (this.closed.get(task) ?? 0)) return 'old';
    const runMs = this.readRunMs(task, spec);
    const timer = setTimeout(() => this.finish(task, run, 'done'), runMs);
    this.runs.set(task, {run, timer, runMs, startedAt: performance.now()});
    this.record(`${this.id} starts ${task} run ${run}`);
    return '';
  }

  end({task, run, fencingToken}) {
    if (!this.admitToken(fencingToken)) return 'fence';
    this.close(task, run);
    if (this.runs.get(task)?.run === run) {
      setTimeout(() => this.finish(task, run, 'stopped'), STOP_MS);
    }
    return '';
  }

  close(task, run) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
  }

  finish(task, run, how) {
    const held = this.runs.get(task);
    if (held?.run !== run) return;
    clearTimeout(held.timer);
    this.runs.delete(task);
    this.close(task, run);
    this.endCount += 1;
    this.ended.push([this.endCount, task, run, how, '']);
    this.record(`${this.id} ends ${task} run ${run}: ${how}`);
    for (const finishHold of [...this.holds]) finishHold();
  }

  checkLease() {
    if (this.clockMs <= this.leaseUntilMs) return;
    for (const [task, {run}] of [...this.runs]) {
      this.finish(task, run, 'lapsed');
    }
  }

  hold({fencingToken, ackedThrough = 0, deadlineMs, waitMs = 0}, response) {
    if (!this.admitToken(fencingToken)) {
      return this.answer(response, 409, {reason: 'fence'});
    }
    if (deadlineMs !== undefined) this.extendLease(deadlineMs);
    this.ended = this.ended.filter(([number]) => number > ackedThrough);
    const finishHold = () => {
      clearTimeout(timer);
      this.holds.delete(finishHold);
      const nowMs = performance.now();
      const running = [...this.runs].map(([task, held]) => {
        const share = (nowMs - held.startedAt) / held.runMs;
        const percent = Math.min(99, Math.floor(share * 100));
        return [task, held.run, '', percent, 0];
      });
      const finished = this.ended.slice(0, MAX_LISTED_ENDS);
      this.answer(response, 200, {running, finished});
    };
    const timer = setTimeout(finishHold, Math.min(2000, waitMs));
    this.holds.add(finishHold);
    if (waitMs === 0 || this.ended.length > 0) finishHold();
    return undefined;
  }
}
