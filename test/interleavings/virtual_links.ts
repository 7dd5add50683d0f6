/** Simulates the streams between agents and entries, which faults lose, hold and reset. */
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import type {
  AcceptFrameStream,
  FrameListener,
  FrameStream,
} from '../../src/lib/work/link/frame_stream.js';
import {CutKind, LinkFaults} from './link_faults.js';
import type {VirtualProcess} from './virtual_process.js';
import type {VirtualTime} from './virtual_time.js';

/** A process that accepts streams at an address. */
export interface LinkServer {
  readonly process: VirtualProcess;
  readonly accept: AcceptFrameStream<EntryFrame, AgentFrame>;
}

interface Direction {
  readonly process: VirtualProcess;
  readonly isToEntry: boolean;
  /** Batches in flight, in order. */
  readonly queue: Array<() => void>;
  lastArrivalMs: number;
  /** Time until which this stream alone delivers nothing, whether closed or not. */
  stuckUntilMs: number;
  /** Whether the receiver still reads. */
  isRead: boolean;
  /** Whether what is in flight has been lost. */
  isLost: boolean;
}

interface Connection {
  readonly agent: string;
  readonly address: string;
  readonly toEntry: Direction;
  readonly toAgent: Direction;
  isOpen: boolean;
  /** Whether the entry has accepted it. */
  isAccepted: boolean;
  failAgent: (detail: string) => void;
  failEntry: (detail: string) => void;
}

const RESET = 'ECONNRESET';

/** Bounds of the time from one reset of a link to the next, in milliseconds. */
const MIN_RESET_PERIOD_MS = 100;
const MAX_RESET_PERIOD_MS = 500;

/** Carries frames in order, direction by direction. */
export class VirtualLinks {
  private readonly servers = new Map<string, LinkServer>();
  private connections: Connection[] = [];
  private readonly faults: LinkFaults;

  private constructor(
    private readonly time: VirtualTime,
    private readonly drawRandom: () => number,
  ) {
    this.faults = LinkFaults.create(time, drawRandom);
  }

  /** Creates a network without servers. */
  static create(time: VirtualTime, drawRandom: () => number): VirtualLinks {
    return new VirtualLinks(time, drawRandom);
  }

  /** Lets a process accept the streams to an address. */
  listen(address: string, server: LinkServer): void {
    this.servers.set(address, server);
  }

  /** Cuts the link between an agent and an address. */
  cut(agent: string, address: string, kind: CutKind, durationMs: number): void {
    this.faults.addCut({agent, address, kind, durationMs});
    if (kind === CutKind.BREAK) this.breakAll(agent, address);
  }

  /** Resets the streams between an agent and an address again and again. */
  reset(agent: string, address: string, durationMs: number): void {
    const untilMs = this.time.nowMs + durationMs;
    const spreadMs = MAX_RESET_PERIOD_MS - MIN_RESET_PERIOD_MS;
    const repeat = () => {
      this.breakAll(agent, address);
      const periodMs = MIN_RESET_PERIOD_MS + this.drawRandom() * spreadMs;
      if (this.time.nowMs + periodMs > untilMs) return;
      this.time.schedule(periodMs, repeat);
    };
    repeat();
  }

  /** Lets streams between an agent and an address fall behind; see `LinkFaults`. */
  pauseStreams(
    agent: string,
    address: string,
    share: number,
    durationMs: number,
  ): void {
    this.faults.addPause({agent, address, share, durationMs});
  }

  /** Breaks the streams of a killed process. */
  disconnect(process: VirtualProcess): void {
    for (const connection of this.connections) {
      const {toEntry, toAgent} = connection;
      if (toEntry.process === process || toAgent.process === process) {
        this.break(connection, 5);
      }
    }
  }

  /** Opens a stream from an agent to an address. */
  connect(
    agent: string,
    process: VirtualProcess,
    address: string,
    listener: FrameListener<EntryFrame>,
  ): FrameStream<AgentFrame> {
    const server = this.servers.get(address);
    const connection: Connection = {
      agent,
      address,
      toEntry: createDirection(server?.process ?? process, true),
      toAgent: createDirection(process, false),
      isOpen: true,
      isAccepted: false,
      failAgent: detail => listener.fail(detail),
      failEntry: () => undefined,
    };
    if (!process.isAlive) connection.isOpen = false;
    let receive: FrameListener<AgentFrame> | undefined;
    const stream: FrameStream<AgentFrame> = {
      send: frames =>
        this.send(connection, connection.toEntry, process, () =>
          receive?.receive(frames),
        ),
      close: () => this.close(connection, connection.toAgent),
    };
    if (
      server === undefined ||
      !server.process.isAlive ||
      this.faults.isBroken(connection)
    ) {
      this.refuse(connection);
      return stream;
    }
    this.connections = this.connections.filter(({isOpen}) => isOpen);
    this.connections.push(connection);
    this.send(connection, connection.toEntry, process, () => {
      const entryStream: FrameStream<EntryFrame> = {
        send: frames =>
          this.send(connection, connection.toAgent, server.process, () =>
            listener.receive(frames),
          ),
        close: () => this.close(connection, connection.toEntry),
      };
      connection.isAccepted = true;
      receive = server.accept(entryStream);
      connection.failEntry = detail => receive?.fail(detail);
    });
    return stream;
  }

