/** Limits what the clients of HTTP servers may make a process hold. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Reservation, ReceiveBudget} from '../decisions/receive_budget.js';
import type {ClientLimits} from '../decisions/client_limits.js';
import {LimitedConnection} from './limited_connection.js';
import type {ReadMonotonicMs, StartTimer, StopTimer} from './clock.js';

/** Why a connection was cut. */
export enum CutReason {
  /** All connections together held too many bytes. */
  MEMORY = 'memory',
  /** It had too many unanswered requests. */
  REQUESTS = 'requests',
  /** There were too many connections. */
  CONNECTIONS = 'connections',
  /** It sent more than one request that cannot be served, such as without `host`. */
  MALFORMED = 'malformed',
  /** Its client did not read its answers. */
  UNREAD = 'unread',
}

/** Limits and dependencies of a limiter. */
export interface ConnectionLimiterOptions extends ClientLimits {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly reportCut: (reason: CutReason) => void;
}

/**
 * Unanswered requests of a connection at which reading pauses, and at which it
 * resumes. Callers have one or two; peers that pipeline are only slowed down.
 */
const PAUSE_REQUESTS = 32;
const RESUME_REQUESTS = 16;

/**
 * Unanswered requests of a connection at which it is cut. All requests of one
 * read of 64 KB are parsed before the pause takes effect; the shortest query of
 * a job has 59 bytes, so a read brings up to 1,110 of these.
 */
const MAX_REQUESTS = 1200;

/**
 * Bytes counted for an unanswered request besides its header lines: measured as
 * 1.6 KB of heap and 3.4 KB of resident memory for the objects of Node.js 20.
 */
const REQUEST_BYTES = 4096;

/** Bytes counted for each header line, with the strings that hold it. */
const HEADER_BYTES = 64;

/** Largest number of bytes that one read brings. */
const READ_BYTES = 64 * 1024;

/** Time in milliseconds without progress from which a connection may be cut for others that wait. */
const STALLED_MS = 500;

/** Time in milliseconds for which a client may leave its answers unread; the idle time limit of clients. */
const UNREAD_MS = 15_000;

const CHECK_PERIOD_MS = 250;

/** Owns the connections of one or more servers and the bytes they hold. */
export class ConnectionLimiter {
  private readonly budget: ReceiveBudget<LimitedConnection>;
  private readonly connections = new Set<LimitedConnection>();
  /** Connections that wait for bytes, in the order in which they began to. */
  private readonly waiting = new Set<LimitedConnection>();
  private isFull = false;
  private stopTimer: StopTimer | undefined;

  private constructor(private readonly options: ConnectionLimiterOptions) {
    this.budget = ReceiveBudget.create(options);
  }

  /** Creates a limiter without connections. */
  static create(options: ConnectionLimiterOptions): ConnectionLimiter {
    return new ConnectionLimiter(options);
  }

  /** Bytes that the connections hold. */
  get reservedBytes(): number {
    return this.budget.reservedBytes;
  }

