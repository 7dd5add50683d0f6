/**
 * Store stand-in: a task that owns the listener, the values and the fault
 * settings.
 */
import type {ServerResponse} from 'node:http';
import type {ChartInstance} from '../src/lib/core/chart_instance.js';
import {startTimer} from '../src/lib/core/clock.js';
import type {ReadMonotonicMs, StopTimer} from '../src/lib/core/clock.js';
import {PostOutcome} from '../src/lib/core/task.js';
import type {Task} from '../src/lib/core/task.js';
import {CallCounter} from './call_counter.js';
import type {CallCounts, RateLimits} from './call_counter.js';
import {HttpListener, cutConnection, sendJson} from './http_listener.js';
import type {HttpExchange} from './http_listener.js';
import {PlatformStoreState} from './platform_store_state.js';
import {StoreAnswerKind, StoreCallKind, isValueWrite} from './store_call.js';
import type {StoreAnswer, StoreCall, WatchCall} from './store_call.js';
import {decodeCall, encodeAnswer} from './store_codec.js';
import {LostReplies, StoreMode, decodeControl} from './store_control.js';
import type {StoreControl} from './store_control.js';
import {WatchList} from './watch_list.js';
import {createStandInTask, createUntimedChart} from './stand_in_task.js';

/** Options of a store server. */
export interface PlatformStoreServerOptions {
  /** Port to listen on; 0 selects a free one. */
  readonly port: number;
  readonly limits: RateLimits;
  readonly historyLimit: number;
  readonly leasesExpireInOutage: boolean;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly createLeaseId: () => string;
}

enum MessageKind {
  CALL,
  SLOW_CALL,
  WATCH_ENDED,
  LEASE_ENDED,
  CONTROL,
}

type Message =
  | {
      readonly kind: MessageKind.CALL | MessageKind.SLOW_CALL;
      readonly call: StoreCall;
      readonly response: ServerResponse;
    }
  | {readonly kind: MessageKind.WATCH_ENDED; readonly watch: number}
  | {readonly kind: MessageKind.LEASE_ENDED}
  | {
      readonly kind: MessageKind.CONTROL;
      readonly control: StoreControl;
      readonly response: ServerResponse;
    };

const CONTROL_PATH = '/control';
const ACTIONS = ['noteOutage', 'endOutage', 'cutConnections'];

/** Serves the platform's key-value protocol on loopback from memory. */
export class PlatformStoreServer {
  private readonly task: Task<Message>;
  private readonly state: PlatformStoreState;
  private readonly counter: CallCounter;
  private readonly watches = WatchList.create();
  private readonly availability: ChartInstance<StoreMode, StoreMode>;
  private listener!: HttpListener;
  private stopLeaseTimer: StopTimer = () => undefined;
  private outageBeganMs = 0;
  private slowMs = 0;
  private loseReplies = LostReplies.NONE;
  private leasesExpireInOutage: boolean;

  private constructor(private readonly options: PlatformStoreServerOptions) {
    this.state = PlatformStoreState.create(options);
    this.counter = CallCounter.create(options.limits);
    this.leasesExpireInOutage = options.leasesExpireInOutage;
    this.task = createStandInTask<Message>('store-stand-in', message =>
      this.handle(message),
    );
    this.availability = createUntimedChart(
      'store_stand_in',
      {
        states: StoreMode,
        events: StoreMode,
        actions: ACTIONS,
      },
      action => this.perform(action),
    );
  }

  /** Opens a store with no values. */
  static async create(
    options: PlatformStoreServerOptions,
  ): Promise<PlatformStoreServer> {
    const server = new PlatformStoreServer(options);
    server.listener = await HttpListener.create(options.port, exchange =>
      server.receive(exchange),
    );
    server.task.store.add(() => server.listener.close());
    server.task.store.add(() => server.stopLeaseTimer());
    server.task.store.add(() => server.watches.clear());
    return server;
  }

  /** Port that the store listens on. */
  get port(): number {
    return this.listener.port;
  }

  /** `http://host:port` of the store. */
  get origin(): string {
    return this.listener.origin;
  }

  /** Returns the number of calls so far, by kind. */
  getCounts(): CallCounts {
    return this.counter.getCounts();
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private receive(exchange: HttpExchange): void {
    const {response, url, method, body} = exchange;
    if (url.pathname === CONTROL_PATH) {
      const control = method === 'GET' ? {} : decodeControl(body);
      if (control === undefined) sendJson(response, 400, {});
      else this.post({kind: MessageKind.CONTROL, control, response});
      return;
    }
    const call = decodeCall(exchange);
    if (call === undefined) sendJson(response, 404, {});
    else this.post({kind: MessageKind.CALL, call, response});
  }

  private post(message: Message & {response: ServerResponse}): void {
    const outcome = this.task.post(message);
    if (outcome !== PostOutcome.QUEUED) cutConnection(message.response);
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.CALL:
        return this.admit(message.call, message.response);
      case MessageKind.SLOW_CALL:
        return this.serve(message.call, message.response);
      case MessageKind.WATCH_ENDED:
        return this.concludeWatch(message.watch);
      case MessageKind.LEASE_ENDED:
        return this.expireLeases();
      case MessageKind.CONTROL:
        return this.control(message.control, message.response);
    }
  }

