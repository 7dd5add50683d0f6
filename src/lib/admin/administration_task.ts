/** The task that owns the administration port. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {watchConnections} from '../core/connection_tracker.js';
import type {CloseIdleConnections} from '../core/connection_tracker.js';
import {openHttpListener} from '../core/http_listener.js';
import type {HttpListener} from '../core/http_listener.js';
import {BodyOutcome, readBody} from '../core/read_body.js';
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
import type {HttpResponse} from './answer_codec.js';
import {checkAuthorization, decodeRequest} from './request_codec.js';
import type {HttpRequestParts} from './request_codec.js';
import {RequestExecutor} from './request_executor.js';
import type {RequestExecutorOptions} from './request_executor.js';

/** Dependencies and settings of the administration task. */
export interface AdministrationTaskOptions extends RequestExecutorOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Bearer key that authorizes operators. */
  readonly key: string;
  readonly reportFailure: (failure: unknown) => void;
}

/** Kinds of message that the administration task handles. */
enum AdministrationMessageKind {
  /** A request has been decoded and is to be executed. */
  REQUESTED = 'requested',
  /** A request has been executed. */
  EXECUTED = 'executed',
}

/** Sends the answer to the request it was created for. */
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

const MAX_BODY_BYTES = 64 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
const ANSWER_TIMEOUT_MS = 30_000;

/** Limit on concurrent requests; there are few operators. */
const MAX_CONCURRENT_REQUESTS = 64;
const MAILBOX_CAPACITY = 4 * MAX_CONCURRENT_REQUESTS;

/**
 * Serves the administration API: authorizes and decodes requests, passes them to
 * the executor and sends the answers. Owns the store client passed in and closes
 * it.
 */
export class AdministrationTask {
  private readonly task: Task<AdministrationMessage>;
  private readonly executor: RequestExecutor;
  private listener: HttpListener | undefined;
  private closeIdleConnections: CloseIdleConnections = () => undefined;
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
    task.closeIdleConnections = watchConnections(task.listener.server);
    return task;
  }

  /** The port of the listener. */
  get port(): number {
    return this.listener?.port ?? 0;
  }

  /** Completes requests in progress, then closes the port and the store client. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const closing = this.listener?.close();
    this.closeIdleConnections();
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
      // The body of an unauthorized request is not read.
      response.setHeader('connection', 'close');
      sendAnswer(
        refuse(AdministrationProblem.UNAUTHORIZED, UNAUTHORIZED_DETAIL),
      );
      return;
    }
    // Node.js checks its request timeout only periodically.
    const stopTimer = this.options.startTimer(REQUEST_TIMEOUT_MS, () => {
      response.setHeader('connection', 'close');
      sendAnswer(refuse(AdministrationProblem.REQUEST_TIMEOUT, TIMEOUT_DETAIL));
      response.once('close', () => request.destroy());
    });
    const body = await readBody(request, MAX_BODY_BYTES);
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

  /** Posts a request; reserves capacity for completions of running requests. */
  private post(message: AdministrationMessage): PostOutcome {
    const isFull =
      this.task.backlog >= MAILBOX_CAPACITY - MAX_CONCURRENT_REQUESTS;
    return isFull ? PostOutcome.FULL : this.task.post(message);
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
    if (this.running >= MAX_CONCURRENT_REQUESTS) {
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

  private write(response: ServerResponse, answer: HttpResponse): void {
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
const TOO_LARGE_DETAIL = `The body is over ${MAX_BODY_BYTES} bytes.`;
const TIMEOUT_DETAIL = `The body took longer than ${REQUEST_TIMEOUT_MS} ms.`;
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
