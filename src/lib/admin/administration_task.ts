/** The task that owns the administration port. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {watchConnections} from '../core/connection_tracker.js';
import type {CloseIdleConnections} from '../core/connection_tracker.js';
import {
  BodyOutcome,
  openHttpListener,
  readBody,
} from '../core/http_listener.js';
import type {HttpListener} from '../core/http_listener.js';
import {createIncarnation} from '../core/identity.js';
import {PostOutcome, Task} from '../core/task.js';
import {AnswerKind} from './administration_answer.js';
import type {AdministrationAnswer} from './administration_answer.js';
import {
  AdministrationProblem,
  createRefusal,
} from './administration_problem.js';
import type {AdministrationRequest} from './administration_request.js';
import {encodeAnswer} from './answer_codec.js';
import type {HttpAnswer} from './answer_codec.js';
import {checkAuthorization, decodeRequest} from './request_codec.js';
import type {HttpRequestParts} from './request_codec.js';
import {RequestExecutor} from './request_executor.js';
import type {RequestExecutorOptions} from './request_executor.js';

/** What the administration task needs. */
export interface AdministrationTaskOptions extends RequestExecutorOptions {
  readonly host: string;
  /** 0 lets the host choose. */
  readonly port: number;
  /** The key that operators present. */
  readonly key: string;
  readonly reportFailure: (failure: unknown) => void;
}

/** Kinds of message that the administration task takes. */
enum AdministrationMessageKind {
  /** A request was read and is to be carried out. */
  REQUESTED = 'requested',
  /** A request was carried out. */
  EXECUTED = 'executed',
}

/** Sends an answer to the operator who waits for it. */
type SendAnswer = (answer: AdministrationAnswer) => void;

type AdministrationMessage =
  | {
      readonly kind: AdministrationMessageKind.REQUESTED;
      readonly request: AdministrationRequest;
      readonly sendAnswer: SendAnswer;
    }
  | {
      readonly kind: AdministrationMessageKind.EXECUTED;
      readonly answer: AdministrationAnswer;
      readonly sendAnswer: SendAnswer;
    };

const BODY_BYTES_AT_MOST = 64 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
const ANSWER_TIMEOUT_MS = 30_000;

/** Requests that are carried out at once; operators are few. */
const REQUESTS_AT_MOST = 64;
const MAILBOX_CAPACITY = 4 * REQUESTS_AT_MOST;

/**
 * Serves operators: authorizes, decodes, hands each request to the executor
 * and answers. Owns the store's client that it is given, and closes it.
 */
export class AdministrationTask {
  private readonly task: Task<AdministrationMessage>;
  private readonly executor: RequestExecutor;
  private listener: HttpListener | undefined;
  private closeQuietConnections: CloseIdleConnections = () => undefined;
  private running = 0;
  private isStopping = false;

