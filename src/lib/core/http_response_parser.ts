/** Parses the bytes of an HTTP/1.1 response as they arrive. */
import {RequestError} from './errors.js';

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  /** Headers by lower-case name; repeated ones are joined by commas. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** Whether the connection can carry another request. */
  readonly isReusable: boolean;
}

/** How the end of a body is found. */
enum BodyFraming {
  /** The body has as many bytes as `content-length` says. */
  LENGTH = 'length',
  CHUNKED = 'chunked',
  /** The body ends with the connection. */
  UNTIL_CLOSE = 'until-close',
}

interface ResponseHead {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly framing: BodyFraming;
  /** Number of bytes of a body with a known length. */
  readonly bodyBytes: number;
  readonly isKeptAlive: boolean;
}

interface ParsedBody {
  readonly body: Buffer;
  /** Position behind the last byte of the response. */
  readonly end: number;
}

const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: |$)/;
const DECIMAL = /^\d+$/;
const CHUNK_SIZE = /^([0-9a-f]{1,8})[ \t]*(?:;|$)/i;

/** Maximum length of the status line and the headers in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/** Maximum length of the line before a chunk in bytes. */
const MAX_CHUNK_LINE_BYTES = 1024;

const HEXADECIMAL = 16;
const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

const EMPTY = Buffer.alloc(0);

/**
 * Parses one response to a request other than `HEAD`. Interim responses (1xx)
 * are skipped.
 */
export class HttpResponseParser {
  private bytes: Buffer = EMPTY;
  private parts: Buffer[] = [];
  private partBytes = 0;
  private head: ResponseHead | undefined;

  private constructor() {}

  /** Creates a parser that has received nothing. */
  static create(): HttpResponseParser {
    return new HttpResponseParser();
  }

  /**
   * Adds bytes, which are copied if they are needed later; returns the response
   * once it is complete.
   *
   * @throws RequestError if the bytes are no HTTP/1.1 response.
   */
  add(part: Buffer): HttpResponse | undefined {
    if (!this.isLongEnough(part)) {
      this.append(part);
      return undefined;
    }
    this.bytes = this.join(part);
    const response = this.parse();
    // The caller may overwrite its buffer.
    if (response === undefined) this.bytes = Buffer.from(this.bytes);
    return response;
  }

  /** Returns the response if it ends with the connection. */
  end(): HttpResponse | undefined {
    if (this.head?.framing !== BodyFraming.UNTIL_CLOSE) return undefined;
    const {status, headers} = this.head;
    const body = Buffer.from(this.join(EMPTY));
    return {status, headers, body, isReusable: false};
  }

  /** Tells whether a body of known length may be complete, to join parts once. */
  private isLongEnough(part: Buffer): boolean {
    const {head} = this;
    if (head === undefined || head.framing === BodyFraming.CHUNKED) return true;
    if (head.framing === BodyFraming.UNTIL_CLOSE) return false;
    const {length} = this.bytes;
    return length + this.partBytes + part.length >= head.bodyBytes;
  }

  private append(part: Buffer): void {
    this.parts.push(Buffer.from(part));
    this.partBytes += part.length;
  }

  private join(part: Buffer): Buffer {
    if (this.bytes.length === 0 && this.parts.length === 0) return part;
    const joined = Buffer.concat([this.bytes, ...this.parts, part]);
    this.parts = [];
    this.partBytes = 0;
    return joined;
  }

  private parse(): HttpResponse | undefined {
    while (this.head === undefined) {
      const end = this.bytes.indexOf(HEAD_END);
      if (end > MAX_HEAD_BYTES || (end < 0 && this.isHeadTooLong())) {
        throw new RequestError(
          `The headers of a response exceed ${MAX_HEAD_BYTES} bytes.`,
        );
      }
      if (end < 0) return undefined;
      const head = parseHead(this.bytes.toString('latin1', 0, end));
      this.bytes = this.bytes.subarray(end + HEAD_END.length);
      if (head.status >= STATUS_OK) this.head = head;
    }
    return this.parseBody(this.head);
  }

  private isHeadTooLong(): boolean {
    return this.bytes.length >= MAX_HEAD_BYTES + HEAD_END.length;
  }

