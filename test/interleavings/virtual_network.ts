/** Simulates a network between agents and an entry that loses and delays frames. */
import type {
  LinkStream,
  LinkStreamListener,
} from '../../src/lib/agent/entry_link.js';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/link_messages.js';
import type {Dispatcher} from '../../src/lib/entry/dispatcher.js';
import {DispatcherMessageKind} from '../../src/lib/entry/dispatcher_messages.js';
import type {AgentStreamHandle} from '../../src/lib/entry/dispatcher_messages.js';
import type {VirtualHost, VirtualTime} from './virtual_time.js';

interface Connection {
  readonly agentHost: VirtualHost;
  isOpen: boolean;
  /** Whether frames in flight at the cut still arrive, by direction. */
  arrivesAtEntry: boolean;
  arrivesAtAgent: boolean;
  /** Times at which the last frame of each direction arrives. */
  toEntryMs: number;
  toAgentMs: number;
  readonly handle: AgentStreamHandle;
  readonly listener: LinkStreamListener;
}

/** The entry at the end of every stream. */
export interface VirtualEntry {
  readonly host: VirtualHost;
  readonly dispatcher: Dispatcher;
}

/** Carries frames in order, direction by direction, until it is cut. */
export class VirtualNetwork {
  private readonly connections: Connection[] = [];
  private lastStream = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly drawRandom: DrawRandom,
    private readonly entry: VirtualEntry,
  ) {}

  /** Creates a network without streams. */
  static create(
    time: VirtualTime,
    drawRandom: DrawRandom,
    entry: VirtualEntry,
  ): VirtualNetwork {
    return new VirtualNetwork(time, drawRandom, entry);
  }

  /** Cuts the streams of an agent. */
  cut(agentHost: VirtualHost): void {
    for (const connection of this.connections) {
      if (connection.agentHost === agentHost) this.breakConnection(connection);
    }
  }

  /** Opens a stream from an agent to the entry. */
  connect(agentHost: VirtualHost, listener: LinkStreamListener): LinkStream {
    this.lastStream += 1;
    const connection: Connection = {
      agentHost,
      isOpen: true,
      arrivesAtEntry: true,
      arrivesAtAgent: true,
      toEntryMs: 0,
      toAgentMs: 0,
      handle: {
        id: this.lastStream,
        send: frame => this.sendToAgent(connection, frame),
        close: () => this.breakConnection(connection),
      },
      listener,
    };
    this.connections.push(connection);
    return {
      send: frame => this.sendToEntry(connection, frame),
      close: () => this.breakConnection(connection),
    };
  }

  // Each direction delivers in order. A cut may lose frames in flight, and the two
  // ends notice it at different times.
  private sendToEntry(connection: Connection, frame: AgentFrame): void {
    if (!connection.isOpen) return;
    const {handle} = connection;
    connection.toEntryMs = this.findArrivalMs(connection.toEntryMs);
    const delayMs = connection.toEntryMs - this.time.nowMs;
    const deliver = () => {
      if (!connection.arrivesAtEntry) return;
      this.entry.dispatcher.post(
        frame.hello === undefined
          ? {kind: DispatcherMessageKind.AGENT_FRAME, stream: handle, frame}
          : {
              kind: DispatcherMessageKind.AGENT_HELLO,
              stream: handle,
              hello: frame.hello,
            },
      );
    };
    this.time.schedule(delayMs, deliver, this.entry.host);
  }

  private sendToAgent(connection: Connection, frame: EntryFrame): void {
    if (!connection.isOpen) return;
    connection.toAgentMs = this.findArrivalMs(connection.toAgentMs);
    const delayMs = connection.toAgentMs - this.time.nowMs;
    const deliver = () => {
      if (connection.arrivesAtAgent) connection.listener.receive(frame);
    };
    this.time.schedule(delayMs, deliver, connection.agentHost);
  }

  private breakConnection(connection: Connection): void {
    if (!connection.isOpen) return;
    connection.isOpen = false;
    connection.arrivesAtEntry = this.drawRandom() < 0.5;
    connection.arrivesAtAgent = this.drawRandom() < 0.5;
    this.time.schedule(
      this.findArrivalMs(connection.toAgentMs) -
        this.time.nowMs +
        this.drawDelayMs() * 20,
      () => connection.listener.fail('cut'),
      connection.agentHost,
    );
    this.time.schedule(
      this.findArrivalMs(connection.toEntryMs) -
        this.time.nowMs +
        this.drawDelayMs() * 20,
      () =>
        this.entry.dispatcher.post({
          kind: DispatcherMessageKind.AGENT_CLOSED,
          stream: connection.handle,
        }),
      this.entry.host,
    );
  }

  private findArrivalMs(lastMs: number): number {
    return Math.max(lastMs, this.time.nowMs + this.drawDelayMs());
  }

  /** Draws a delay of a few milliseconds; 2 % include a retransmission. */
  drawDelayMs(): number {
    const delayMs = 0.5 + this.drawRandom() * 4;
    return this.drawRandom() < 0.02
      ? delayMs + this.drawRandom() * 1500
      : delayMs;
  }
}