  private constructor(private readonly options: AdministrationTaskOptions) {
    this.executor = RequestExecutor.create(options);
    this.task = Task.create<AdministrationMessage>({
      name: 'administration',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    this.task.store.add(() => options.store.close());
  }

  /**
   * Creates the task and opens its port.
   *
   * @throws AddressError if the port cannot be opened.
   */
  static async create(
    options: AdministrationTaskOptions,
  ): Promise<AdministrationTask> {
    const task = new AdministrationTask(options);
    task.listener = await openHttpListener({
      host: options.host,
      port: options.port,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      handle: (request, response) => void task.receive(request, response),
    });
    task.closeQuietConnections = watchConnections(task.listener.server);
    return task;
  }

  /** The port that is listened on. */
  get port(): number {
    return this.listener?.port ?? 0;
  }

  /** Answers what is in progress, then closes the port and the client. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const closing = this.listener?.close();
    this.closeQuietConnections();
    await closing;
    await this.task.stop();
  }

  private async receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.setTimeout(ANSWER_TIMEOUT_MS, () => response.destroy());
    const sendAnswer = (answer: AdministrationAnswer) =>
      this.write(response, encodeAnswer(answer));
    if (!checkAuthorization(request.headers.authorization, this.options.key)) {
      // The body of a stranger is not read.
      response.setHeader('connection', 'close');
      sendAnswer(
        refuse(AdministrationProblem.UNAUTHORIZED, UNAUTHORIZED_DETAIL),
      );
      return;
    }
    // Node looks for requests that are late only now and then.
    const stopTimer = this.options.startTimer(REQUEST_TIMEOUT_MS, () => {
      response.setHeader('connection', 'close');
      sendAnswer(refuse(AdministrationProblem.REQUEST_TIMEOUT, LATE_DETAIL));
      response.once('close', () => request.destroy());
    });
    const body = await readBody(request, BODY_BYTES_AT_MOST);
    stopTimer();
    if (body.outcome === BodyOutcome.ABORTED) return;
    if (body.outcome === BodyOutcome.TOO_LARGE) {
      response.setHeader('connection', 'close');
      sendAnswer(
        refuse(AdministrationProblem.BODY_TOO_LARGE, TOO_LARGE_DETAIL),
      );
      return;
    }
    this.submit(toParts(request, body.bytes.toString('utf8')), sendAnswer);
  }

  private submit(parts: HttpRequestParts, sendAnswer: SendAnswer): void {
    const decoded = decodeRequest(parts, createIncarnation);
    if (!decoded.isValid) {
      sendAnswer({kind: AnswerKind.REFUSAL, refusal: decoded.refusal});
      return;
    }
    const outcome = this.post({
      kind: AdministrationMessageKind.REQUESTED,
      request: decoded.request,
      sendAnswer,
    });
    if (outcome !== PostOutcome.QUEUED) sendAnswer(refuseBusy());
  }

  /** Posts a request; keeps room for the ends of those that run. */
  private post(message: AdministrationMessage): PostOutcome {
    const isCrowded = this.task.backlog >= MAILBOX_CAPACITY - REQUESTS_AT_MOST;
    return isCrowded ? PostOutcome.FULL : this.task.post(message);
  }

  private handle(message: AdministrationMessage): void {
    switch (message.kind) {
      case AdministrationMessageKind.REQUESTED:
        this.execute(message.request, message.sendAnswer);
        break;
      case AdministrationMessageKind.EXECUTED:
        this.running -= 1;
        message.sendAnswer(message.answer);
        break;
    }
  }

  private execute(
    request: AdministrationRequest,
    sendAnswer: SendAnswer,
  ): void {
    if (this.running >= REQUESTS_AT_MOST) {
      sendAnswer(refuseBusy());
      return;
    }
    this.running += 1;
    const finish = (answer: AdministrationAnswer) =>
      void this.task.post({
        kind: AdministrationMessageKind.EXECUTED,
        answer,
        sendAnswer,
      });
    this.executor.execute(request).then(finish, failure => {
      this.options.reportFailure(failure);
      finish(refuse(AdministrationProblem.INTERNAL, INTERNAL_DETAIL));
    });
  }

  private write(response: ServerResponse, answer: HttpAnswer): void {
    if (response.destroyed) return;
    if (this.isStopping) response.setHeader('connection', 'close');
    const length = Buffer.byteLength(answer.body);
    response
      .writeHead(answer.status, {...answer.headers, 'content-length': length})
      .end(answer.body);
  }
}

const UNAUTHORIZED_DETAIL =
  'Send the key of the settings as "Authorization: Bearer KEY".';
const TOO_LARGE_DETAIL = `The body is over ${BODY_BYTES_AT_MOST} bytes.`;
const LATE_DETAIL = `The body took longer than ${REQUEST_TIMEOUT_MS} ms.`;
const INTERNAL_DETAIL =
  'The request failed within the entry; its log says why. Read what stands.';

function refuse(
  problem: AdministrationProblem,
  detail: string,
): AdministrationAnswer {
  return {kind: AnswerKind.REFUSAL, refusal: createRefusal(problem, detail)};
}

function refuseBusy(): AdministrationAnswer {
  return refuse(
    AdministrationProblem.BUSY,
    'Too many requests are in progress; nothing was changed.',
  );
}

function toParts(request: IncomingMessage, body: string): HttpRequestParts {
  const {method = 'GET', url = '/', headers} = request;
  return {method, path: url, headers, body};
}