  private parseBody(head: ResponseHead): HttpResponse | undefined {
    const parsed = readBody(head, this.bytes);
    if (parsed === undefined) return undefined;
    const {status, headers, isKeptAlive} = head;
    // Bytes behind the response belong to no request.
    const isReusable = isKeptAlive && parsed.end === this.bytes.length;
    return {status, headers, body: parsed.body, isReusable};
  }
}

function readBody(head: ResponseHead, bytes: Buffer): ParsedBody | undefined {
  switch (head.framing) {
    case BodyFraming.LENGTH: {
      const end = head.bodyBytes;
      if (bytes.length < end) return undefined;
      return {body: Buffer.from(bytes.subarray(0, end)), end};
    }
    case BodyFraming.CHUNKED:
      return readChunks(bytes);
    case BodyFraming.UNTIL_CLOSE:
      return undefined;
  }
}

function readChunks(bytes: Buffer): ParsedBody | undefined {
  const chunks: Buffer[] = [];
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    const lineBytes = (lineEnd < 0 ? bytes.length : lineEnd) - at;
    if (lineBytes > MAX_CHUNK_LINE_BYTES) {
      throw new RequestError('A chunk of a response has no size.');
    }
    if (lineEnd < 0) return undefined;
    const line = bytes.toString('latin1', at, lineEnd);
    const digits = CHUNK_SIZE.exec(line)?.[1];
    if (digits === undefined) {
      throw new RequestError(`"${line}" is not the size of a chunk.`);
    }
    const size = parseInt(digits, HEXADECIMAL);
    const start = lineEnd + LINE_END.length;
    if (size === 0) {
      // Trailers, if any, end with an empty line like the headers.
      const end = bytes.indexOf(HEAD_END, lineEnd);
      if (end < 0) return undefined;
      return {body: Buffer.concat(chunks), end: end + HEAD_END.length};
    }
    const end = start + size;
    if (bytes.length < end + LINE_END.length) return undefined;
    if (bytes.indexOf(LINE_END, end) !== end) {
      throw new RequestError('A chunk is longer than its size.');
    }
    chunks.push(bytes.subarray(start, end));
    at = end + LINE_END.length;
  }
}

function parseHead(text: string): ResponseHead {
  const [statusLine, ...lines] = text.split('\r\n');
  const match = STATUS_LINE.exec(statusLine);
  if (match === null) {
    throw new RequestError(`"${statusLine}" is not a status line.`);
  }
  const status = Number(match[2]);
  const headers = parseHeaders(lines);
  const options = (headers.get('connection') ?? '').toLowerCase();
  const isKeptAlive =
    match[1] === '1'
      ? !options.includes('close')
      : options.includes('keep-alive');
  return {status, headers, isKeptAlive, ...findFraming(status, headers)};
}

function parseHeaders(lines: readonly string[]): ReadonlyMap<string, string> {
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(':');
    if (colon <= 0) {
      throw new RequestError(`"${line}" is not a header.`);
    }
    const name = line.slice(0, colon).toLowerCase();
    const value = line.slice(colon + 1).trim();
    const earlier = headers.get(name);
    headers.set(name, earlier === undefined ? value : `${earlier}, ${value}`);
  }
  return headers;
}

function findFraming(
  status: number,
  headers: ReadonlyMap<string, string>,
): Pick<ResponseHead, 'framing' | 'bodyBytes'> {
  if (status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED) {
    return {framing: BodyFraming.LENGTH, bodyBytes: 0};
  }
  const coding = headers.get('transfer-encoding');
  if (coding !== undefined) {
    if (coding.toLowerCase() === 'chunked') {
      return {framing: BodyFraming.CHUNKED, bodyBytes: 0};
    }
    throw new RequestError(`The transfer coding "${coding}" is not supported.`);
  }
  const length = headers.get('content-length');
  if (length === undefined) {
    return {framing: BodyFraming.UNTIL_CLOSE, bodyBytes: 0};
  }
  if (!DECIMAL.test(length)) {
    throw new RequestError(`"${length}" is not a content length.`);
  }
  return {framing: BodyFraming.LENGTH, bodyBytes: Number(length)};
}
