/** Sends an HTTP request at most once and reports whether it was sent and answered. */
import type {Dispatcher} from 'undici';
import type {StartTimer, StopTimer} from './clock.js';

/** An HTTP request to send. */
export interface OutgoingRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Time limit in milliseconds for the complete reply. */
  readonly timeoutMs: number;
}

/** Whether a request was sent and answered. */
export enum SendOutcome {
  /** The complete reply has arrived. */
  REPLIED = 'replied',
  /** No byte has been sent and none will be. */
  NOT_SENT = 'not-sent',
  /** The request may have arrived; its reply has not arrived completely. */
  UNANSWERED = 'unanswered',
}

/** The result of sending a request. */
export type SendResult =
  | {
      readonly outcome: SendOutcome.REPLIED;
      readonly status: number;
      /** Headers by lower-case name. */
      readonly headers: ReadonlyMap<string, string>;
      readonly body: Buffer;
    }
  | {readonly outcome: SendOutcome.NOT_SENT; readonly cause: unknown}
  | {
      readonly outcome: SendOutcome.UNANSWERED;
      /** The error of the connection; undefined if the time limit passed. */
      readonly cause: unknown;
    };

/**
 * Sends a request over `dispatcher` and waits for its reply. Never rejects.
 *
 * In some cases undici requeues a request when its connection breaks; such a
 * second attempt is aborted here before any byte of it is written.
 */
export function sendOnce(
  dispatcher: Dispatcher,
  request: OutgoingRequest,
  startTimer: StartTimer,
): Promise<SendResult> {
  return new Promise(resolve => {
    const attempt = Attempt.create(request, startTimer, resolve);
    const {method, path, headers, body = null} = request;
    dispatcher.dispatch(
      {
        method,
        path,
        headers,
        body,
        headersTimeout: 0,
        bodyTimeout: 0,
        origin: undefined,
      },
      attempt.handlers,
    );
  });
}

class Attempt {
  private readonly parts: Buffer[] = [];
  private readonly stopTimer: StopTimer;
  private abort: (() => void) | undefined;
  private isEnded = false;
  private status = 0;
  private headers: ReadonlyMap<string, string> = new Map();

  private constructor(
    request: OutgoingRequest,
    startTimer: StartTimer,
    private readonly resolve: (result: SendResult) => void,
  ) {
    this.stopTimer = startTimer(request.timeoutMs, () => this.expire());
  }

  static create(
    request: OutgoingRequest,
    startTimer: StartTimer,
    resolve: (result: SendResult) => void,
  ): Attempt {
    return new Attempt(request, startTimer, resolve);
  }

  readonly handlers: Dispatcher.DispatchHandlers = {
    onConnect: abort => this.begin(abort),
    onHeaders: (status, headers) => {
      this.status = status;
      this.headers = readHeaders(headers);
      return true;
    },
    onData: part => {
      this.parts.push(part);
      return true;
    },
    onComplete: () => {
      const {status, headers} = this;
      const body = Buffer.concat(this.parts);
      this.end({outcome: SendOutcome.REPLIED, status, headers, body});
    },
    onError: cause => this.fail(cause),
  };

  private begin(abort: () => void): void {
    const isRepeated = this.abort !== undefined;
    if (isRepeated || this.isEnded) {
      abort();
      return;
    }
    this.abort = abort;
  }

  private expire(): void {
    this.fail(undefined);
    this.abort?.();
  }

  private fail(cause: unknown): void {
    const isSent = this.abort !== undefined;
    const outcome = isSent ? SendOutcome.UNANSWERED : SendOutcome.NOT_SENT;
    this.end({outcome, cause});
  }

  private end(result: SendResult): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.stopTimer();
    this.resolve(result);
  }
}

/** Converts the headers from undici, which alternate names and values. */
function readHeaders(fields: readonly Buffer[]): ReadonlyMap<string, string> {
  const headers = new Map<string, string>();
  for (let at = 0; at + 1 < fields.length; at += 2) {
    const name = fields[at].toString('latin1').toLowerCase();
    headers.set(name, fields[at + 1].toString('latin1'));
  }
  return headers;
}
