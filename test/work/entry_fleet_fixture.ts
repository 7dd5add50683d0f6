import type {ActiveTask} from '../../src/lib/work/entry/active_job.js';
import {AgentFleet} from '../../src/lib/work/entry/agent_fleet.js';
import type {RunStatusChange} from '../../src/lib/work/entry/run_status_change.js';
import type {FrameStream} from '../../src/lib/work/link/frame_stream.js';
import {AgentFrameKind, TargetPhase} from '../../src/lib/core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  HeldRunReport,
} from '../../src/lib/core/work_frames.js';
import type {FleetEvent} from '../../src/lib/observe/fleet_log.js';

const CAPACITY = {cpuMilli: 4000, memoryMb: 1000, accelerators: 0};

/** A log line of an entry or an agent. */
export interface EntryLine {
  readonly event: FleetEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A stream of an agent to the entry, and what the entry has done with it. */
export class AgentStream {
  readonly sent: EntryFrame[] = [];
  isClosed = false;
  readonly stream: FrameStream<EntryFrame> = {
    send: frames => void this.sent.push(...frames),
    close: () => void (this.isClosed = true),
  };

  private constructor() {}

  static create(): AgentStream {
    return new AgentStream();
  }
}

/** An entry's fleet with a clock, streams and tasks that the test controls. */
export class EntryFleetFixture {
  readonly lines: EntryLine[] = [];
  /** Changes of runs that the fleet has reported, with the task. */
  readonly changes: Array<[task: string, change: RunStatusChange]> = [];
  readonly fleet: AgentFleet;
  nowMs = 10_000;

  private constructor() {
    this.fleet = AgentFleet.create({
      incarnation: 'entry-life',
      address: '10.0.0.1:7720',
      dataCentre: 'zone-a',
      log: (event, _message, fields = {}) =>
        void this.lines.push({event, fields}),
      handleRunEnd: () => undefined,
      handleCrash: () => undefined,
      handleRunStatus: ({name}, change) => this.changes.push([name, change]),
      handleConfiguration: () => undefined,
      getConfiguration: () => undefined,
      getBacklog: () => 0,
      listEntriesFor: () => [],
    });
  }

  static create(): EntryFleetFixture {
    return new EntryFleetFixture();
  }

  receive({stream}: AgentStream, ...frames: AgentFrame[]): void {
    this.fleet.handleFrames(stream, frames, this.nowMs);
    this.fleet.flush();
  }

  /** Sends a hello and the description of a target that is ready. */
  sendHello(
    stream: AgentStream,
    held: readonly string[] = [],
    changes: Partial<Extract<AgentFrame, {kind: AgentFrameKind.HELLO}>> = {},
    token?: number,
  ): void {
    this.receive(stream, {
      kind: AgentFrameKind.HELLO,
      agent: 'agent-1',
      life: 'agent-life',
      dataCentre: 'zone-a',
      held: held.map((task): HeldRunReport => ({task, run: 1, job: task})),
      ends: [],
      through: 0,
      ...changes,
    });
    this.receive(stream, {
      kind: AgentFrameKind.TARGET,
      target: {
        phase: TargetPhase.READY,
        service: 'runner',
        life: 'target-life',
        labels: [],
        capacity: CAPACITY,
        token,
      },
    });
  }

  /** Orders the first run of a task from an agent. */
  order(name: string, agent = 'agent-life'): void {
    const task = {name, run: 1} as ActiveTask;
    this.fleet.find(agent)?.sendOrder(task, {
      task: name,
      run: 1,
      job: name,
      request: name,
      service: 'runner',
      payload: '',
      need: CAPACITY,
      estimateMs: 100,
      slackMs: 0,
      patienceMs: 0,
    });
    this.fleet.flush();
  }

  /** Lets a time pass, with the checks of the entry. */
  wait(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 50;
      this.fleet.check(this.nowMs);
    }
  }

  listLines(event: FleetEvent): Array<EntryLine['fields']> {
    return this.lines
      .filter(line => line.event === event)
      .map(({fields}) => fields);
  }
}
