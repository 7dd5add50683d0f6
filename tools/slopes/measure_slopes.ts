/** Measures how memory and processor time grow with size, for docs/CAPACITY.md. */
import {performance} from 'node:perf_hooks';
import {RequestError} from '../../src/lib/core/errors.js';
import {AgentLoadTable} from '../../src/lib/decisions/agent_load_table.js';
import {
  createPlacementPolicy,
  PlacementKind,
} from '../../src/lib/decisions/choose_agent.js';
import {FairQueue} from '../../src/lib/decisions/fair_queue.js';
import {IdempotencyKeyTable} from '../../src/lib/decisions/idempotency_key_table.js';
import {rankByStretch} from '../../src/lib/decisions/rank_job.js';
import {
  PlanStepKind,
  WorkPlanner,
} from '../../src/lib/decisions/work_planner.js';
import {EntryFrame} from '../../src/lib/wire/generated/foxtailbay.js';
import {createRandom} from '../load/random.js';

/** Cost per item at one size. */
interface Measurement {
  readonly subject: string;
  readonly size: number;
  readonly bytesEach: number;
  readonly microsecondsEach: number;
}

const SEED = 1;
const SLOTS = 8;
const TASKS_PER_JOB = 12;
const PAYLOAD = Buffer.from(JSON.stringify({do: 'sleep', ms: 300, id: '1/1'}));

/** Time in milliseconds after which no agent is limited by its ramp. */
const RAMP_END_MS = 10_000;

/**
 * Measures the heap bytes and the time per item of building a structure, which
 * is kept reachable until the memory has been read.
 */
function measureBuild(
  subject: string,
  size: number,
  build: () => unknown,
): Measurement {
  collectGarbage();
  const before = process.memoryUsage();
  const startMs = performance.now();
  const built = build();
  const elapsedMs = performance.now() - startMs;
  collectGarbage();
  const after = process.memoryUsage();
  if (built === undefined) {
    throw new RequestError('The measured function returned nothing.');
  }
  const bytes =
    after.heapUsed - before.heapUsed + after.external - before.external;
  return {
    subject,
    size,
    bytesEach: bytes / size,
    microsecondsEach: (elapsedMs * 1000) / size,
  };
}

function measureTime(
  subject: string,
  size: number,
  work: () => number,
): Measurement {
  work();
  const startMs = performance.now();
  const count = work();
  const elapsedMs = performance.now() - startMs;
  const microsecondsEach = (elapsedMs * 1000) / count;
  return {subject, size, bytesEach: 0, microsecondsEach};
}

function collectGarbage(): void {
  if (globalThis.gc === undefined) {
    throw new RequestError(
      'Garbage collection is not exposed: start with node --expose-gc.',
    );
  }
  globalThis.gc();
  globalThis.gc();
}

function createAgentTable(agents: number): AgentLoadTable {
  const table = AgentLoadTable.create({
    policy: createPlacementPolicy(PlacementKind.LEAST_LOADED),
    drawRandom: createRandom(SEED),
    dataCentre: 'here',
  });
  const counts = {slots: SLOTS, queueLimit: 4, running: 0, queued: 0};
  const report = {...counts, unreported: 0, isUsable: true};
  for (let agent = 0; agent < agents; agent += 1) {
    table.addAgent(`agent-${agent}`, 'here');
    table.applyReport(`agent-${agent}`, {...report, targetInstance: 'x'}, 0);
  }
  table.refreshAll(RAMP_END_MS);
  return table;
}

function createPlanner(agents: number): WorkPlanner {
  return WorkPlanner.create({
    agents: createAgentTable(agents),
    rankJob: rankByStretch,
    limits: {tasksPerJob: 5000, waitingTasksAtMost: 1e7, jobsAtMost: 1e7},
  });
}

/**
 * Plans and ends tasks with about one slot in eight of the fleet free; returns
 * the number of tasks sent.
 */
