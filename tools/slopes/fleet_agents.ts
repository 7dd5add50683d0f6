/** The agents whose cost at an entry is measured; they run on a thread of their own. */
import {parentPort} from 'node:worker_threads';
import {readMonotonicMs} from '../../src/lib/core/clock.js';
import {AgentFrameKind, TargetPhase} from '../../src/lib/core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import type {FrameStream} from '../../src/lib/work/link/frame_stream.js';
import {openLineStream} from '../../src/lib/work/link/line_stream.js';

/** Address of the measured entry. */
export const ADDRESS = '127.0.0.1:17729';

/** Number of pings or reports of one measurement. */
export const FRAMES = 20_000;

const BURST = 50;

const CAPACITY = {cpuMilli: 64_000, memoryMb: 131_072, accelerators: 0};

/** What the main thread asks the agents to send. */
export enum Command {
  PING = 'ping',
  REPORT = 'report',
}

/** Sends frames from agents, each after the answer to the one before. */
export function runAgents(linked: number): void {
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
