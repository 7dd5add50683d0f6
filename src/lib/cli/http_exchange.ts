/** Requests and replies as the commands see them, free of any HTTP library. */

/** Methods that the commands use. */
export enum Method {
  GET = 'GET',
  PUT = 'PUT',
  POST = 'POST',
  DELETE = 'DELETE',
}

/** One request. It is sent at most once. */
export interface HttpRequest {
  readonly method: Method;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Longest time until the whole reply is there. */
  readonly timeoutMs: number;
}

/** What became of a request. */
export enum ReplyKind {
  ANSWERED = 'answered',
  /** No connection: no byte of the request has left. */
  NOT_SENT = 'not-sent',
  /** The request may have arrived; its reply did not, or not whole. */
  LOST = 'lost',
}

/** A whole reply. */
export interface HttpResponse {
  readonly kind: ReplyKind.ANSWERED;
  readonly status: number;
  /** By names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** The parsed body, or its text if it is no JSON. */
  readonly document: unknown;
}

/** A request without a reply. */
export interface HttpFailure {
  readonly kind: ReplyKind.NOT_SENT | ReplyKind.LOST;
  readonly url: string;
  readonly reason: string;
}

/** What a request led to. */
export type HttpReply = HttpResponse | HttpFailure;

/** Sends one request once; never rejects for what the network does. */
export type SendRequest = (request: HttpRequest) => Promise<HttpReply>;

/** Statuses by which a request is told to have succeeded. */
export enum SuccessStatus {
  OK = 200,
  CREATED = 201,
  ACCEPTED = 202,
  NO_CONTENT = 204,
}

/** A whole reply that tells of success. */
export interface HttpSuccess extends HttpResponse {
  readonly status: SuccessStatus;
}

/** Tells whether a reply is an answer with a status of success. */
export function isSuccess(reply: HttpReply): reply is HttpSuccess {
  return reply.kind === ReplyKind.ANSWERED && reply.status in SuccessStatus;
}

/** Joins a base URL and a path whose parts are encoded. */
export function composeUrl(base: string, ...parts: readonly string[]): string {
  const path = parts.map(encodeURIComponent).join('/');
  return `${base.replace(/\/+$/, '')}/${path}`;
}
