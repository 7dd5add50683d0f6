import {expect} from 'chai';
import fc from 'fast-check';
import {RequestError} from '../../src/lib/core/errors.js';
import {HttpResponseParser} from '../../src/lib/core/http_response_parser.js';
import type {HttpResponse} from '../../src/lib/core/http_response_parser.js';

/** Adds parts from one buffer that is overwritten, as a connection does. */
function parse(parts: readonly Buffer[]): HttpResponse | undefined {
  const parser = HttpResponseParser.create();
  for (const part of parts) {
    const shared = Buffer.from(part);
    const response = parser.add(shared);
    shared.fill('?');
    if (response !== undefined) return response;
  }
  return parser.end();
}

function split(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const places = cuts.map(cut => cut % (bytes.length + 1));
  const ends = [...places, bytes.length].sort((a, b) => a - b);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

function formatChunks(chunks: readonly string[]): string {
  const rows = chunks.map(
    chunk => `${Buffer.byteLength(chunk).toString(16)}\r\n${chunk}\r\n`,
  );
  return `${rows.join('')}0\r\n\r\n`;
}

// Guards against responses that are cut at other places than expected: a network
// may deliver a response in any parts, and an agent that misreads the list of
// ended runs waits for work that is done.
describe('HttpResponseParser', () => {
  const bodies = fc.string({unit: 'binary'}).filter(text => text.length < 400);
  const cuts = fc.array(fc.nat(2000), {maxLength: 6});

  it('finds the body by its length, however the bytes are split', () => {
    fc.assert(
      fc.property(bodies, cuts, (body, places) => {
        const length = Buffer.byteLength(body);
        const bytes = Buffer.from(
          `HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: ${length}\r\n\r\n${body}`,
        );
        const response = parse(split(bytes, places));
        expect(response?.body.toString()).to.equal(body);
        expect(response?.headers.get('x-a')).to.equal('1');
        expect(response?.isReusable).to.equal(true);
      }),
    );
  });

  it('joins chunks, however the bytes are split', () => {
    const chunks = fc.array(bodies.filter(text => text !== ''));
    fc.assert(
      fc.property(chunks, cuts, (texts, places) => {
        const bytes = Buffer.from(
          `HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n${formatChunks(texts)}`,
        );
        const response = parse(split(bytes, places));
        expect(response?.status).to.equal(409);
        expect(response?.body.toString()).to.equal(texts.join(''));
        expect(response?.isReusable).to.equal(true);
      }),
    );
  });

  it('reads a body that ends with the connection, which carries no more', () => {
    const response = parse([
      Buffer.from('HTTP/1.0 200 OK\r\n\r\nfirst '),
      Buffer.from('second'),
    ]);
    expect(response?.body.toString()).to.equal('first second');
    expect(response?.isReusable).to.equal(false);
  });

  it('returns nothing for a response that is cut off', () => {
    const text = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc';
    for (let end = 0; end <= text.length; end += 1) {
      expect(parse([Buffer.from(text.slice(0, end))])).to.equal(undefined);
    }
  });

  it('skips interim responses, and knows those without a body', () => {
    const early = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
    const response = parse([
      Buffer.from(`${early}HTTP/1.1 204 No Content\r\n\r\n`),
    ]);
    expect(response?.status).to.equal(204);
    expect(response?.body.length).to.equal(0);
  });

  it('does not reuse a connection that is to be closed or sends more', () => {
    const head = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n';
    const closing = parse([Buffer.from(`${head}connection: close\r\n\r\nok`)]);
    expect(closing?.isReusable).to.equal(false);
    const surplus = parse([Buffer.from(`${head}\r\nokHTTP/1.1 200 OK\r\n`)]);
    expect(surplus?.body.toString()).to.equal('ok');
    expect(surplus?.isReusable).to.equal(false);
  });

  it('rejects what is no HTTP/1.1 response', () => {
    const wrong = [
      'HTTP/2 200\r\n\r\n',
      'SSH-2.0-x\r\n\r\n',
      'HTTP/1.1 200 OK\r\nno colon\r\n\r\n',
      'HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n',
      'HTTP/1.1 200 OK\r\ncontent-length: 1, 1\r\n\r\n',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabc\r\n',
      `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(20_000)}`,
    ];
    for (const text of wrong) {
      expect(() => parse([Buffer.from(text)]), text).to.throw(RequestError);
    }
  });
});
