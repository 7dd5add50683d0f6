import {expect} from 'chai';
import type {FleetConfiguration} from '../../src/lib/core/fleet_configuration.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  TargetPhase,
} from '../../src/lib/core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import {AgentFleet} from '../../src/lib/work/entry/agent_fleet.js';
import type {FrameStream} from '../../src/lib/work/link/frame_stream.js';

const NEED = {cpuMilli: 1000, memoryMb: 10, accelerators: 0};

/** A configuration with as many routes as fit into 256 KB. */
function createConfiguration(revision: number): FleetConfiguration {
  const queues = Array.from({length: 1200}, (_, index) => ({
    name: `queue-${index}`,
    host: `host-${index}.example`,
    prefix: `/prefix-${index}/`,
    service: 'runner',
    priority: 0,
    attemptsAtMost: 3,
    stretch: 1.6,
    allowanceMs: 60,
  }));
  return {
    revision,
    version: revision,
    queues,
    services: ['runner'],
    limits: {bodyBytes: 1000},
    dataCentresOut: ['zone-b'],
  };
}

/** An entry's fleet with agents that are linked to `entries` entries. */
class FleetOfAgents {
  readonly sent: EntryFrame[] = [];
  readonly fleet: AgentFleet;
  configuration: FleetConfiguration | undefined = createConfiguration(7);
  flushes = 0;
  private readonly streams: Array<FrameStream<EntryFrame>> = [];

  private constructor(entries: number) {
    const addresses = Array.from(
      {length: entries},
      (_, index) => `10.0.0.${index}:7720`,
    );
    this.fleet = AgentFleet.create({
      incarnation: 'entry-life',
      address: addresses[0],
      dataCentre: 'zone-a',
      log: () => undefined,
      handleRunEnd: () => undefined,
      handleCrash: () => undefined,
      handleRunStatus: () => undefined,
      handleConfiguration: configuration =>
        (this.configuration = configuration),
      getConfiguration: () => this.configuration,
      getBacklog: () => 1234,
      listEntriesFor: () => addresses.slice(0, 18),
    });
  }

  static create(agents: number, entries: number): FleetOfAgents {
    const fleet = new FleetOfAgents(entries);
    for (let index = 0; index < agents; index += 1) fleet.connect(index);
    fleet.take();
    return fleet;
  }

  receive(agent: number, frame: AgentFrame, nowMs = 0): void {
    this.fleet.handleFrames(this.streams[agent], [frame], nowMs);
  }

  ping(agent: number, revision: number, nowMs = 0): void {
    const kind = AgentFrameKind.PING;
    const frame = {kind, sentAtMs: 123_456, peerBacklog: 987, revision};
    this.receive(agent, frame as AgentFrame, nowMs);
  }

  /** Flushes, and returns the frames sent since the last call. */
  take(): EntryFrame[] {
    this.fleet.flush();
    return this.sent.splice(0);
  }

  private connect(index: number): void {
    const stream: FrameStream<EntryFrame> = {
      send: frames => {
        this.flushes += 1;
        this.sent.push(...frames);
      },
      close: () => undefined,
    };
    this.streams.push(stream);
    this.receive(index, {
      kind: AgentFrameKind.HELLO,
      agent: `agent-${index}`,
      life: `life-${index}`,
      dataCentre: 'zone-a',
      held: [],
      ends: [],
      through: 0,
    });
    this.receive(index, {
      kind: AgentFrameKind.TARGET,
      target: {
        phase: TargetPhase.READY,
        service: 'runner',
        life: `target-${index}`,
        labels: ['a'],
        capacity: NEED,
      },
    });
    this.ping(index, 7);
  }
}

function countBytes(frames: readonly EntryFrame[]): number {
  return JSON.stringify(frames).length;
}

// A full mesh in which everything is told to everybody drowned at 80 hosts: pings
// carried all backlogs and all addresses, and each configuration went to all
// agents and back to all entries.
describe('The messages between an entry and its agents', () => {
  it('has pings and pongs whose size does not grow with the entries', () => {
    const bytes = [4, 12, 35, 200].map(entries => {
      const agents = FleetOfAgents.create(3, entries);
      agents.ping(0, 7);
      return countBytes(agents.take());
    });
    expect(new Set(bytes).size).to.equal(1);
    expect(bytes[0]).to.be.below(100);
  });

  it('flushes only the sessions with frames to be sent', () => {
    const agents = FleetOfAgents.create(160, 35);
    agents.flushes = 0;
    agents.ping(5, 7);
    agents.take();
    expect(agents.flushes).to.equal(1);
  });

  it('sends agents a summary of a configuration, never its body', () => {
    const agents = FleetOfAgents.create(55, 35);
    const configuration = createConfiguration(8);
    expect(JSON.stringify(configuration).length).to.be.above(150_000);
    agents.configuration = configuration;
    agents.fleet.publishConfiguration(configuration);
    const frames = agents.take();
    expect(frames.map(({kind}) => kind)).to.deep.equal(
      Array.from({length: 55}, () => EntryFrameKind.SUMMARY),
    );
    expect(countBytes(frames) / 55).to.be.below(100);
  });

  it('sends no summary to an agent that has it from another entry', () => {
    const agents = FleetOfAgents.create(2, 12);
    agents.ping(0, 8);
    agents.take();
    agents.configuration = createConfiguration(8);
    agents.fleet.publishConfiguration(agents.configuration);
    expect(agents.take()).to.have.length(1);
  });

  it('requests one body when all agents know of a newer revision', () => {
    const agents = FleetOfAgents.create(55, 35);
    for (let nowMs = 0; nowMs <= 300; nowMs += 50) {
      for (let index = 0; index < 55; index += 1) agents.ping(index, 8, nowMs);
      agents.fleet.check(nowMs);
    }
    const requests = agents
      .take()
      .filter(({kind}) => kind === EntryFrameKind.CONFIGURATION_REQUEST);
    expect(requests).to.have.length(1);
  });

  it('sends a body to the agent that asks for it on behalf of another entry', () => {
    const agents = FleetOfAgents.create(2, 12);
    agents.receive(1, {
      kind: AgentFrameKind.CONFIGURATION_REQUEST,
      revision: 7,
    });
    expect(agents.take().map(({kind}) => kind)).to.deep.equal([
      EntryFrameKind.CONFIGURATION,
    ]);
  });
});
