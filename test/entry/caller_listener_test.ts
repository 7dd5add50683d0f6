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
import {HolderKind, RequestRouter} from '../../src/lib/entry/request_router.js';

const BODY_BYTES_AT_MOST = 1000;
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

async function openFront(
  post: (message: DispatcherMessage) => PostOutcome,
): Promise<CallerListener> {
  const desk = RequestRouter.create({
    identity: {id: 'x', incarnation: 'life', dataCentre: 'a'},
    address: 'x:1',
    secret: 'a secret of the tests',
    sessionLifetimeMs: 1000,
    postToDispatcher: post,
    forward: () => PostOutcome.QUEUED,
    findHolder: () => ({kind: HolderKind.NONE, address: ''}),
  });
  return openCallerListener({
    host: '127.0.0.1',
    port: 0,
    maxBodyBytes: BODY_BYTES_AT_MOST,
    router: desk,
    isReady: () => true,
  });
}

function send(
  front: CallerListener,
  method: string,
  path: string,
  body: string,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const {port} = front;
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

/** Reads a whole answer a little at a time. */
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

describe('The front for callers', function () {
  this.timeout(20_000);
  let front: CallerListener;

  beforeEach(async () => {
    front = await openFront(answerLarge);
  });

  afterEach(() => front.close());

  it('gives a slow reader the whole answer, its length stated first', async () => {
    const socket = connect(front.port, '127.0.0.1');
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

  it('refuses an oversized body and says that nothing ran', async () => {
    const reply = await send(front, 'POST', '/v1/jobs', 'x'.repeat(5000));
    expect(reply.status).to.equal(413);
    expect(reply.headers['content-type']).to.equal('application/problem+json');
    expect(JSON.parse(reply.text)).to.include({
      code: 'body-too-large',
      outcome: 'did-not-run',
    });
  });

  const mistakes: Array<[string, string, string]> = [
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
  for (const [name, body, text] of mistakes) {
    it(`names the mistake: ${name}`, async () => {
      const reply = await send(front, 'POST', '/v1/jobs', body);
      const problem = JSON.parse(reply.text) as {detail: string};
      expect(reply.status).to.equal(400);
      expect(problem).to.include({outcome: 'did-not-run'});
      expect(problem.detail).to.contain(text);
    });
  }

  it('answers an unknown path with the page to read', async () => {
    const reply = await send(front, 'GET', '/jobs', '');
    expect(reply.status).to.equal(404);
    expect(reply.text).to.contain('docs/API.md');
  });

  it('closes a connection whose request never arrives', async () => {
    const socket = connect(front.port, '127.0.0.1');
    socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\n');
    const bytes = await readSlowly(socket);
    expect(bytes.toString()).to.match(/^HTTP\/1\.1 408/);
  });

  it('goes on when a caller hangs up before the answer', async () => {
    const socket = connect(front.port, '127.0.0.1');
    socket.write(
      `POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: ${JOB.length}\r\n\r\n${JOB}`,
    );
    socket.once('data', () => socket.destroy());
    await new Promise(resolve => socket.once('close', resolve));
    const reply = await send(front, 'GET', '/healthz', '');
    expect(reply.status).to.equal(200);
  });
});
