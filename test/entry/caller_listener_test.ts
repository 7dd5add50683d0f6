import {expect} from 'chai';
import {request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {PostOutcome} from '../../src/lib/core/task.js';
import {Outcome} from '../../src/lib/core/job.js';
import {openCallerListener} from '../../src/lib/entry/caller_listener.js';
import type {CallerListener} from '../../src/lib/entry/caller_listener.js';
import {ReplyKind} from '../../src/lib/entry/dispatcher_messages.js';
import type {
  DispatcherMessage,
  SubmitMessage,
} from '../../src/lib/entry/dispatcher_messages.js';
import {DispatcherMessageKind} from '../../src/lib/entry/dispatcher_messages.js';
import {HolderKind} from '../../src/lib/entry/holder.js';
import {RequestRouter} from '../../src/lib/entry/request_router.js';

const MAX_BODY_BYTES = 1000;
const RESULT_BYTES = 4 * 1024 * 1024;
const JOB = '{"team":"t","tasks":[{"payload":1}]}';

interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
}

/** Answers every submission with one large result. */
function answerLarge(message: DispatcherMessage): PostOutcome {
  if (message.kind === DispatcherMessageKind.SUBMIT) answerSubmission(message);
  return PostOutcome.QUEUED;
}

function answerSubmission(message: SubmitMessage): void {
  const result = Buffer.from(JSON.stringify('x'.repeat(RESULT_BYTES)));
  message.reply({
    kind: ReplyKind.ANSWER,
    answer: {
      outcome: Outcome.COMPLETE,
      problem: undefined,
      results: [result],
      faults: [],
    },
  });
}

async function openListener(
  post: (message: DispatcherMessage) => PostOutcome,
): Promise<CallerListener> {
  const router = RequestRouter.create({
    identity: {id: 'x', incarnation: 'own', dataCentre: 'a'},
    address: 'x:1',
    secret: 'a secret of the tests',
    sessionLifetimeMs: 1000,
    postToDispatcher: post,
    forward: () => PostOutcome.QUEUED,
    findHolder: () => ({kind: HolderKind.NONE, address: ''}),
    awaitHolder: (_incarnation, resume) => {
      resume();
      return PostOutcome.QUEUED;
    },
  });
  return openCallerListener({
    host: '127.0.0.1',
    port: 0,
    maxBodyBytes: MAX_BODY_BYTES,
    router: router,
    isReady: () => true,
  });
}

function send(
  listener: CallerListener,
  method: string,
  path: string,
  body: string,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const {port} = listener;
    const outgoing = request({port, host: '127.0.0.1', method, path});
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        }),
      );
    });
    outgoing.end(body);
  });
}

/** Reads a complete answer, pausing after each chunk. */
function readSlowly(socket: Socket): Promise<Buffer> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    socket.on('data', part => {
      parts.push(part);
      socket.pause();
      setImmediate(() => socket.resume());
    });
    socket.on('end', () => resolve(Buffer.concat(parts)));
  });
}

describe('CallerListener', function () {
  this.timeout(20_000);
  let listener: CallerListener;

  beforeEach(async () => {
    listener = await openListener(answerLarge);
  });

  afterEach(() => listener.close());

  it('sends a slow reader the complete answer under its Content-Length', async () => {
    const socket = connect(listener.port, '127.0.0.1');
    socket.write(
      `POST /v1/jobs HTTP/1.1\r\nhost: x\r\nconnection: close\r\n` +
        `content-length: ${JOB.length}\r\n\r\n${JOB}`,
    );
    const bytes = (await readSlowly(socket)).toString();
    const [head, body] = bytes.split('\r\n\r\n', 2);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
    expect(body.length).to.equal(length);
    const {results} = JSON.parse(body) as {results: string[]};
    expect(results[0].length).to.equal(RESULT_BYTES);
  });

  it('refuses an oversized body with the outcome did-not-run', async () => {
    const reply = await send(listener, 'POST', '/v1/jobs', 'x'.repeat(5000));
    expect(reply.status).to.equal(413);
    expect(reply.headers['content-type']).to.equal('application/problem+json');
    expect(JSON.parse(reply.text)).to.include({
      code: 'body-too-large',
      outcome: 'did-not-run',
    });
  });

  const invalidBodies: Array<[string, string, string]> = [
    ['wrong JSON', '{"team":', 'not JSON'],
    ['an empty body', '', 'empty'],
    ['an empty job', '{"team":"t","tasks":[]}', 'at least one task'],
    ['an unknown field', '{"team":"t","task":[]}', '"task" is not a field'],
    ['a missing team', '{"tasks":[{"payload":1}]}', '"team" is missing'],
    [
      'a deadline in the past',
      '{"team":"t","deadlineMs":-1,"tasks":[{"payload":1}]}',
      'deadlineMs',
    ],
  ];
  for (const [name, body, text] of invalidBodies) {
    it(`names what is wrong: ${name}`, async () => {
      const reply = await send(listener, 'POST', '/v1/jobs', body);
      const problem = JSON.parse(reply.text) as {detail: string};
      expect(reply.status).to.equal(400);
      expect(problem).to.include({outcome: 'did-not-run'});
      expect(problem.detail).to.contain(text);
    });
  }

  it('names the documentation page for an unknown path', async () => {
    const reply = await send(listener, 'GET', '/jobs', '');
    expect(reply.status).to.equal(404);
    expect(reply.text).to.contain('docs/API.md');
  });

  it('closes a connection whose request is never completed', async () => {
    const socket = connect(listener.port, '127.0.0.1');
    socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\n');
    const bytes = await readSlowly(socket);
    expect(bytes.toString()).to.match(/^HTTP\/1\.1 408/);
  });

  it('keeps serving after a caller disconnects during its answer', async () => {
    const socket = connect(listener.port, '127.0.0.1');
    socket.write(
      `POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: ${JOB.length}\r\n\r\n${JOB}`,
    );
    socket.once('data', () => socket.destroy());
    await new Promise(resolve => socket.once('close', resolve));
    const reply = await send(listener, 'GET', '/healthz', '');
    expect(reply.status).to.equal(200);
  });
});
