/** One connection of an HTTP server whose limits are watched. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ReadMonotonicMs} from './clock.js';
import type {ConnectionLimiter} from './connection_limiter.js';

/**
 * Requests of a connection that are handled at once. Those behind wait here, not
 * in the mailboxes of tasks, which would keep them after the connection was cut.
 */
const MAX_STARTED = 32;

const CONNECTIONS = new WeakMap<Socket, LimitedConnection>();

/** The unanswered requests of a connection, and whether it is read. */
export class LimitedConnection {
  /** Time at which the connection last received, or was last answered. */
  progressMs: number;

  private readonly responses = new Set<ServerResponse>();
  /** The requests of these responses. */
  private readonly requests = new Set<IncomingMessage>();
  /** Requests that are handled and not answered. */
  private readonly started = new Set<IncomingMessage>();
  private readonly waiting = new Map<IncomingMessage, () => void>();
  private isPaused = false;

  private constructor(
    readonly socket: Socket,
    readonly limiter: ConnectionLimiter,
    nowMs: number,
  ) {
    this.progressMs = nowMs;
    // Node.js resumes the socket by itself when a request's body is read.
    socket.on('resume', () => {
      if (this.isPaused) this.stopReading();
    });
  }

  /** Begins to watch a connection. */
  static create(
    socket: Socket,
    limiter: ConnectionLimiter,
    readMonotonicMs: ReadMonotonicMs,
  ): LimitedConnection {
    const connection = new LimitedConnection(
      socket,
      limiter,
      readMonotonicMs(),
    );
    CONNECTIONS.set(socket, connection);
    return connection;
  }

  /** Finds the connection of a socket, if it is watched. */
  static find(socket: Socket): LimitedConnection | undefined {
    return CONNECTIONS.get(socket);
  }

  /** Number of requests whose responses are not closed. */
  get requestCount(): number {
    return this.responses.size;
  }

  /** Whether the oldest response is complete, and its client has not read all of it. */
  get hasUnreadAnswer(): boolean {
    const [oldest] = this.responses;
    return oldest?.writableEnded ?? false;
  }

  /** Whether nothing can happen before the client sends or reads. */
  get isWaitingForClient(): boolean {
    const [oldest] = this.responses;
    if (oldest === undefined) return true;
    return oldest.writableEnded || !oldest.req.complete;
  }

  /** Adds the response of a request. */
  addResponse(response: ServerResponse): void {
    this.responses.add(response);
    this.requests.add(response.req);
  }

  /** Removes a response that was closed; returns whether it was not removed before. */
  removeResponse(response: ServerResponse): boolean {
    if (!this.responses.delete(response)) return false;
    this.requests.delete(response.req);
    this.started.delete(response.req);
    this.waiting.delete(response.req);
    this.startWaiting();
    return true;
  }

  /** Handles a request now, or once enough earlier ones have been answered. */
  start(request: IncomingMessage, handle: () => void): void {
    if (this.socket.destroyed) return;
    // One that was answered before its body was complete has no turn to wait for.
    const isAnswered = !this.requests.has(request);
    if (isAnswered || this.started.has(request)) return handle();
    this.waiting.set(request, handle);
    this.startWaiting();
  }

  /**
   * Closes the responses after the connection was closed. Node.js closes only
   * the oldest; those of pipelined requests behind it would stay open for ever.
   */
  closeResponses(): void {
    this.waiting.clear();
    for (const response of this.responses) {
      if (response.socket === null) response.emit('close');
    }
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.isPaused = true;
    this.stopReading();
  }

  /** Reads again after `pause`. */
  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    if (!this.socket.destroyed) this.socket.resume();
  }

  /**
   * A resumption takes effect in a later turn: Node.js reads then, also if the
   * socket has been paused again. `pause` does not tell it of a socket that is paused.
   */
  private stopReading(): void {
    if (this.socket.isPaused()) this.socket.emit('pause');
    else this.socket.pause();
  }

  private startWaiting(): void {
    const [oldest] = this.responses;
    // All others are answered after the oldest, so it never waits for them.
    if (oldest !== undefined) this.startOne(oldest.req);
    for (const request of this.waiting.keys()) {
      if (this.started.size >= MAX_STARTED) return;
      this.startOne(request);
    }
  }

  private startOne(request: IncomingMessage): void {
    const handle = this.waiting.get(request);
    if (handle === undefined) return;
    this.waiting.delete(request);
    this.started.add(request);
    handle();
  }
}