  private admit(call: StoreCall, response: ServerResponse): void {
    const isAllowed = this.counter.count(
      call.kind,
      this.options.readMonotonicMs(),
    );
    if (this.availability.state !== StoreMode.UP) {
      this.refuse(response);
    } else if (!isAllowed) {
      sendAnswer(response, {kind: StoreAnswerKind.RATE_LIMITED});
    } else if (this.slowMs > 0) {
      startTimer(this.slowMs, () =>
        this.task.post({kind: MessageKind.SLOW_CALL, call, response}),
      );
    } else {
      this.serve(call, response);
    }
  }

  private refuse(response: ServerResponse): void {
    if (this.availability.state === StoreMode.DOWN) cutConnection(response);
  }

  private serve(call: StoreCall, response: ServerResponse): void {
    if (this.availability.state !== StoreMode.UP) return this.refuse(response);
    if (call.kind === StoreCallKind.WATCH) {
      return this.serveWatch(call, response);
    }
    this.expireLeases();
    const answer = this.state.apply(call, this.options.readMonotonicMs());
    if (this.takeLostReply(call.kind, answer)) cutConnection(response);
    else sendAnswer(response, answer);
    this.notifyWatches();
    this.startLeaseTimer();
  }

  private serveWatch(call: WatchCall, response: ServerResponse): void {
    const answer = this.state.collectChanges(call);
    if (answer !== undefined) return sendAnswer(response, answer);
    const watch = this.watches.add({
      call,
      answer: given => sendAnswer(response, given),
      cut: () => cutConnection(response),
      startTimer: fire => startTimer(call.waitMs, fire),
      fire: id => this.task.post({kind: MessageKind.WATCH_ENDED, watch: id}),
    });
    response.once('close', () => this.watches.drop(watch));
  }

  private concludeWatch(watch: number): void {
    if (this.availability.state !== StoreMode.UP) {
      this.watches.drop(watch);
      return;
    }
    this.watches.end(watch, call => this.state.concludeWatch(call));
  }

  private takeLostReply(kind: StoreCallKind, answer: StoreAnswer): boolean {
    const isWritten = answer.kind === StoreAnswerKind.WRITTEN;
    if (!isValueWrite(kind) || !isWritten) return false;
    if (this.loseReplies === LostReplies.NONE) return false;
    if (this.loseReplies === LostReplies.NEXT_WRITE) {
      this.loseReplies = LostReplies.NONE;
    }
    return true;
  }

  private notifyWatches(): void {
    // Waiting clients get no answer while the store hangs or is down.
    if (this.availability.state !== StoreMode.UP) return;
    this.watches.answer(call => this.state.collectChanges(call));
  }

  private expireLeases(): void {
    const isUnavailable = this.availability.state !== StoreMode.UP;
    if (isUnavailable && !this.leasesExpireInOutage) return;
    this.state.expireLeases(this.options.readMonotonicMs());
    this.notifyWatches();
    this.startLeaseTimer();
  }

  private startLeaseTimer(): void {
    this.stopLeaseTimer();
    const next = this.state.findNextExpiryMs();
    if (next === undefined) return;
    const delayMs = Math.max(0, next - this.options.readMonotonicMs()) + 1;
    this.stopLeaseTimer = startTimer(delayMs, () =>
      this.task.post({kind: MessageKind.LEASE_ENDED}),
    );
  }

  private perform(action: string): void {
    const nowMs = this.options.readMonotonicMs();
    if (action === 'noteOutage') this.outageBeganMs = nowMs;
    if (action === 'cutConnections') {
      this.watches.cut();
      this.listener.closeIdleConnections();
    }
    if (action !== 'endOutage') return;
    if (!this.leasesExpireInOutage) {
      this.state.extendLeases(nowMs - this.outageBeganMs);
    }
    // Watches were not notified of keys deleted by leases that expired in the
    // outage.
    queueMicrotask(() => this.task.post({kind: MessageKind.LEASE_ENDED}));
  }

  private control(control: StoreControl, response: ServerResponse): void {
    const {staleRevision} = control;
    const isKnown =
      staleRevision === undefined ||
      this.state.setStaleRevision(staleRevision ?? undefined);
    if (!isKnown) return sendJson(response, 409, {reason: 'compacted'});
    this.slowMs = control.slowMs ?? this.slowMs;
    this.loseReplies = control.loseReplies ?? this.loseReplies;
    this.leasesExpireInOutage =
      control.leasesExpireInOutage ?? this.leasesExpireInOutage;
    if (control.compact) this.state.compact();
    if (control.cutWatches) this.watches.cut();
    if (control.mode !== undefined) this.availability.send(control.mode);
    sendJson(response, 200, this.report());
  }

  private report(): unknown {
    return {
      mode: this.availability.state,
      slowMs: this.slowMs,
      loseReplies: this.loseReplies,
      revision: this.state.revision,
      values: this.state.valueCount,
      leases: this.state.leaseCount,
      watches: this.watches.count,
      counts: this.counter.getCounts(),
    };
  }
}

function sendAnswer(response: ServerResponse, answer: StoreAnswer): void {
  const {status, body} = encodeAnswer(answer);
  sendJson(response, status, body);
}
