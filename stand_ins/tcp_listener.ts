/** TCP listener on the loopback address, shared by the stand-ins. */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {AddressError} from '../src/lib/core/errors.js';
import {LOOPBACK_HOST} from './http_listener.js';

/**
 * Listens on loopback and passes each connection, still paused, to `accept`.
 */
export class TcpListener {
  private constructor(private readonly server: Server) {}

  /**
   * Opens a listener; port 0 selects a free one. Rejects with `AddressError` if
   * it cannot listen.
   */
  static async create(
    port: number,
    accept: (socket: Socket) => void,
  ): Promise<TcpListener> {
    const server = createServer(
      {allowHalfOpen: true, pauseOnConnect: true},
      accept,
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause =>
        reject(new AddressError(`Cannot listen on port ${port}.`, {cause})),
      );
      server.listen(port, LOOPBACK_HOST, resolve);
    });
    return new TcpListener(server);
  }

  /** Port that the listener is bound to. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Stops listening. Accepted connections stay open; their owners close them.
   */
  close(): void {
    this.server.close();
  }
}

/** Parses `host:port`. */
export function parseAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
