/** Balancer stand-in: round robin of TCP connections over the ready entries. */
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {ChartInstance} from '../src/lib/core/chart_instance.js';
import {repeatTimer, startTimer} from '../src/lib/core/clock.js';
import {PostOutcome} from '../src/lib/core/task.js';
import type {Task} from '../src/lib/core/task.js';
import {SendOutcome, sendOnce} from '../src/lib/core/send_once.js';
import {TcpListener} from './tcp_listener.js';
import {createStandInTask, createUntimedChart} from './stand_in_task.js';

/** Address of an entry behind the balancer. */
export interface BalancerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of a balancer. */
export interface BalancerServerOptions {
  /** Port for callers; 0 selects a free one. */
  readonly port: number;
  readonly entries: readonly BalancerAddress[];
  readonly checkPeriodMs: number;
}

/** States of `charts/balancer_entry.yaml`. */
enum Health {
  NOT_READY = 'notReady',
  READY = 'ready',
}

/** Events of `charts/balancer_entry.yaml`. */
enum HealthEvent {
  READY = 'ready',
  REFUSED = 'refused',
}

interface BalancedEntry {
  readonly address: BalancerAddress;
  readonly client: Client;
  readonly health: ChartInstance<Health, HealthEvent>;
}

enum MessageKind {
  ACCEPTED,
  CHECK,
  CHECKED,
  UNREACHABLE,
  CLOSED,
}

type Message =
  | {readonly kind: MessageKind.ACCEPTED; readonly caller: Socket}
  | {readonly kind: MessageKind.CHECK}
  | {
      readonly kind: MessageKind.CHECKED;
      readonly entry: BalancedEntry;
      readonly event: HealthEvent;
    }
  | {
      readonly kind: MessageKind.UNREACHABLE;
      readonly entry: BalancedEntry;
      readonly caller: Socket;
    }
  | {readonly kind: MessageKind.CLOSED; readonly socket: Socket};

const CHECK_TIMEOUT_MS = 500;

/**
 * Assigns each new connection to the next ready entry; open connections stay
 * where they are.
 */
export class BalancerServer {
  private readonly task: Task<Message>;
  private readonly entries: readonly BalancedEntry[];
  private readonly sockets = new Set<Socket>();
  private listener!: TcpListener;
  private nextEntry = 0;

  private constructor(options: BalancerServerOptions) {
    this.entries = options.entries.map(createEntry);
    this.task = createStandInTask<Message>('balancer', message =>
      this.handle(message),
    );
  }

  /** Opens a balancer and starts its health checks. */
  static async create(options: BalancerServerOptions): Promise<BalancerServer> {
    const balancer = new BalancerServer(options);
    const {store} = balancer.task;
    balancer.listener = await TcpListener.create(options.port, caller =>
      balancer.accept(caller),
    );
    for (const {client} of balancer.entries) store.add(() => client.destroy());
    store.add(() => balancer.closeSockets());
    store.add(() => balancer.listener.close());
    store.add(
      repeatTimer(startTimer, options.checkPeriodMs, () =>
        balancer.task.post({kind: MessageKind.CHECK}),
      ),
    );
    balancer.task.post({kind: MessageKind.CHECK});
    return balancer;
  }

  /** Port that callers connect to. */
  get port(): number {
    return this.listener.port;
  }

  /** Number of entries that are ready for new connections. */
  get readyCount(): number {
    return this.listReady().length;
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private accept(caller: Socket): void {
    this.addSocket(caller);
    const outcome = this.task.post({kind: MessageKind.ACCEPTED, caller});
    if (outcome !== PostOutcome.QUEUED) caller.destroy();
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.ACCEPTED:
        return this.connect(message.caller);
      case MessageKind.CHECK:
        return this.checkAll();
      case MessageKind.CHECKED:
        return void message.entry.health.send(message.event);
      case MessageKind.UNREACHABLE:
        message.entry.health.send(HealthEvent.REFUSED);
        return this.connect(message.caller);
      case MessageKind.CLOSED:
        return void this.sockets.delete(message.socket);
    }
  }

  private connect(caller: Socket): void {
    const ready = this.listReady();
    if (ready.length === 0) {
      caller.destroy();
      return;
    }
    const entry = ready[this.nextEntry % ready.length];
    this.nextEntry += 1;
    const socket = createConnection({...entry.address, allowHalfOpen: true});
    this.addSocket(socket);
    const retry = () =>
      this.task.post({kind: MessageKind.UNREACHABLE, entry, caller});
    // No byte has been sent before the connection is established, so another
    // entry can be tried.
    socket.once('error', retry);
    socket.once('connect', () => {
      socket.off('error', retry);
      joinSockets(caller, socket);
    });
  }

  private checkAll(): void {
    for (const entry of this.entries) {
      void checkEntry(entry).then(event =>
        this.task.post({kind: MessageKind.CHECKED, entry, event}),
      );
    }
  }

  private listReady(): BalancedEntry[] {
    return this.entries.filter(entry => entry.health.state === Health.READY);
  }

  private addSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () =>
      this.task.post({kind: MessageKind.CLOSED, socket}),
    );
  }

  private closeSockets(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}

function createEntry(address: BalancerAddress): BalancedEntry {
  return {
    address,
    client: new Client(`http://${address.host}:${address.port}`, {
      pipelining: 1,
      connectTimeout: CHECK_TIMEOUT_MS,
    }),
    health: createUntimedChart('balancer_entry', {
      states: Health,
      events: HealthEvent,
    }),
  };
}

async function checkEntry(entry: BalancedEntry): Promise<HealthEvent> {
  const result = await sendOnce(
    entry.client,
    {method: 'GET', path: '/readyz', timeoutMs: CHECK_TIMEOUT_MS},
    startTimer,
  );
  const isReady =
    result.outcome === SendOutcome.REPLIED && result.status === 200;
  return isReady ? HealthEvent.READY : HealthEvent.REFUSED;
}

function joinSockets(caller: Socket, entrySocket: Socket): void {
  caller.pipe(entrySocket);
  entrySocket.pipe(caller);
  caller.once('close', isBroken => isBroken && entrySocket.destroy());
  entrySocket.once('close', isBroken => isBroken && caller.destroy());
  if (caller.destroyed) entrySocket.destroy();
}
