import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {RelayServer} from '../../stand_ins/relay_server.js';
import {TcpListener} from '../../stand_ins/tcp_listener.js';
import {waitUntil} from '../wait_until.js';

describe('RelayServer', () => {
  let cleanUp: DisposableStore;
  let relay: RelayServer;
  let accepted: Socket[];

  /** Connects through the relay and records the bytes and events received. */
  function connect() {
    const socket = createConnection(relay.port, '127.0.0.1');
    const state = {socket, text: '', isEnded: false, isClosed: false};
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => (state.text += text));
    socket.on('end', () => (state.isEnded = true));
    socket.on('close', () => (state.isClosed = true));
    socket.on('error', () => undefined);
    cleanUp.add(() => void socket.destroy());
    return state;
  }

  async function control(change: object) {
    const reply = await fetch(`http://127.0.0.1:${relay.controlPort}/control`, {
      method: 'POST',
      body: JSON.stringify(change),
    });
    expect(reply.status).to.equal(200);
  }

  beforeEach(async () => {
    cleanUp = DisposableStore.create();
    accepted = [];
    const echo = await TcpListener.create(0, socket => {
      accepted.push(socket);
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    cleanUp.add(() => echo.close());
    cleanUp.add(() => accepted.forEach(socket => socket.destroy()));
    relay = await RelayServer.create({
      port: 0,
      controlPort: 0,
      to: {host: '127.0.0.1', port: echo.port},
      delayMs: 1,
    });
    cleanUp.add(() => relay.stop());
  });

  afterEach(() => cleanUp.dispose());

  it('forwards all bytes in order and then the end of the stream', async () => {
    const caller = connect();
    const lines = Array.from({length: 20_000}, (_, i) => `line ${i}\n`);
    for (const line of lines) caller.socket.write(line);
    caller.socket.end();
    await waitUntil('it ends', () => caller.isEnded);
    expect(caller.text).to.equal(lines.join(''));
    await waitUntil('the server has closed', () => accepted[0].destroyed);
  });

  it('holds one direction and delivers its bytes when restored', async () => {
    await control({direction: 'backward', action: 'hold'});
    const caller = connect();
    caller.socket.write('tea');
    await waitUntil('bytes arrive', () => accepted[0]?.bytesRead === 3);
    accepted[0].end();
    await waitUntil('bytes are sent', () => accepted[0].writableFinished);
    await control({});
    expect(caller).to.include({text: '', isEnded: false});
    await control({action: 'restore'});
    await waitUntil('it ends', () => caller.isEnded);
    expect(caller.text).to.equal('tea');
  });

  it('does not report a broken connection while the direction is held', async () => {
    const caller = connect();
    caller.socket.write('tea');
    await waitUntil('the echo', () => caller.text === 'tea');
    await control({direction: 'backward', action: 'hold'});
    accepted[0].resetAndDestroy();
    await waitUntil('the connection is destroyed', () => accepted[0].destroyed);
    await control({});
    expect(caller.isClosed).to.equal(false);
    await control({action: 'restore'});
    await waitUntil('the caller is closed', () => caller.isClosed);
  });

  it('resets open connections and closes new ones until restored', async () => {
    const first = connect();
    await waitUntil('it is open', () => accepted.length === 1);
    await control({reset: true});
    await waitUntil('it is reset', () => first.isClosed);
    await control({action: 'close'});
    const second = connect();
    await waitUntil('it is closed', () => second.isClosed);
    await control({action: 'restore'});
    const third = connect();
    third.socket.write('tea');
    await waitUntil('the echo', () => third.text === 'tea');
    expect(accepted).to.have.length(2);
  });
});
