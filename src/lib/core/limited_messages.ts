/** Requests and responses of Node.js that are counted as soon as they are parsed. */
import {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionLimiter} from './connection_limiter.js';

/** Classes for the options of `createServer`. */
export interface MessageClasses {
  readonly IncomingMessage: typeof IncomingMessage;
  readonly ServerResponse: typeof ServerResponse;
}

/**
 * A request after whose header lines parsing ends if its connection is destroyed.
 *
 * Node.js parses all requests of a read at once, also after the socket has been
 * destroyed: one read holds over 3,000 requests without header lines. Only a
 * request that asks for an upgrade stops its parser. Abstract, since only Node.js
 * creates it.
 */
abstract class StoppingRequest extends IncomingMessage {
  private isUpgrade = false;

  protected constructor(socket: Socket) {
    super(socket);
  }

  /** Whether the parser stops after the header lines; set by Node.js. */
  get upgrade(): boolean {
    return this.isUpgrade || this.socket.destroyed;
  }

  set upgrade(isUpgrade: boolean) {
    this.isUpgrade = isUpgrade;
  }
}

/**
 * Creates the classes. The response is counted, since Node.js creates it for
 * each request, also for those that it answers without a call of the handler:
 * without `host`, or with an unknown `expect`.
 */
export function createMessageClasses(
  limiter: ConnectionLimiter,
): MessageClasses {
  abstract class CountedResponse extends ServerResponse {
    protected constructor(request: IncomingMessage, options: object) {
      // The declarations of Node.js leave the options out.
      super(...([request, options] as unknown as [IncomingMessage]));
      limiter.addRequest(request, this);
    }
  }
  return {
    IncomingMessage: StoppingRequest as unknown as typeof IncomingMessage,
    ServerResponse: CountedResponse as unknown as typeof ServerResponse,
  };
}
