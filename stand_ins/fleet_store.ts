/** Stand-in for the key-value store that holds the configuration of fleets. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {openHttpListener} from '../src/lib/core/http_listener.js';
import type {HttpListener} from '../src/lib/core/http_listener.js';
import {readBody} from '../src/lib/core/read_body.js';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Event {
  readonly key: string;
  readonly revision: number;
  readonly item?: Item;
}

interface TransactionBody {
  readonly expect?: ReadonlyArray<{key: string; revision: number}>;
  readonly puts?: ReadonlyArray<{key: string; value: string; lease?: number}>;
  readonly remove?: readonly string[];
}

const MAX_BODY_BYTES = 2 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 40_000;

/** Injected fault of the store. */
export enum StoreFault {
  NONE = 'none',
  /** Refuses every call with 503. */
  BUSY = 'busy',
  /** Accepts calls and never replies. */
  UNRESPONSIVE = 'silent',
  /** Performs writes but does not reply to them. */
  WRITE_REPLIES_LOST = 'lost',
}

/**
 * In-memory store with revisions, leases and watches, as the users' protocol
 * defines them.
 */
export class FleetStore {
  /** Fault that applies to calls from now on. */
  fault = StoreFault.NONE;

  private readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, NodeJS.Timeout>();
  private readonly waitingWatches = new Set<() => void>();
  private events: Event[] = [];
  private revision = 1;
  private compactedRevision = 0;
  private lastLease = 0;
  private listener: HttpListener | undefined;

  private constructor() {}

  /** Opens an empty store on a free loopback port. */
  static async create(): Promise<FleetStore> {
    const store = new FleetStore();
    store.listener = await openHttpListener({
      host: '127.0.0.1',
      port: 0,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      handle: (request, response) => void store.serve(request, response),
    });
    return store;
  }

  /** `host:port` of the store. */
  get address(): string {
    return `127.0.0.1:${this.listener?.port}`;
  }

  /** Writes a key unconditionally, as an operator does. */
  put(key: string, value: string, lease = 0): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const encoded = Buffer.from(value).toString('base64');
    const {revision} = this;
    const item = {key, value: encoded, revision, created, lease};
    this.items.set(key, item);
    this.publish({key, revision, item});
  }

  /** Removes a key, if it exists. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({key, revision: this.revision});
  }

  /** Returns the decoded value of a key. */
  get(key: string): string | undefined {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  /** Lists the keys under a prefix. */
  listKeys(prefix: string): string[] {
    return [...this.items.keys()].filter(key => key.startsWith(prefix));
  }

  /**
   * Discards the history; watches from an older revision are answered with 410.
   */
  compact(): void {
    this.compactedRevision = this.revision;
    this.events = [];
    this.notifyWatches();
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    for (const timer of this.leases.values()) clearTimeout(timer);
    this.listener?.server.closeAllConnections();
    await this.listener?.close();
  }

  private publish(event: Event): void {
    this.events.push(event);
    this.notifyWatches();
  }

  private notifyWatches(): void {
    for (const check of [...this.waitingWatches]) check();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {bytes} = await readBody(request, MAX_BODY_BYTES);
    if (this.fault === StoreFault.UNRESPONSIVE) return;
    if (this.fault === StoreFault.BUSY) return answer(response, 503, {});
    const url = new URL(request.url ?? '/', 'http://store');
    const isWrite = request.method !== 'GET';
    const isLost = isWrite && this.fault === StoreFault.WRITE_REPLIES_LOST;
    const reply = isLost ? () => undefined : answer;
    const body: unknown = bytes.length > 0 ? JSON.parse(bytes.toString()) : {};
    const [, id = ''] = /\/([^/]*)$/.exec(url.pathname) ?? [];
    switch (url.pathname.replace(/\/\d+$/, '')) {
      case '/v1/kv-range':
        return this.list(url, response);
      case '/v1/kv-watch':
        return this.watch(url, response);
      case '/v1/kv-txn':
        return this.execute(body as TransactionBody, reply, response);
      case '/v1/kv-lease': {
        const {ttlMs} = body as {ttlMs: number};
        return reply(response, 200, {lease: this.openLease(ttlMs), ttlMs});
      }
      case '/v1/kv-keep':
        return this.renew(Number(id), reply, response);
      case '/v1/kv-lease-end':
        this.endLease(Number(id));
        return reply(response, 200, {});
      default:
        return answer(response, 404, {});
    }
  }

  private list(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const items = [...this.items.values()].filter(({key}) =>
      key.startsWith(prefix),
    );
    const {revision} = this;
    answer(response, 200, {items, hasMore: false, storeRevision: revision});
  }

  private watch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    const finish = () => {
      clearTimeout(timer);
      this.waitingWatches.delete(check);
      if (after < this.compactedRevision) return answer(response, 410, {});
      const events = this.events
        .filter(event => event.revision > after && event.key.startsWith(prefix))
        .map(({key, revision, item}) => item ?? {key, revision, deleted: true});
      answer(response, 200, {events, storeRevision: this.revision});
    };
    const check = () => {
      const isDue =
        after < this.compactedRevision ||
        this.events.some(
          event => event.revision > after && event.key.startsWith(prefix),
        );
      if (isDue) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.waitingWatches.add(check);
    check();
  }

  private execute(
    body: TransactionBody,
    reply: typeof answer,
    response: ServerResponse,
  ): void {
    const {expect = [], puts = [], remove = []} = body;
    const isExpected = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) return reply(response, 412, {items: []});
    if (puts.some(({lease = 0}) => lease > 0 && !this.leases.has(lease))) {
      return reply(response, 404, {});
    }
    for (const {key, value, lease = 0} of puts) {
      this.put(key, Buffer.from(value, 'base64').toString('utf8'), lease);
    }
    for (const key of remove) this.remove(key);
    reply(response, 200, {revision: this.revision});
  }

  private openLease(ttlMs: number): number {
    this.lastLease += 1;
    const lease = this.lastLease;
    this.leases.set(
      lease,
      setTimeout(() => this.endLease(lease), ttlMs),
    );
    return lease;
  }

  private renew(
    lease: number,
    reply: typeof answer,
    response: ServerResponse,
  ): void {
    const timer = this.leases.get(lease);
    if (timer === undefined) return reply(response, 404, {});
    timer.refresh();
    reply(response, 200, {});
  }

  private endLease(lease: number): void {
    clearTimeout(this.leases.get(lease));
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}

function answer(
  response: ServerResponse,
  status: number,
  fields: Readonly<Record<string, unknown>>,
): void {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(fields));
}
