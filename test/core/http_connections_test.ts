import {expect} from 'chai';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {startTimer} from '../../src/lib/core/clock.js';
import {openHttpConnections} from '../../src/lib/core/http_connections.js';
import type {HttpConnections} from '../../src/lib/core/http_connections.js';
import {SendOutcome} from '../../src/lib/core/send_once.js';
import type {SendResult} from '../../src/lib/core/send_once.js';

/** A TCP server that answers each request as the test specifies. */
interface FakeServer {
  readonly server: Server;
  readonly origin: string;
  /** Number of requests received. */
  count: number;
  open: number;
  maxOpen: number;
  answer: (socket: Socket, number: number) => void;
}

function reply(socket: Socket, text: string): void {
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
  );
}

async function openServer(): Promise<FakeServer> {
  const server = createServer(socket => {
    fake.open += 1;
    fake.maxOpen = Math.max(fake.maxOpen, fake.open);
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
    maxOpen: 0,
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

  it('returns the reply', async () => {
    expect(readText(await send(connections))).to.equal('"ok"');
  });

  it('reports NOT_SENT if the connection is refused', async () => {
    const refused = openConnections('http://127.0.0.1:1');
    expect((await send(refused)).outcome).to.equal(SendOutcome.NOT_SENT);
    await refused.close();
  });

  it('reports UNANSWERED if the connection breaks, and does not retry', async () => {
    fake.answer = socket => socket.destroy();
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
    expect(fake.count).to.equal(1);
  });

  it('reports UNANSWERED if the reply is truncated', async () => {
    fake.answer = socket => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"ha');
    };
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
  });

  it('does not retry on a reused connection that the server resets', async () => {
    fake.answer = (socket, number) => {
      if (number === 1) reply(socket, '"first"');
      else socket.resetAndDestroy();
    };
    expect(readText(await send(connections))).to.equal('"first"');
    const {outcome} = await send(connections);
    expect(outcome).to.equal(SendOutcome.UNANSWERED);
    expect(fake.count).to.equal(2);
  });

  it('does not deliver a late reply to the next request', async () => {
    let late: Socket | undefined;
    fake.answer = (socket, number) => {
      if (number === 1) late = socket;
      else reply(socket, '"second"');
    };
    const first = await send(connections, 50);
    expect(first.outcome).to.equal(SendOutcome.UNANSWERED);
    if (late !== undefined && !late.destroyed) reply(late, '"first"');
    expect(readText(await send(connections))).to.equal('"second"');
  });

  it('queues requests beyond the connection limit', async () => {
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
    expect(fake.maxOpen).to.equal(3);
  });

  // A caller's text in a header could otherwise add requests of its own.
  it('does not send a request whose path or header would end early', async () => {
    const common = {method: 'POST', body: '1', timeoutMs: 1000} as const;
    const results = await Promise.all([
      connections.send({...common, path: '/a HTTP/1.1\r\nx: y'}),
      connections.send({...common, path: '/a', headers: {job: 'b\r\nc: d'}}),
    ]);
    for (const result of results) {
      expect(result.outcome).to.equal(SendOutcome.NOT_SENT);
    }
    expect(fake.count).to.equal(0);
  });

  it('adds the length of a body', async () => {
    let received = '';
    fake.server.once('connection', socket =>
      socket.on('data', part => (received += part.toString())),
    );
    const body = '"\u00e9"';
    await connections.send({method: 'POST', path: '/a', body, timeoutMs: 1000});
    expect(received).to.include('content-length: 4\r\n');
  });
});
