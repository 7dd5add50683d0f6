import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {startTimer} from '../../src/lib/core/clock.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  RunEnd,
  RunEndCause,
} from '../../src/lib/core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  RunEndReport,
} from '../../src/lib/core/work_frames.js';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import type {
  FrameServer,
  FrameStream,
} from '../../src/lib/work/link/frame_stream.js';
import {openLineServer} from '../../src/lib/work/link/line_stream.js';
import {FleetTarget} from '../../stand_ins/fleet_target.js';
import {waitUntil} from '../wait_until.js';

const AGENT_PROGRAM = new URL('../../platform/agent_main.js', import.meta.url)
  .pathname;
const ENTRY = 'entry-life';

/** Time in milliseconds after which a task that has not run is repeated. */
const REPEAT_MS = 50;

const FREEZE_MS = OWNER_CONTACT_TIMEOUT_MS + 1000;

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    ports.push((server.address() as AddressInfo).port);
  }
  for (const server of servers) server.close();
  return ports;
}

/** An agent process with a stand-in of its target, linked to the test as entry. */
class AgentProcess {
  readonly ends: RunEndReport[] = [];
  target!: FleetTarget;
  private child!: ChildProcess;
  private server!: FrameServer;
  private stream: FrameStream<EntryFrame> | undefined;
  private sequence = 0;
  /** Highest sequence that the agent's latest hello has accepted. */
  private acceptedThrough = 0;
  private hellos = 0;
  private reports = 0;
  private readonly folder = mkdtempSync(join(tmpdir(), 'foxtailbay-agent-'));

  private constructor() {}

  static async create(): Promise<AgentProcess> {
    const agent = new AgentProcess();
    await agent.start();
    await waitUntil('the target is reported', () => agent.reports > 0);
    return agent;
  }

  private async start(): Promise<void> {
    const [linkPort, heartbeatPort] = await findFreePorts(2);
    const agentAddress = `127.0.0.1:${heartbeatPort}`;
    this.server = await openLineServer<EntryFrame, AgentFrame>(
      `127.0.0.1:${linkPort}`,
      stream => this.accept(stream),
    );
    this.target = await FleetTarget.create({
      id: 'target-1',
      service: 'runner',
      dataCentre: 'zone-a',
      cpuMilli: 4000,
      agentAddress,
      computeRunMs: Number,
      computeDemandMilli: () => 1000,
    });
    const settings = join(this.folder, 'agent.json');
    writeFileSync(
      settings,
      JSON.stringify({
        nodeName: 'agent-1',
        zone: 'zone-a',
        ip: '127.0.0.1',
        listenAddrs: {control: agentAddress},
        internalPortRange: [linkPort, linkPort],
        seeds: [`127.0.0.1:${linkPort}`],
        app: this.target.address,
        bounds: {graceS: 6},
        platform: {address: '127.0.0.1:9'},
      }),
    );
    this.child = spawn(process.execPath, [AGENT_PROGRAM], {
      env: {...process.env, FOXTAILBAY_BOOT: settings},
      stdio: 'ignore',
    });
  }

  sendOrder(task: string): void {
    this.sequence += 1;
    const order = {
      task,
      run: 1,
      job: task,
      request: task,
      service: 'runner',
      payload: '10',
      need: {cpuMilli: 1000, memoryMb: 1, accelerators: 0},
      estimateMs: 10,
      slackMs: 0,
      patienceMs: 0,
      sequence: this.sequence,
    };
    this.stream?.send([{kind: EntryFrameKind.ORDER, order}]);
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Whether the agent has told that the latest order never arrived. */
  isLastOrderLost(): boolean {
    return this.hellos > 1 && this.acceptedThrough < this.sequence;
  }

  findEnd(task: string): RunEndReport | undefined {
    return this.ends.find(end => end.task === task);
  }

  async close(): Promise<void> {
    const ended = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await ended;
    await this.target.close();
    this.server.close();
    rmSync(this.folder, {recursive: true});
  }

  private accept(stream: FrameStream<EntryFrame>) {
    this.stream = stream;
    stream.send([
      {
        kind: EntryFrameKind.HELLO,
        life: ENTRY,
        address: 'entry-1',
        dataCentre: 'zone-a',
      },
    ]);
    const receive = (frames: readonly AgentFrame[]) => {
      for (const frame of frames) this.handle(stream, frame);
    };
    return {receive, fail: () => undefined};
  }

  private handle(stream: FrameStream<EntryFrame>, frame: AgentFrame): void {
    if (
      frame.kind === AgentFrameKind.REPORT &&
      frame.report.free.cpuMilli > 0
    ) {
      this.reports += 1;
    }
    if (frame.kind === AgentFrameKind.END) this.ends.push(frame.report);
    if (frame.kind === AgentFrameKind.HELLO) {
      this.hellos += 1;
      this.acceptedThrough = frame.through;
      this.ends.push(...frame.ends);
    }
    if (frame.kind !== AgentFrameKind.PING) return;
    const {sentAtMs} = frame;
    const kind = EntryFrameKind.PONG;
    stream.send([{kind, sentAtMs, backlog: 0, revision: 0}]);
  }
}

// Guards against two runs of one task: an entry that has not heard an agent for
// so long repeats its tasks elsewhere, while the order to the frozen agent lies in
// its socket and is read first when it resumes.
describe('An agent process that is stopped and continued', () => {
  let agent: AgentProcess;

  beforeEach(async () => {
    agent = await AgentProcess.create();
  });

  afterEach(() => agent.close());

  /** Orders tasks, as an entry repeats them, until one has run. */
  async function runOne(name: string): Promise<void> {
    let sent = 0;
    await waitUntil(`a task "${name}" has run`, async () => {
      sent += 1;
      agent.sendOrder(`${name}-${sent}`);
      await new Promise<void>(resolve => startTimer(REPEAT_MS, resolve));
      return agent.target.done.some(task => task.startsWith(name));
    });
  }

  it('starts no order that was sent into its freeze, and starts later ones', async () => {
    await runOne('before');
    agent.signal('SIGSTOP');
    agent.sendOrder('frozen');
    await new Promise<void>(resolve => startTimer(FREEZE_MS, resolve));
    agent.signal('SIGCONT');
    // Either the timer of the link or the socket is served first.
    await waitUntil(
      'the order is returned or lost with its link',
      () => agent.findEnd('frozen') !== undefined || agent.isLastOrderLost(),
    );
    const end = agent.findEnd('frozen') ?? {
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.OWNER_UNREACHABLE,
    };
    expect(end).to.include({
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.OWNER_UNREACHABLE,
    });
    expect(agent.target.done).not.to.include('frozen');
    await runOne('after');
    expect(agent.target.done).not.to.include('frozen');
    expect(agent.target.violations.duplicates).to.equal(0);
  });
});
