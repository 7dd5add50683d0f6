/**
 * Relay stand-in: delays, holds and closes TCP connections between two
 * processes.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ChartInstance} from '../src/lib/core/chart_instance.js';
import {PostOutcome} from '../src/lib/core/task.js';
import type {Task} from '../src/lib/core/task.js';
import {HttpListener, sendJson} from './http_listener.js';
import type {HttpExchange} from './http_listener.js';
import {RelayConnection} from './relay_connection.js';
import type {RelayAddress, RelayRules} from './relay_connection.js';
import {
  Direction,
  DirectionEvent,
  DirectionState,
  decodeRelayControl,
  listDirections,
} from './relay_control.js';
import type {RelayControl} from './relay_control.js';
import {TcpListener} from './tcp_listener.js';
import {createStandInTask, createUntimedChart} from './stand_in_task.js';

/** Options of a relay. */
export interface RelayServerOptions {
  /** Port for clients; 0 selects a free one. */
  readonly port: number;
  /** Port of `POST /control`; 0 selects a free one. */
  readonly controlPort: number;
  readonly to: RelayAddress;
  /** Delay of each direction in milliseconds. */
  readonly delayMs: number;
}

enum MessageKind {
  ACCEPTED,
  ENDED,
  CONTROL,
}

type Message =
  | {readonly kind: MessageKind.ACCEPTED; readonly socket: Socket}
  | {readonly kind: MessageKind.ENDED; readonly connection: RelayConnection}
  | {
      readonly kind: MessageKind.CONTROL;
      readonly control: RelayControl;
      readonly response: ServerResponse;
    };

type DirectionChart = ChartInstance<DirectionState, DirectionEvent>;

/**
 * Relays TCP connections on loopback under rules that `POST /control` changes.
 */
export class RelayServer {
  private readonly task: Task<Message>;
  private readonly connections = new Set<RelayConnection>();
  private readonly charts: Readonly<Record<Direction, DirectionChart>>;
  private readonly delaysMs: Record<Direction, number>;
  private listener!: TcpListener;
  private controlListener!: HttpListener;

  private constructor(private readonly options: RelayServerOptions) {
    const {delayMs} = options;
    this.delaysMs = {forward: delayMs, backward: delayMs};
    this.charts = {
      forward: createDirectionChart(),
      backward: createDirectionChart(),
    };
    this.task = createStandInTask<Message>('relay', message =>
      this.handle(message),
    );
  }

  /** Opens the listeners for clients and for control requests. */
  static async create(options: RelayServerOptions): Promise<RelayServer> {
    const relay = new RelayServer(options);
    const {store} = relay.task;
    relay.controlListener = await HttpListener.create(
      options.controlPort,
      exchange => relay.receive(exchange),
    );
    store.add(() => relay.controlListener.close());
    relay.listener = await TcpListener.create(options.port, socket =>
      relay.accept(socket),
    );
    store.add(() => relay.closeConnections());
    store.add(() => relay.listener.close());
    return relay;
  }

  /** Port that clients connect to. */
  get port(): number {
    return this.listener.port;
  }

  /** Port of `POST /control`. */
  get controlPort(): number {
    return this.controlListener.port;
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private accept(socket: Socket): void {
    const outcome = this.task.post({kind: MessageKind.ACCEPTED, socket});
    if (outcome !== PostOutcome.QUEUED) socket.destroy();
  }

  private receive(exchange: HttpExchange): void {
    const {response, method, body} = exchange;
    const control = decodeRelayControl(method === 'GET' ? '{}' : body);
    if (control === undefined) return sendJson(response, 400, {});
    this.task.post({kind: MessageKind.CONTROL, control, response});
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.ACCEPTED:
        return this.open(message.socket);
      case MessageKind.ENDED:
        return void this.connections.delete(message.connection);
      case MessageKind.CONTROL:
        return this.control(message.control, message.response);
    }
  }

  private open(socket: Socket): void {
    if (this.isClosed()) {
      socket.destroy();
      return;
    }
    this.connections.add(
      RelayConnection.create(
        socket,
        this.options.to,
        this.getRules(),
        connection => this.task.post({kind: MessageKind.ENDED, connection}),
      ),
    );
  }

  private control(control: RelayControl, response: ServerResponse): void {
    for (const direction of listDirections(control.direction)) {
      this.delaysMs[direction] = control.delayMs ?? this.delaysMs[direction];
      if (control.action !== undefined) {
        this.charts[direction].send(control.action);
      }
    }
    const rules = this.getRules();
    for (const connection of this.connections) {
      if (control.reset) connection.reset();
      else connection.setRules(rules);
    }
    if (this.isClosed()) void this.closeConnections();
    sendJson(response, 200, this.report());
  }

  private isClosed(): boolean {
    return Object.values(this.charts).some(
      run => run.state === DirectionState.CLOSED,
    );
  }

  private getRules(): RelayRules {
    return {
      forward: this.getRule(Direction.FORWARD),
      backward: this.getRule(Direction.BACKWARD),
    };
  }

  private getRule(direction: Direction) {
    const isHeld = this.charts[direction].state === DirectionState.HELD;
    return {delayMs: this.delaysMs[direction], isHeld};
  }

  private report(): unknown {
    return {
      forward: this.charts.forward.state,
      backward: this.charts.backward.state,
      delaysMs: this.delaysMs,
      connections: this.connections.size,
    };
  }

  private async closeConnections(): Promise<void> {
    const connections = [...this.connections];
    this.connections.clear();
    await Promise.all(connections.map(connection => connection.stop()));
  }
}

function createDirectionChart(): DirectionChart {
  return createUntimedChart('relay_direction', {
    states: DirectionState,
    events: DirectionEvent,
  });
}
