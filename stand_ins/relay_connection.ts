/**
 * A relayed connection: a task that owns the client's and the server's socket.
 */
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {readMonotonicMs, startTimer} from '../src/lib/core/clock.js';
import {PostOutcome} from '../src/lib/core/task.js';
import type {Task} from '../src/lib/core/task.js';
import {DelayLine, StreamEnd} from './delay_line.js';
import type {LineRule, StreamItem} from './delay_line.js';
import {Direction} from './relay_control.js';
import {createStandInTask} from './stand_in_task.js';

/** Delay rule of each direction. */
export type RelayRules = Readonly<Record<Direction, LineRule>>;

/** Address of the server behind the relay. */
export interface RelayAddress {
  readonly host: string;
  readonly port: number;
}

/** Converts the bytes that the server sends. */
export type ConvertBytes = (bytes: Buffer) => Buffer;

enum MessageKind {
  ITEM,
  DRAINED,
  RULES,
  RESET,
  CLOSED,
}

type Message =
  | {
      readonly kind: MessageKind.ITEM;
      readonly direction: Direction;
      readonly item: StreamItem;
    }
  | {readonly kind: MessageKind.DRAINED; readonly direction: Direction}
  | {readonly kind: MessageKind.RULES; readonly rules: RelayRules}
  | {readonly kind: MessageKind.RESET | MessageKind.CLOSED};

/**
 * Backlog above which the relay stops reading, so that a held link exerts back
 * pressure.
 */
const MAX_BACKLOG_BYTES = 1_048_576;

/** Forwards bytes between a client and the server behind the relay. */
export class RelayConnection {
  private readonly task: Task<Message>;
  private readonly server: Socket;
  private readonly lines: Record<Direction, DelayLine>;

  private constructor(
    private readonly client: Socket,
    address: RelayAddress,
    rules: RelayRules,
    private readonly notifyEnd: (connection: RelayConnection) => void,
    convert: ConvertBytes,
  ) {
    this.task = createStandInTask<Message>('relay-connection', message =>
      this.handle(message),
    );
    this.server = createConnection({...address, allowHalfOpen: true});
    this.lines = {
      [Direction.FORWARD]: this.createLine(Direction.FORWARD, rules),
      [Direction.BACKWARD]: this.createLine(Direction.BACKWARD, rules),
    };
    this.listen(client, Direction.FORWARD, bytes => bytes);
    this.listen(this.server, Direction.BACKWARD, convert);
    this.task.store.add(() => this.release());
  }

  /**
   * Connects an accepted client to the server; `notifyEnd` is called when the
   * connection has ended.
   */
  static create(
    client: Socket,
    address: RelayAddress,
    rules: RelayRules,
    notifyEnd: (connection: RelayConnection) => void,
    convert: ConvertBytes = bytes => bytes,
  ): RelayConnection {
    return new RelayConnection(client, address, rules, notifyEnd, convert);
  }

  /**
   * Changes the rules of both directions. A connection that has lost bytes is reset
   * when the direction that lost them delivers again.
   */
  setRules(rules: RelayRules): void {
    this.task.post({kind: MessageKind.RULES, rules});
  }

  /** Resets both sockets and ends the connection. */
  reset(): void {
    this.task.post({kind: MessageKind.RESET});
  }

  /** Closes both sockets and drops queued bytes. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private listen(
    source: Socket,
    direction: Direction,
    convert: ConvertBytes,
  ): void {
    source.setNoDelay(true);
    source.on('data', (bytes: Buffer) =>
      this.receive(direction, convert(bytes)),
    );
    source.on('end', () => this.receive(direction, StreamEnd.FINISHED));
    source.on('drain', () =>
      // The sink of one direction is the source of the other.
      this.task.post({
        kind: MessageKind.DRAINED,
        direction: getOpposite(direction),
      }),
    );
    source.on('error', () => undefined);
    source.on('close', isBroken => {
      if (isBroken) this.receive(direction, StreamEnd.BROKEN);
      this.task.post({kind: MessageKind.CLOSED});
    });
    source.resume();
  }

  private receive(direction: Direction, item: StreamItem): void {
    const message: Message = {kind: MessageKind.ITEM, direction, item};
    const outcome = this.task.post(message);
    // If bytes cannot be queued, the connection ends: the stream must have no
    // gap.
    if (outcome === PostOutcome.FULL) this.end();
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.ITEM:
        this.lines[message.direction].push(message.item);
        return this.limitReading(message.direction);
      case MessageKind.DRAINED:
        return this.limitReading(message.direction);
      case MessageKind.RULES:
        for (const direction of Object.values(Direction)) {
          const rule = message.rules[direction];
          const line = this.lines[direction];
          line.setRule(rule);
          if (line.hasGap && rule.isLossy !== true) this.reset();
        }
        return;
      case MessageKind.RESET:
        resetSocket(this.client);
        resetSocket(this.server);
        return this.end();
      case MessageKind.CLOSED:
        // On a held link the other side must not notice that one socket closed.
        if (this.client.destroyed && this.server.destroyed) this.end();
        return;
    }
  }

  private createLine(direction: Direction, rules: RelayRules): DelayLine {
    const deliver = (item: StreamItem) => this.deliver(direction, item);
    return DelayLine.create(
      {readMonotonicMs, startTimer, deliver},
      rules[direction],
    );
  }

  private deliver(direction: Direction, item: StreamItem): void {
    const sink = this.getSink(direction);
    if (item === StreamEnd.FINISHED) sink.end();
    else if (item === StreamEnd.BROKEN) sink.destroy();
    else if (!sink.destroyed) sink.write(item);
    this.limitReading(direction);
  }

  private limitReading(direction: Direction): void {
    const source = this.getSink(getOpposite(direction));
    const isFull =
      this.lines[direction].backlogBytes > MAX_BACKLOG_BYTES ||
      this.getSink(direction).writableNeedDrain;
    if (isFull) source.pause();
    else source.resume();
  }

  private getSink(direction: Direction): Socket {
    return direction === Direction.FORWARD ? this.server : this.client;
  }

  private end(): void {
    void this.task.stop().then(() => this.notifyEnd(this));
  }

  private release(): void {
    for (const line of Object.values(this.lines)) line.stop();
    this.client.destroy();
    this.server.destroy();
  }
}

function resetSocket(socket: Socket): void {
  // A reset during connect or shutdown leaves a handle in Node that never
  // closes; the process would then spin when it exits.
  const isOpen = !socket.connecting && !socket.writableEnded;
  if (isOpen) socket.resetAndDestroy();
  else socket.destroy();
}

function getOpposite(direction: Direction): Direction {
  return direction === Direction.FORWARD
    ? Direction.BACKWARD
    : Direction.FORWARD;
}