  private refuse(connection: Connection): void {
    connection.isOpen = false;
    // A cut may leave an attempt without an answer.
    if (this.faults.isBroken(connection) && this.drawRandom() < 0.5) return;
    this.schedule(connection.toAgent, this.drawDelayMs(), () =>
      connection.failAgent('ECONNREFUSED'),
    );
  }

  private send(
    connection: Connection,
    direction: Direction,
    sender: VirtualProcess,
    arrive: () => void,
  ): void {
    if (!connection.isOpen || !sender.isAlive) return;
    const arrivalMs = Math.max(
      direction.lastArrivalMs,
      this.time.nowMs + this.drawDelayMs(),
    );
    direction.lastArrivalMs = arrivalMs;
    direction.queue.push(arrive);
    const stuckUntilMs = this.faults.drawStuckUntil(connection);
    direction.stuckUntilMs = Math.max(direction.stuckUntilMs, stuckUntilMs);
    const deliver = () => {
      if (this.faults.isLosing(connection, direction.isToEntry)) {
        direction.isLost = true;
      }
      const waitMs = this.findHold(connection, direction);
      if (waitMs > 0) {
        this.time.schedule(waitMs, deliver, direction.process.host);
        return;
      }
      const next = direction.queue.shift();
      if (direction.isRead && !direction.isLost) next?.();
    };
    const delayMs = arrivalMs - this.time.nowMs;
    this.time.schedule(delayMs, deliver, direction.process.host);
  }

  /** Closes a stream at one end; the other notices later, after what is in flight. */
  private close(connection: Connection, own: Direction): void {
    own.isRead = false;
    if (!connection.isOpen) return;
    this.break(connection, 5);
  }

  private breakAll(agent: string, address: string): void {
    for (const connection of this.connections) {
      const isHit =
        connection.agent === agent && connection.address === address;
      if (isHit) this.break(connection, 100);
    }
  }

  private break(connection: Connection, spreadMs: number): void {
    if (!connection.isOpen) return;
    connection.isOpen = false;
    const {toEntry, toAgent} = connection;
    for (const direction of [toEntry, toAgent]) {
      const isCutOff = this.drawRandom() < 0.5;
      const isStuck = direction.stuckUntilMs > this.time.nowMs;
      direction.isLost ||= isCutOff && !isStuck;
      const waitMs = Math.max(
        this.findHold(connection, direction),
        direction.lastArrivalMs - this.time.nowMs,
      );
      const delayMs = waitMs + 1 + this.drawRandom() * spreadMs;
      this.schedule(direction, delayMs, () =>
        direction.isToEntry
          ? connection.failEntry(RESET)
          : connection.failAgent(RESET),
      );
    }
  }

  private schedule(
    direction: Direction,
    delayMs: number,
    run: () => void,
  ): void {
    const fail = () => {
      if (!direction.isRead) return;
      direction.isRead = false;
      run();
    };
    this.time.schedule(delayMs, fail, direction.process.host);
  }

  private findHold(connection: Connection, direction: Direction): number {
    return Math.max(
      0,
      direction.stuckUntilMs - this.time.nowMs,
      this.faults.findHold(connection, direction.isToEntry),
    );
  }

  /** Draws a delay of a few milliseconds; 1 % include a retransmission. */
  private drawDelayMs(): number {
    const delayMs = 0.3 + this.drawRandom() * 3;
    return this.drawRandom() < 0.01
      ? delayMs + this.drawRandom() * 200
      : delayMs;
  }
}

function createDirection(
  process: VirtualProcess,
  isToEntry: boolean,
): Direction {
  return {
    process,
    isToEntry,
    queue: [],
    lastArrivalMs: 0,
    stuckUntilMs: 0,
    isRead: true,
    isLost: false,
  };
}
