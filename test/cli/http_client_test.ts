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
  /** Connections on which any byte of a request arrived. */
  readonly requests: number;
}

/** Posts once to a server that answers as `serve` does. */
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
  it('reads a whole JSON answer', async () => {
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
    'is cut off by its length': socket =>
      socket.end(`${JSON_HEADERS}Content-Length: 900\r\n\r\n{"a":`),
    'is cut off between two chunks': socket =>
      socket.end(
        `${JSON_HEADERS}Transfer-Encoding: chunked\r\n\r\n5\r\n{"a":\r\n`,
      ),
    'is broken JSON to its end': socket =>
      socket.end(`${JSON_HEADERS}Connection: close\r\n\r\n{"a":`),
    'does not come in time': () => {},
    'is replaced by a closed connection': socket => socket.destroy(),
  };
  for (const [name, serve] of Object.entries(lostResponses)) {
    it(`takes an answer for lost that ${name}, and sends once`, async () => {
      const {reply, requests} = await postTo(serve);
      expect(reply.kind).to.equal(ReplyKind.LOST);
      expect(requests).to.equal(1);
    });
  }

  it('says that nothing was sent when nobody listens', async () => {
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

describe('The proof that a request was not sent', () => {
  it('holds for a host that could not be connected to', () => {
    const failure = {code: 'EHOSTUNREACH', syscall: 'connect'};
    expect(isProvenUnsent(failure)).to.equal(true);
  });

  it('does not hold for a host lost after the connection stood', () => {
    for (const syscall of ['read', 'write']) {
      const failure = {code: 'EHOSTUNREACH', syscall};
      expect(isProvenUnsent(failure)).to.equal(false);
    }
  });

  it('does not hold for a connection that was reset', () => {
    const failure = {code: 'ECONNRESET', syscall: 'connect'};
    expect(isProvenUnsent(failure)).to.equal(false);
  });
});
