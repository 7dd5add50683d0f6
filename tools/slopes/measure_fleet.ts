/**
 * Measures what the agents of a fleet cost one entry, over sockets, by the size of
 * the fleet, for docs/SCALE.md: event-loop time of a ping, a report, a submission
 * and a round, and the bytes of a ping and its answer.
 *
 * The agents run on a thread of their own, so that the main thread's event loop
 * does the entry's work only.
 */
import {performance} from 'node:perf_hooks';
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from 'node:worker_threads';
import {
  readMonotonicMs,
  readSystemMs,
  startTimer,
} from '../../src/lib/core/clock.js';
import type {FleetConfiguration} from '../../src/lib/core/fleet_configuration.js';
import {AgentFrameKind, TargetPhase} from '../../src/lib/core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import {
  LINKS_PER_AGENT,
  listWanted,
  rankAddresses,
} from '../../src/lib/decisions/choose_links.js';
import {chooseSlowestInTime} from '../../src/lib/decisions/place_task.js';
import {NO_OP_FLEET_METRICS} from '../../src/lib/observe/fleet_metrics.js';
import {Scheduler} from '../../src/lib/work/entry/scheduler.js';
import {SchedulerMessageKind} from '../../src/lib/work/entry/scheduler_messages.js';
import type {FrameStream} from '../../src/lib/work/link/frame_stream.js';
import {
  openLineServer,
  openLineStream,
} from '../../src/lib/work/link/line_stream.js';

const SIZES = [
  {agents: 11, entries: 4},
  {agents: 70, entries: 12},
  {agents: 160, entries: 35},
  {agents: 1000, entries: 200},
];
const ADDRESS = '127.0.0.1:17729';
const FRAMES = 20_000;
const SUBMISSIONS = 2000;
const BURST = 50;

/** What the main thread asks the agents to send. */
enum Command {
  PING = 'ping',
  REPORT = 'report',
}

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

const CAPACITY = {cpuMilli: 64_000, memoryMb: 131_072, accelerators: 0};

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

/** Sends frames from agents, each after the answer to the one before. */
async function runAgents(linked: number): Promise<void> {
  let pongs = 0;
  let bytes = 0;
  const streams: Array<FrameStream<AgentFrame>> = [];
  const countReceived = (frames: readonly EntryFrame[]) => {
    for (const frame of frames) {
      if (frame.kind !== 'pong') continue;
      pongs += 1;
      bytes += JSON.stringify([frame]).length + 1;
    }
  };
  for (let index = 0; index < linked; index += 1) {
    const stream = openLineStream<AgentFrame, EntryFrame>(ADDRESS, {
      receive: countReceived,
      // The measured entry closes its streams at the end of each size.
      fail: () => undefined,
    });
    streams.push(stream);
    const life = `life-${index}`;
    const target = {
      phase: TargetPhase.READY,
      service: 'runner',
      life: `target-${index}`,
      labels: ['a', 'rack-1'],
      capacity: CAPACITY,
    };
    stream.send([
      {
        kind: AgentFrameKind.HELLO,
        agent: `agent-${index}`,
        life,
        dataCentre: 'vn-south-a',
        held: [],
        ends: [],
        through: 0,
      },
      {kind: AgentFrameKind.TARGET, target},
      createReport(0),
      createPing(),
    ]);
  }
  parentPort?.on('message', (command: Command) => {
    pongs = 0;
    bytes = 0;
    let sent = 0;
    const sendBurst = () => {
      for (let index = 0; index < BURST; index += 1) {
        const frame =
          command === Command.PING ? createPing() : createReport(sent);
        bytes += JSON.stringify([frame]).length + 1;
        streams[sent % linked].send([frame]);
        sent += 1;
      }
      // The last burst of reports ends with a ping, whose answer ends the run.
      if (sent < FRAMES) setImmediate(sendBurst);
      else if (command === Command.REPORT) streams[0].send([createPing()]);
    };
    sendBurst();
    const wanted = command === Command.PING ? FRAMES : 1;
    const timer = setInterval(() => {
      if (pongs < wanted) return;
      clearInterval(timer);
      parentPort?.postMessage(Math.round(bytes / FRAMES));
    }, 5);
  });
  parentPort?.postMessage(0);
}

function createPing(): AgentFrame {
  return {
    kind: AgentFrameKind.PING,
    sentAtMs: Math.round(readMonotonicMs()),
    peerBacklog: 12_345,
    revision: 7,
  };
}

function createReport(number: number): AgentFrame {
  const report = {
    through: 0,
    free: {...CAPACITY, cpuMilli: CAPACITY.cpuMilli - (number % 50)},
    waiting: 0,
    slowness: 1.012,
    isSuspect: false,
  };
  return {kind: AgentFrameKind.REPORT, report};
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
    chooseTarget: chooseSlowestInTime,
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
    stream => {
      scheduler.sendHello(stream);
      return {
        receive: frames =>
          scheduler.post({
            kind: SchedulerMessageKind.AGENT_FRAMES,
            stream,
            frames,
          }),
        fail: detail =>
          scheduler.post({
            kind: SchedulerMessageKind.AGENT_STREAM_ENDED,
            stream,
            detail,
          }),
      };
    },
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
  const perLink = agents === 0 ? 0 : (pingBytes * 10) / 1024;
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
  await runAgents(workerData as number);
}
