import {expect} from 'chai';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {startTimer} from '../../src/lib/core/clock.js';
import {openHttpConnections} from '../../src/lib/core/http_connections.js';
import type {HttpConnections} from '../../src/lib/core/http_connections.js';
import {SendOutcome} from '../../src/lib/core/send_once.js';
import type {SendResult} from '../../src/lib/core/send_once.js';

/** A server that does with each request what the test says. */
interface FakeServer {
  readonly server: Server;
  readonly origin: string;
  /** Number of requests whose head has arrived. */
  count: number;
  open: number;
  mostOpen: number;
  answer: (socket: Socket, place: number) => void;
}

function reply(socket: Socket, text: string): void {
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
  );
}

async function openServer(): Promise<FakeServer> {
  const server = createServer(socket => {
    fake.open += 1;
    fake.mostOpen = Math.max(fake.mostOpen, fake.open);
    socket.on('close', () => (fake.open -= 1));
    socket.on('error', () => undefined);
    socket.on('data', part => {
      if (!part.toString().startsWith('POST')) return;
      fake.count += 1;
      fake.answer(socket, fake.count);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const fake: FakeServer = {
    server,
    origin: `http://127.0.0.1:${port}`,
    count: 0,
    open: 0,
    mostOpen: 0,
    answer: socket => reply(socket, '"ok"'),
  };
  return fake;
}

function openConnections(origin: string): HttpConnections {
  return openHttpConnections({
    origin,
    connectionsAtMost: 3,
    idleMs: 4000,
    startTimer,
  });
}

function send(
  connections: HttpConnections,
  timeoutMs = 5000,
): Promise<SendResult> {
  return connections.send({
    method: 'POST',
    path: '/v1/tasks',
    headers: {'content-length': '1'},
    body: '1',
    timeoutMs,
  });
}

function readText(result: SendResult): string {
  return result.outcome === SendOutcome.REPLIED ? result.body.toString() : '';
}

describe('HttpConnections', () => {
  let fake: FakeServer;
  let connections: HttpConnections;

  beforeEach(async () => {
    fake = await openServer();
    connections = openConnections(fake.origin);
  });

  afterEach(async () => {
    await connections.close();
    await new Promise(resolve => fake.server.close(resolve));
  });

  it('gives the reply', async () => {
    expect(readText(await send(connections))).to.equal('"ok"');
  });

  it('says that nothing was sent when the connection is refused', async () => {
    const refused = openConnections('http://127.0.0.1:1');
    expect((await send(refused)).outcome).to.equal(SendOutcome.NOT_SENT);
    await refused.close();
  });

  it('does not know what became of a request whose connection broke', async () => {
    fake.answer = socket => socket.destroy();
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
    expect(fake.count).to.equal(1);
  });

  it('takes a reply that breaks off for none', async () => {
    fake.answer = socket => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"ha');
    };
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
  });

  it('sends once on a kept connection that the server closes meanwhile', async () => {
    fake.answer = (socket, place) => {
      if (place === 1) reply(socket, '"first"');
      else socket.resetAndDestroy();
    };
    expect(readText(await send(connections))).to.equal('"first"');
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
    expect(fake.count).to.equal(2);
  });

  it('never gives a late reply to the next request', async () => {
    let late: Socket | undefined;
    fake.answer = (socket, place) => {
      if (place === 1) late = socket;
      else reply(socket, '"second"');
    };
    const first = await send(connections, 50);
    expect(first.outcome).to.equal(SendOutcome.UNANSWERED);
    if (late !== undefined && !late.destroyed) reply(late, '"first"');
    expect(readText(await send(connections))).to.equal('"second"');
  });

  it('keeps to its connections and lets the rest wait', async () => {
    const sockets: Socket[] = [];
    fake.answer = socket => {
      sockets.push(socket);
      if (sockets.length === 3) {
        fake.answer = each => reply(each, '"ok"');
        for (const each of sockets) reply(each, '"ok"');
      }
    };
    const results = await Promise.all(
      Array.from({length: 9}, () => send(connections)),
    );
    expect(results.map(readText)).to.deep.equal(Array(9).fill('"ok"'));
    expect(fake.mostOpen).to.equal(3);
  });
});
