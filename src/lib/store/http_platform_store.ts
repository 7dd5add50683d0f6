/** Client of the platform's store over HTTP that sends each call at most once. */
import {Pool} from 'undici';
import {startTimer} from '../core/clock.js';
import type {StartTimer} from '../core/clock.js';
import type {ConditionalWrite, PlatformStore} from './platform_store.js';
import {sendOnce} from '../core/send_once.js';
import type {OutgoingRequest} from '../core/send_once.js';
import {
  CallEffect,
  readChanges,
  readLease,
  readNothing,
  readReply,
  readSnapshot,
  readWrittenRevision,
} from './store_reply.js';
import type {DecodeBody} from './store_reply.js';

/** Settings and dependencies of the store client. */
export interface HttpPlatformStoreOptions {
  /** `http://host:port` of the platform's service. */
  readonly address: string;
  /** Time limit of a call in milliseconds, in addition to the wait of a watch. */
  readonly callTimeoutMs: number;
  /** Starts the timers of calls; replaced in tests. */
  readonly startTimer?: StartTimer;
}

/** Bounds the connections that unanswered calls can occupy. */
const MAX_CONNECTIONS = 32;
const MAX_REPLY_BYTES = 268_435_456;
const VALUES_PATH = '/v1/values';
const WATCH_PATH = '/v1/watch';
const LEASES_PATH = '/v1/leases';
const JSON_HEADERS = {'content-type': 'application/json'};
const TEXT_HEADERS = {'content-type': 'text/plain; charset=utf-8'};

type Request = Omit<OutgoingRequest, 'timeoutMs'>;

/** Implements `PlatformStore` over HTTP. */
export class HttpPlatformStore implements PlatformStore {
  private constructor(
    private readonly pool: Pool,
    private readonly callTimeoutMs: number,
    private readonly startTimer: StartTimer,
  ) {}

  /** Creates a client, which opens connections on demand. */
  static create(options: HttpPlatformStoreOptions): HttpPlatformStore {
    const {address, callTimeoutMs} = options;
    const pool = new Pool(address, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connectTimeout: callTimeoutMs,
      maxResponseSize: MAX_REPLY_BYTES,
    });
    const timer = options.startTimer ?? startTimer;
    return new HttpPlatformStore(pool, callTimeoutMs, timer);
  }

  readonly list: PlatformStore['list'] = async prefix => {
    const path = `${VALUES_PATH}?${encodeQuery({prefix})}`;
    return this.read('list', {method: 'GET', path}, readSnapshot);
  };

  readonly write: PlatformStore['write'] = async write => {
    const request: Request = {
      method: 'PUT',
      path: encodeWritePath(write),
      headers: TEXT_HEADERS,
      body: write.value,
    };
    return this.change('write', request, readWrittenRevision);
  };

  readonly remove: PlatformStore['remove'] = async (key, expectedRevision) => {
    const query = encodeQuery({expected: expectedRevision});
    const path = `${VALUES_PATH}/${encodeURIComponent(key)}?${query}`;
    return this.change('remove', {method: 'DELETE', path}, readWrittenRevision);
  };

  readonly watch: PlatformStore['watch'] = async (
    prefix,
    afterRevision,
    waitMs,
  ) => {
    const query = encodeQuery({prefix, after: afterRevision, waitMs});
    const path = `${WATCH_PATH}?${query}`;
    const request: Request = {method: 'GET', path};
    return this.read('watch', request, readChanges, waitMs);
  };

  readonly openLease: PlatformStore['openLease'] = async timeToLiveMs => {
    const request: Request = {
      method: 'POST',
      path: LEASES_PATH,
      headers: JSON_HEADERS,
      body: JSON.stringify({timeToLiveMs}),
    };
    return this.change('openLease', request, readLease);
  };

  readonly renewLease: PlatformStore['renewLease'] = async lease => {
    const path = encodeLeasePath(lease);
    await this.change('renewLease', {method: 'PUT', path}, readNothing);
  };

  readonly closeLease: PlatformStore['closeLease'] = async lease => {
    const path = encodeLeasePath(lease);
    await this.change('closeLease', {method: 'DELETE', path}, readNothing);
  };

  readonly close: PlatformStore['close'] = () => this.pool.destroy();

  private read<T>(
    call: string,
    request: Request,
    decode: DecodeBody<T>,
    waitMs = 0,
  ): Promise<T> {
    return this.send(call, CallEffect.READS, request, decode, waitMs);
  }

  private change<T>(
    call: string,
    request: Request,
    decode: DecodeBody<T>,
  ): Promise<T> {
    return this.send(call, CallEffect.WRITES, request, decode, 0);
  }

  private async send<T>(
    call: string,
    effect: CallEffect,
    request: Request,
    decode: DecodeBody<T>,
    waitMs: number,
  ): Promise<T> {
    const timeoutMs = this.callTimeoutMs + waitMs;
    const result = await sendOnce(
      this.pool,
      {...request, timeoutMs},
      this.startTimer,
    );
    return readReply(call, effect, result, decode);
  }
}

function encodeQuery(
  parameters: Readonly<Record<string, string | number>>,
): string {
  return Object.entries(parameters)
    .map(([name, value]) => `${name}=${encodeURIComponent(value)}`)
    .join('&');
}

function encodeWritePath(write: ConditionalWrite): string {
  const expected = write.expectedRevision;
  const query = encodeQuery(
    write.lease === undefined ? {expected} : {expected, lease: write.lease},
  );
  return `${VALUES_PATH}/${encodeURIComponent(write.key)}?${query}`;
}

function encodeLeasePath(lease: string): string {
  return `${LEASES_PATH}/${encodeURIComponent(lease)}`;
}
