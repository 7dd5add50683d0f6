/** Small helpers of the stand-ins for HTTP with JSON bodies. */
import {Agent, request as createRequest} from 'node:http';

/** Reads a JSON body; an empty one counts as an object without fields. */
export async function readJson(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Answers a request with a JSON body. */
export function reply(response, status, fields) {
  if (response.destroyed || response.writableEnded) return;
  const body = JSON.stringify(fields);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Sends a request over a connection of its own. Resolves with the status and the
 * fields of the answer, or with status 0 after no answer or a broken connection.
 *
 * @return the promise of the answer, and the request, which can be aborted.
 */
export function call({address, method, path, headers, fields, timeoutMs}) {
  const [host, port] = address.split(':');
  const body = fields === undefined ? '' : JSON.stringify(fields);
  let request;
  const answer = new Promise(resolve => {
    request = createRequest(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: new Agent({keepAlive: false}),
        headers: {
          ...headers,
          ...(body !== '' && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          }),
        },
      },
      response => {
        readJson(response).then(
          read => {
            const retryAfter = response.headers['retry-after'];
            resolve({status: response.statusCode, fields: read, retryAfter});
          },
          () => resolve({status: 0, fields: {}, detail: 'broken answer'}),
        );
      },
    );
    request.on('error', failure =>
      resolve({status: 0, fields: {}, detail: failure.message}),
    );
    if (timeoutMs !== undefined) {
      const timer = setTimeout(
        () => request.destroy(new Error(`no answer in ${timeoutMs} ms`)),
        timeoutMs,
      );
      request.on('close', () => clearTimeout(timer));
    }
    request.end(body);
  });
  return {answer, request};
}
