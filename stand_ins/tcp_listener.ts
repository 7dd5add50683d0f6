/** A TCP listener on loopback, as the stand-ins share it. */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {AddressError} from '../src/lib/core/errors.js';
import {LOOPBACK_HOST} from './http_listener.js';

/** Listens on loopback and hands each paused connection to `accept`. */
export class TcpListener {
  private constructor(private readonly server: Server) {}

  /** Creates a listener that is listening; port 0 takes a free port. */
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

  /** Port on which it listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening; connections are their owners' to close. */
  close(): void {
    this.server.close();
  }
}

/** Reads `host:port`. */
export function parseAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
