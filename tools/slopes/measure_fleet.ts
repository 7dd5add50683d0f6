/**
 * Measures what the agents of a fleet cost one entry, over sockets, by the size of
 * the fleet, for docs/SCALE.md: event-loop time of a ping, a report, a submission
 * and a round, and the bytes of a ping and its answer.
 *
 * The agents run on a thread of their own, so that the main thread's event loop
 * does the entry's work only.
 */
import {performance} from 'node:perf_hooks';
import {isMainThread, Worker, workerData} from 'node:worker_threads';
import {
  readMonotonicMs,
  readSystemMs,
  startTimer,
} from '../../src/lib/core/clock.js';
import type {FleetConfiguration} from '../../src/lib/core/fleet_configuration.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import {
  LINKS_PER_AGENT,
  listWanted,
  rankAddresses,
} from '../../src/lib/decisions/choose_links.js';
import {createRandomChoice} from '../../src/lib/decisions/place_at_random.js';
import {NO_OP_FLEET_METRICS} from '../../src/lib/observe/fleet_metrics.js';
import {createAgentAcceptor} from '../../src/lib/work/entry/accept_agents.js';
import {Scheduler} from '../../src/lib/work/entry/scheduler.js';
import {SchedulerMessageKind} from '../../src/lib/work/entry/scheduler_messages.js';
import {openLineServer} from '../../src/lib/work/link/line_stream.js';
import {createRandom} from '../load/random.js';
import {ADDRESS, Command, FRAMES, runAgents} from './fleet_agents.js';

const SIZES = [
  {agents: 11, entries: 4},
  {agents: 70, entries: 12},
  {agents: 160, entries: 35},
  {agents: 1000, entries: 200},
];
const SUBMISSIONS = 2000;
const SEED = 1;

/** Pings on a link, see `decisions/ping_schedule.ts`. */
const PINGS_PER_SECOND = 5;

interface FleetSize {
  readonly agents: number;
  readonly entries: number;
}

const CONFIGURATION: FleetConfiguration = {
  revision: 7,
  version: 7,
  queues: [
    {
      name: 'queue',
      host: 'host.example',
      prefix: '/jobs/',
      service: 'runner',
      priority: 0,
      attemptsAtMost: 3,
      stretch: 1.6,
      allowanceMs: 60,
    },
  ],
  services: ['runner'],
  limits: {bodyBytes: 10_000},
  dataCentresOut: [],
};

/** Counts the agents that link to one entry of the fleet. */
function countLinkedAgents({agents, entries}: FleetSize): number {
  const addresses = Array.from(
    {length: entries},
    (_, index) => `10.0.0.${index}:1`,
  );
  let linked = 0;
  for (let agent = 0; agent < agents; agent += 1) {
    const ranked = rankAddresses(`agent-${agent}`, addresses);
    if (listWanted(ranked, () => true).includes(addresses[0])) linked += 1;
  }
  return linked;
}

/** Measures the active time of this thread's event loop, in microseconds each. */
async function measureEach(
  count: number,
  run: () => Promise<unknown>,
): Promise<number> {
  const before = performance.eventLoopUtilization();
  await run();
  const {active} = performance.eventLoopUtilization(before);
  return Math.round((active * 10_000) / count) / 10;
}

async function measureSize(size: FleetSize): Promise<string> {
  const linked = countLinkedAgents(size);
  const scheduler = Scheduler.create({
    incarnation: 'entry-life',
    address: ADDRESS,
    dataCentre: 'vn-south-a',
    farFactor: 1.5,
    chooseTarget: createRandomChoice(createRandom(SEED)),
    readMonotonicMs,
    readSystemMs,
    startTimer,
    log: () => undefined,
    metrics: NO_OP_FLEET_METRICS,
    reportFailure: failure => {
      throw failure;
    },
    reportReady: () => undefined,
    applyConfiguration: () => undefined,
    reportForecasts: () => undefined,
    reportIdle: () => undefined,
  });
  scheduler.post({
    kind: SchedulerMessageKind.CONFIGURATION,
    configuration: CONFIGURATION,
  });
  const server = await openLineServer<EntryFrame, AgentFrame>(
    ADDRESS,
    createAgentAcceptor(scheduler),
  );
  const worker = new Worker(new URL(import.meta.url), {workerData: linked});
  const awaitReply = () =>
    new Promise<number>(resolve => worker.once('message', resolve));
  await awaitReply();
  await new Promise(resolve => startTimer(300, () => resolve(undefined)));
  let pingBytes = 0;
  const sendFrames = (command: Command) => async () => {
    worker.postMessage(command);
    const bytes = await awaitReply();
    if (command === Command.PING) pingBytes = bytes;
  };
  await sendFrames(Command.PING)();
  const pingUs = await measureEach(FRAMES, sendFrames(Command.PING));
  const reportUs = await measureEach(FRAMES, sendFrames(Command.REPORT));
  const submissionUs = await measureEach(SUBMISSIONS, () => submit(scheduler));
  await worker.terminate();
  await scheduler.stop();
  server.close();
  const {agents, entries} = size;
  const perLink = agents === 0 ? 0 : (pingBytes * PINGS_PER_SECOND) / 1024;
  const links = Math.min(entries, LINKS_PER_AGENT);
  return (
    `| ${agents} x ${entries} | ${linked} | ${pingUs} | ${pingBytes} | ` +
    `${reportUs} | ${submissionUs} | ${(perLink * linked).toFixed(1)} | ` +
    `${(perLink * links).toFixed(1)} |`
  );
}

/** Submits jobs of two tasks, each placed in a round and cancelled. */
async function submit(scheduler: Scheduler): Promise<void> {
  const step = {
    count: 2,
    need: {cpuMilli: 10, memoryMb: 1, accelerators: 0},
    estimateMs: 100,
    after: [],
    requiredLabel: '',
    preferredRack: '',
    perTargetAtMost: 0,
  };
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    const job = number.toString(16).padStart(16, '0');
    scheduler.post({
      kind: SchedulerMessageKind.SUBMIT,
      request: {
        job,
        request: job,
        queue: 'queue',
        payload: '',
        steps: [step],
        deadlineMs: 3000,
      },
      rule: CONFIGURATION.queues[0],
      caller: number,
      answer: () => undefined,
    });
    // The round of placement runs in the next turns of the event loop.
    await new Promise(resolve => setImmediate(resolve));
    await new Promise(resolve => setImmediate(resolve));
    scheduler.post({
      kind: SchedulerMessageKind.CANCEL,
      job,
      answer: () => undefined,
    });
  }
}

if (isMainThread) {
  console.log(
    '| agents x entries | links of an entry | ping, us | bytes of a ping and ' +
      'its answer | report, us | submission and round, us | KiB/s of pings an ' +
      'entry | KiB/s of pings an agent |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
  for (const size of SIZES) console.log(await measureSize(size));
} else {
  runAgents(workerData as number);
}
