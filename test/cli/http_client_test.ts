import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {
  createHttpClient,
  isProvenUnsent,
} from '../../src/lib/cli/http_client.js';
import {Method, ReplyKind} from '../../src/lib/cli/http_exchange.js';
import type {HttpReply} from '../../src/lib/cli/http_exchange.js';

const JSON_HEADERS = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';

interface Exchange {
  readonly reply: HttpReply;
  /** Number of connections on which any byte of a request arrived. */
  readonly requests: number;
}

/** Sends one POST request to a server that responds with `serve`. */
async function postTo(serve: (socket: Socket) => void): Promise<Exchange> {
  const sockets: Socket[] = [];
  let requests = 0;
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      requests += 1;
      serve(socket);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = createHttpClient();
  const reply = await client.send({
    method: Method.POST,
    url: `http://127.0.0.1:${port}/v1/jobs`,
    body: {},
    timeoutMs: 300,
  });
  await client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return {reply, requests};
}

describe('createHttpClient', () => {
  it('reads a complete JSON response', async () => {
    const {reply} = await postTo(socket =>
      socket.end(`${JSON_HEADERS}Content-Length: 8\r\n\r\n{"a": 1}`),
    );
    expect(reply).to.deep.include({
      kind: ReplyKind.ANSWERED,
      status: 200,
      document: {a: 1},
    });
  });

  const lostResponses: Readonly<Record<string, (socket: Socket) => void>> = {
    'ends before its content length': socket =>
      socket.end(`${JSON_HEADERS}Content-Length: 900\r\n\r\n{"a":`),
    'ends between two chunks': socket =>
      socket.end(
        `${JSON_HEADERS}Transfer-Encoding: chunked\r\n\r\n5\r\n{"a":\r\n`,
      ),
    'contains truncated JSON': socket =>
      socket.end(`${JSON_HEADERS}Connection: close\r\n\r\n{"a":`),
    'does not arrive in time': () => {},
    'is missing because the connection closes': socket => socket.destroy(),
  };
  for (const [name, serve] of Object.entries(lostResponses)) {
    it(`sends once and reports as lost a response that ${name}`, async () => {
      const {reply, requests} = await postTo(serve);
      expect(reply.kind).to.equal(ReplyKind.LOST);
      expect(requests).to.equal(1);
    });
  }

  it('reports that nothing was sent if the connection is refused', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const client = createHttpClient();
    const reply = await client.send({
      method: Method.POST,
      url: `http://127.0.0.1:${port}/`,
      timeoutMs: 300,
    });
    await client.close();
    expect(reply.kind).to.equal(ReplyKind.NOT_SENT);
  });
});

describe('isProvenUnsent', () => {
  it('is true if connecting to the host fails', () => {
    const failure = {code: 'EHOSTUNREACH', syscall: 'connect'};
    expect(isProvenUnsent(failure)).to.equal(true);
  });

  it('is false if the host becomes unreachable on an open connection', () => {
    for (const syscall of ['read', 'write']) {
      const failure = {code: 'EHOSTUNREACH', syscall};
      expect(isProvenUnsent(failure)).to.equal(false);
    }
  });

  it('is false for a connection reset', () => {
    const failure = {code: 'ECONNRESET', syscall: 'connect'};
    expect(isProvenUnsent(failure)).to.equal(false);
  });
});
