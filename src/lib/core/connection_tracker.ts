/** Knows which connections of an HTTP server carry no request. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

/** Closes the connections that carry no request, now and as they end theirs. */
export type CloseIdleConnections = () => void;

/**
 * Follows a server's connections from now on.
 *
 * A server that closes waits for every connection, also for one on which no
 * request was ever sent: Node counts only those as idle that have had one.
 */
export function watchConnections(server: Server): CloseIdleConnections {
  const requests = new Map<Socket, number>();
  let isClosing = false;
  const change = (socket: Socket, difference: number) => {
    const count = (requests.get(socket) ?? 0) + difference;
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
