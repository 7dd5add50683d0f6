/** Tracks which connections of an HTTP server are idle. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

/** Closes idle connections at once and the others when their requests end. */
export type CloseIdleConnections = () => void;

/**
 * Tracks a server's connections from now on; returns the function that closes
 * them.
 *
 * A server that closes waits for every connection, even for one on which no
 * request was ever sent: Node treats only connections that have had a request as
 * idle.
 */
export function watchConnections(server: Server): CloseIdleConnections {
  const requests = new Map<Socket, number>();
  let isClosing = false;
  const change = (socket: Socket, difference: number) => {
    const previous = requests.get(socket);
    // A response may close after its socket, which must not be added again.
    if (previous === undefined) return;
    const count = previous + difference;
    requests.set(socket, count);
    if (isClosing && count === 0) socket.destroySoon();
  };
  server.on('connection', (socket: Socket) => {
    requests.set(socket, 0);
    socket.once('close', () => requests.delete(socket));
  });
  server.on('request', (request, response) => {
    const {socket} = request;
    change(socket, 1);
    response.once('close', () => change(socket, -1));
  });
  return () => {
    isClosing = true;
    for (const socket of [...requests.keys()]) change(socket, 0);
  };
}