  /** Limits the connections that a server accepts from now on. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.addConnection(socket));
  }

  /** Counts a request whose header lines have arrived, until its response is closed. */
  addRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = LimitedConnection.find(request.socket);
    if (connection === undefined) return;
    const bytes = measureHead(request);
    // Node.js answers it with 400 and ends the connection, but would parse and
    // answer all that came with it.
    if (connection.requestCount > 0 && isMalformed(request)) {
      this.cut(connection, CutReason.MALFORMED);
      return;
    }
    connection.addResponse(response);
    response.once('close', () => {
      if (!connection.removeResponse(response)) return;
      this.returnBytes(connection, bytes);
      if (connection.requestCount <= RESUME_REQUESTS) this.resume(connection);
    });
    if (connection.requestCount > MAX_REQUESTS) {
      this.cut(connection, CutReason.REQUESTS);
      return;
    }
    if (connection.requestCount >= PAUSE_REQUESTS) connection.pause();
    this.reserve(connection, bytes);
  }

  /** Reserves bytes of a request's body; returns whether its connection is still open. */
  reserveBody(socket: Socket, bytes: number): boolean {
    const connection = LimitedConnection.find(socket);
    if (connection !== undefined) this.reserve(connection, bytes);
    return !socket.destroyed;
  }

  /** Returns the bytes of a body that is complete or given up. */
  returnBody(socket: Socket, bytes: number): void {
    const connection = LimitedConnection.find(socket);
    if (connection !== undefined) this.returnBytes(connection, bytes);
  }

  private addConnection(socket: Socket): void {
    const {connectionsAtMost, readMonotonicMs} = this.options;
    const connection = LimitedConnection.create(socket, this, readMonotonicMs);
    this.connections.add(connection);
    socket.once('close', () => this.removeConnection(connection));
    if (this.isFull) this.pause(connection);
    this.stopTimer ??= this.options.startTimer(CHECK_PERIOD_MS, () =>
      this.check(),
    );
    if (this.connections.size <= connectionsAtMost) return;
    this.cut(this.selectIdle(connection), CutReason.CONNECTIONS);
  }

  private removeConnection(connection: LimitedConnection): void {
    this.forget(connection);
    this.budget.release(connection);
    connection.closeResponses();
    this.resumeWaiting();
  }

  private forget(connection: LimitedConnection): void {
    this.connections.delete(connection);
    this.waiting.delete(connection);
  }

  /** Selects the connection that has waited longest for its client, or `latest` if none has. */
  private selectIdle(latest: LimitedConnection): LimitedConnection {
    let selected = latest;
    for (const connection of this.connections) {
      if (!connection.isWaitingForClient) continue;
      if (connection.progressMs < selected.progressMs) selected = connection;
    }
    return selected;
  }

  private reserve(connection: LimitedConnection, bytes: number): void {
    if (!this.connections.has(connection)) return;
    const nowMs = this.options.readMonotonicMs();
    connection.progressMs = nowMs;
    let state = this.budget.reserve(connection, bytes, nowMs);
    while (state === Reservation.EXCEEDED) {
      const selected = this.budget.selectCut(nowMs, 0);
      if (selected === undefined) break;
      this.cut(selected, CutReason.MEMORY);
      ({state} = this.budget);
    }
    if (state !== Reservation.GRANTED) this.pauseAll();
  }

  /**
   * Stops reading all connections. Those that were ready together are read one
   * after the other before anything that was cut is freed, and each read may
   * bring over a thousand requests.
   */
  private pauseAll(): void {
    if (this.isFull) return;
    this.isFull = true;
    for (const connection of this.connections) this.pause(connection);
  }

  private pause(connection: LimitedConnection): void {
    this.waiting.add(connection);
    connection.pause();
  }

  private returnBytes(connection: LimitedConnection, bytes: number): void {
    const nowMs = this.options.readMonotonicMs();
    connection.progressMs = nowMs;
    this.budget.returnPart(connection, bytes, nowMs);
    this.resumeWaiting();
  }

  /** Lets as many waiting connections read as the free bytes are enough for. */
  private resumeWaiting(): void {
    let reads = Math.floor(this.budget.freeBytes / READ_BYTES);
    if (reads > 0) this.isFull = false;
    for (const connection of this.waiting) {
      if (reads <= 0) return;
      reads -= 1;
      this.waiting.delete(connection);
      this.resume(connection);
    }
  }

  private resume(connection: LimitedConnection): void {
    if (this.waiting.has(connection)) return;
    if (connection.requestCount < PAUSE_REQUESTS) connection.resume();
  }

  private cut(connection: LimitedConnection, reason: CutReason): void {
    this.options.reportCut(reason);
    this.forget(connection);
    this.budget.cut(connection);
    connection.socket.destroy();
  }

  private check(): void {
    this.stopTimer = undefined;
    const nowMs = this.options.readMonotonicMs();
    for (const connection of this.connections) {
      if (!connection.hasUnreadAnswer) continue;
      if (nowMs - connection.progressMs < UNREAD_MS) continue;
      this.cut(connection, CutReason.UNREAD);
    }
    this.cutStalled(nowMs);
    if (this.connections.size === 0) return;
    this.stopTimer = this.options.startTimer(CHECK_PERIOD_MS, () =>
      this.check(),
    );
  }

  /**
   * Cuts connections without progress until one that waits can read. What they hold
   * is free only after this turn; without counting it now, all would be cut.
   */
  private cutStalled(nowMs: number): void {
    const {budget, waiting} = this;
    while (waiting.size > 0 && budget.expectedFreeBytes < READ_BYTES) {
      const selected = this.budget.selectCut(nowMs, STALLED_MS);
      if (selected === undefined) return;
      this.cut(selected, CutReason.MEMORY);
    }
    this.resumeWaiting();
  }
}

function isMalformed({headers, httpVersion}: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === '1.1';
}

function measureHead({url, rawHeaders}: IncomingMessage): number {
  let bytes = REQUEST_BYTES + (url ?? '').length;
  for (const text of rawHeaders) bytes += text.length + HEADER_BYTES;
  return bytes;
}