function planTasks(agents: number): number {
  const planner = createPlanner(agents);
  const jobs = Math.ceil((agents * SLOTS * 3) / TASKS_PER_JOB);
  const declaredMs = Array<number>(TASKS_PER_JOB).fill(300);
  const jobOptions = {team: 'team', taskClass: 'default', value: 1};
  for (let job = 0; job < jobs; job += 1) {
    const name = {job: `job-${job}`, deadlineMs: 1e6};
    planner.submit({...name, ...jobOptions, declaredMs}, RAMP_END_MS);
  }
  let sentCount = 0;
  const end = {isSuccess: true, runMs: 300};
  const sent = [];
  let ended = 0;
  for (;;) {
    const step = planner.takeStep(RAMP_END_MS);
    if (step?.kind === PlanStepKind.SEND) {
      sentCount += 1;
      sent.push(step);
    }
    const isFull = sent.length - ended > agents * (SLOTS - 1);
    const oldest = step === undefined || isFull ? sent[ended] : undefined;
    if (oldest !== undefined) {
      ended += 1;
      planner.recordEnd(
        oldest.task,
        {...end, agent: oldest.agent},
        RAMP_END_MS,
      );
    } else if (step === undefined) {
      return sentCount;
    }
  }
}

function createQueue(tasks: number): FairQueue {
  const queue = FairQueue.create();
  for (let job = 0; job * TASKS_PER_JOB < tasks; job += 1) {
    queue.add({
      job: `incarnation-${job}`,
      team: `team-${job % 100}`,
      rank: job,
      startByMs: job,
      value: 1,
      tasks: Array.from({length: TASKS_PER_JOB}, (_, index) => ({
        index,
        expectedMs: 300,
      })),
    });
  }
  return queue;
}

function drainQueue(tasks: number): number {
  const queue = createQueue(tasks);
  let count = 0;
  while (queue.take() !== undefined) count += 1;
  return count;
}

function createKeyTable(keys: number): IdempotencyKeyTable<string> {
  const keyTable = IdempotencyKeyTable.create<string>({
    lifetimeMs: 1e9,
    keysAtMost: keys * 5,
    answerBytesAtMost: 1e9,
  });
  const serial = keyTable.openSession(0);
  for (let key = 0; key < keys; key += 1) {
    keyTable.submit(serial, `job-${key}`, `digest-of-44-bytes-${key}`, 0);
  }
  return keyTable;
}

function encodeStarts(batch: number): number {
  const starts = Array.from({length: batch}, (_, index) => ({
    sequence: index + 1,
    job: 'GkE3mPzQ1xYt-12345',
    index,
    team: 'listings',
    taskClass: 'default',
    payload: PAYLOAD,
    startWithinMs: 30_000,
    runWithinMs: 30_000,
    trace: '',
  }));
  const rounds = Math.ceil(100_000 / batch);
  for (let round = 0; round < rounds; round += 1) {
    const frame = {
      welcome: undefined,
      starts,
      withdrawn: [],
      acknowledged: [],
      pong: undefined,
      configuration: undefined,
    };
    EntryFrame.decode(EntryFrame.encode(frame).finish());
  }
  return rounds * batch;
}

const measurements: Measurement[] = [
  ...[100, 1000, 4000, 16_000].map(size =>
    measureBuild('agent on the board', size, () => createAgentTable(size)),
  ),
  ...[12_000, 48_000, 192_000].map(size =>
    measureBuild('waiting task (with its job)', size, () => createQueue(size)),
  ),
  ...[10_000, 50_000, 150_000].map(size =>
    measureBuild('session key', size, () => createKeyTable(size)),
  ),
  ...[10, 100, 1000, 4000].map(size =>
    measureTime('task planned, by agents', size, () => planTasks(size)),
  ),
  ...[12_000, 48_000, 192_000].map(size =>
    measureTime('task queued and taken', size, () => drainQueue(size)),
  ),
  ...[1, 8, 64].map(size =>
    measureTime('start encoded and decoded, by batch', size, () =>
      encodeStarts(size),
    ),
  ),
];

process.stdout.write('| subject | size | bytes each | µs each |\n');
process.stdout.write('| --- | --- | --- | --- |\n');
for (const point of measurements) {
  const cells = [
    point.subject,
    point.size,
    point.bytesEach === 0 ? '' : Math.round(point.bytesEach),
    point.microsecondsEach.toFixed(2),
  ];
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
