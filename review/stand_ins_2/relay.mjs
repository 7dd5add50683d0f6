/** A TCP relay in front of an entry, which can reset the next connection. */
import {connect, createServer} from 'node:net';

/** Opens a relay from a free port of `host` to `to` (`host:port`). */
export async function openRelay(host, to) {
  const [toHost, toPort] = to.split(':');
  const sockets = new Set();
  let resets = 0;
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    if (resets > 0) {
      resets -= 1;
      socket.resetAndDestroy();
      return;
    }
    const peer = connect(Number(toPort), toHost);
    sockets.add(peer);
    peer.on('close', () => {
      sockets.delete(peer);
      socket.destroy();
    });
    peer.on('error', () => undefined);
    socket.on('close', () => peer.destroy());
    socket.pipe(peer);
    peer.pipe(socket);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    resetNext: () => (resets += 1),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
