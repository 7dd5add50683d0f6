/** Stand-in for a runner: starts tasks under a lease, for the agent beside it. */
import {createServer, request as createRequest} from 'node:http';

const STOP_MS = 20;
const LEASE_CHECK_MS = 10;
const HOLD_MAX_MS = 1000;
const HEARTBEAT_MS = 1500;
const RETRY_HEARTBEAT_MS = 200;
const FIRST_CLOCK_MS = 1000;

/**
 * Opens a runner. Options: `host`, `port`, `control` (address for heartbeats), `id`,
 * `service`, `zone`, `capacity`, `labels`, `computeRunMs(task, spec)` and
 * `report(event)`, which receives each start and end. A change of `capacity` shows in
 * the next heartbeat.
 */
export async function openRunner(options) {
  const {host, port, id, control, computeRunMs, report} = options;
  const born = Math.round(performance.timeOrigin + performance.now());
  const startedAt = performance.now();
  const runs = new Map();
  const closedRuns = new Map();
  const holds = new Set();
  let ended = [];
  let endCount = 0;
  let highestFence = 0;
  let leaseEnd = 0;
  let sequence = 0;
  let heartbeatTimer;

  const readClock = () =>
    Math.round(performance.now() - startedAt) + FIRST_CLOCK_MS;

  function end(task, how) {
    const entry = runs.get(task);
    if (entry === undefined) return;
    clearTimeout(entry.timer);
    runs.delete(task);
    closedRuns.set(task, Math.max(entry.run, closedRuns.get(task) ?? 0));
    endCount += 1;
    ended.push([endCount, task, entry.run, how, '']);
    report({event: 'end', runner: id, task, run: entry.run, how});
    for (const finish of [...holds]) finish();
  }

  function extendLease(deadlineMs = 0) {
    const limit = readClock() + HOLD_MAX_MS;
    leaseEnd = Math.max(leaseEnd, Math.min(deadlineMs, limit));
  }

  function start({task, run, spec, deadlineMs}) {
    if (deadlineMs < readClock()) return 'late';
    extendLease(deadlineMs);
    if (runs.get(task)?.run === run) return '';
    const highest = Math.max(
      closedRuns.get(task) ?? 0,
      runs.get(task)?.run ?? 0,
    );
    if (run <= highest) return 'old';
    const runMs = computeRunMs(task, spec);
    const timer = setTimeout(() => end(task, 'done'), runMs);
    const since = performance.now();
    runs.set(task, {run, timer, since, runMs});
    report({event: 'start', runner: id, task, run});
    return '';
  }

  function stop({task, run}) {
    closedRuns.set(task, Math.max(run, closedRuns.get(task) ?? 0));
    if (runs.get(task)?.run === run) {
      setTimeout(() => end(task, 'stopped'), STOP_MS);
    }
    return '';
  }

  function answerHold(body, answer) {
    extendLease(body.deadlineMs);
    const through = body.ackedThrough ?? 0;
    ended = ended.filter(([number]) => number > through);
    const finish = () => {
      clearTimeout(timer);
      holds.delete(finish);
      const running = [...runs].map(([task, {run, since, runMs}]) => {
        const share = (performance.now() - since) / Math.max(1, runMs);
        const percent = Math.min(99, Math.floor(share * 100));
        return [task, run, '', percent, 0];
      });
      answer(200, {running, finished: ended.slice(0, 500)});
    };
    const timer = setTimeout(finish, body.waitMs ?? 0);
    if (ended.length > 0) finish();
    else holds.add(finish);
  }

  function serve(request, body, answer) {
    if (request.headers['expect-instance'] !== id) return answer(421, {});
    const {fencingToken = 0} = body;
    if (fencingToken < highestFence) return answer(409, {reason: 'fence'});
    highestFence = fencingToken;
    if (request.url === '/v1/hold') return answerHold(body, answer);
    if (request.url === '/v1/pace') return answer(200, {});
    const isStart = request.url === '/v1/run-start';
    if (!isStart && request.url !== '/v1/run-stop') return answer(404, {});
    const reason = isStart ? start(body) : stop(body);
    return reason === '' ? answer(200, {}) : answer(409, {reason});
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      const answer = (status, fields) => {
        if (response.destroyed) return;
        response.writeHead(status, {'content-type': 'application/json'});
        const body = {...fields, clockMs: readClock(), born};
        response.end(JSON.stringify(body));
      };
      serve(request, JSON.parse(Buffer.concat(chunks).toString()), answer);
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });

  function sendHeartbeat() {
    sequence += 1;
    const {service, zone, capacity, labels} = options;
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity,
      labels,
      clockMs: readClock(),
      sequence,
      born,
    });
    const url = `http://${control}/v1/instances/${id}/heartbeat`;
    const headers = {'content-type': 'application/json'};
    const again = delayMs => {
      clearTimeout(heartbeatTimer);
      heartbeatTimer = setTimeout(sendHeartbeat, delayMs);
    };
    const request = createRequest(
      url,
      {method: 'POST', headers, timeout: 1000},
      response => {
        response.resume();
        const isAcknowledged = response.statusCode === 200;
        again(isAcknowledged ? HEARTBEAT_MS : RETRY_HEARTBEAT_MS);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => again(RETRY_HEARTBEAT_MS));
    request.end(body);
  }
  sendHeartbeat();

  const leaseTimer = setInterval(() => {
    if (readClock() <= leaseEnd) return;
    for (const task of [...runs.keys()]) end(task, 'lapsed');
  }, LEASE_CHECK_MS);

  return {
    id,
    listRunning: () => [...runs.keys()],
    close: () => {
      clearTimeout(heartbeatTimer);
      clearInterval(leaseTimer);
      for (const {timer} of runs.values()) clearTimeout(timer);
      runs.clear();
      server.closeAllConnections();
      server.close();
    },
  };
}
