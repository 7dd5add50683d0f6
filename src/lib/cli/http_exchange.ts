/** Types of HTTP requests and replies, independent of any HTTP library. */

/** HTTP methods that the commands use. */
export enum Method {
  GET = 'GET',
  PUT = 'PUT',
  POST = 'POST',
  DELETE = 'DELETE',
}

/** An HTTP request, sent at most once. */
export interface HttpRequest {
  readonly method: Method;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Time limit until the response is received completely. */
  readonly timeoutMs: number;
}

/** Outcome of sending a request. */
export enum ReplyKind {
  ANSWERED = 'answered',
  /** No connection was established: no byte of the request was sent. */
  NOT_SENT = 'not-sent',
  /**
   * The request may have arrived, but its response is missing or incomplete.
   */
  LOST = 'lost',
}

/** A completely received response. */
export interface HttpResponse {
  readonly kind: ReplyKind.ANSWERED;
  readonly status: number;
  /** Keys are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** The parsed body, or its text if it is not JSON. */
  readonly document: unknown;
}

/** A request that got no complete response. */
export interface HttpFailure {
  readonly kind: ReplyKind.NOT_SENT | ReplyKind.LOST;
  readonly url: string;
  readonly reason: string;
}

/** Result of sending a request: a response or a failure. */
export type HttpReply = HttpResponse | HttpFailure;

/** Sends a request once; network errors resolve to an `HttpFailure`. */
export type SendRequest = (request: HttpRequest) => Promise<HttpReply>;

/** Status codes that mean success. */
export enum SuccessStatus {
  OK = 200,
  CREATED = 201,
  ACCEPTED = 202,
  NO_CONTENT = 204,
}

/** A response with a status of success. */
export interface HttpSuccess extends HttpResponse {
  readonly status: SuccessStatus;
}

/** Tells whether a reply is a response with a status of success. */
export function isSuccess(reply: HttpReply): reply is HttpSuccess {
  return reply.kind === ReplyKind.ANSWERED && reply.status in SuccessStatus;
}

/** Appends path segments to a base URL and percent-encodes them. */
export function composeUrl(base: string, ...parts: readonly string[]): string {
  const path = parts.map(encodeURIComponent).join('/');
  return `${base.replace(/\/+$/, '')}/${path}`;
}
