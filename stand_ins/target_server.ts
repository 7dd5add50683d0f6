/**
 * Target stand-in: a task that owns the listener, the running tasks and the
 * record.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ChartInstance} from '../src/lib/core/chart_instance.js';
import {repeatTimer, startTimer} from '../src/lib/core/clock.js';
import type {ReadMonotonicMs, StopTimer} from '../src/lib/core/clock.js';
import {PostOutcome} from '../src/lib/core/task.js';
import type {Task} from '../src/lib/core/task.js';
import {HttpListener, sendJson} from './http_listener.js';
import type {HttpExchange} from './http_listener.js';
import {MessageKind, decodeTargetMessage} from './target_message.js';
import type {TargetMessage} from './target_message.js';
import {TargetAnnouncer} from './target_announcer.js';
import type {TargetControl} from './target_control.js';
import {
  PRESENCE_EVENT_BY_MODE,
  Presence,
  PresenceEvent,
} from './target_presence.js';
import {RefusalReason, StartOutcome, TargetRecord} from './target_record.js';
import type {RecordReport, TargetLimits} from './target_record.js';
import {findRefusal} from './target_request.js';
import type {TaskRequest} from './target_request.js';
import {TargetMode, planWork} from './target_work.js';
import type {WorkPlan} from './target_work.js';
import {createStandInTask, createUntimedChart} from './stand_in_task.js';

/** Options of a target. */
export interface TargetServerOptions {
  readonly name: string;
  /** Random id, different for each incarnation of the process. */
  readonly instance: string;
  /** `http://host:port` of the local agent. */
  readonly agent: string;
  readonly port: number;
  readonly limits: TargetLimits;
  /** Divides the run time of every task. */
  readonly speed: number;
  readonly renewPeriodMs: number;
  /** Whether a task continues after its client has closed the connection. */
  readonly finishesAbandoned: boolean;
  /** Reads the host's CLOCK_MONOTONIC, which the agent uses too. */
  readonly readHostMs: ReadMonotonicMs;
}

const NOT_STARTED_HEADERS = {'foxtailbay-started': 'no'};
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.LATE]: 409,
  [RefusalReason.OTHER_INSTANCE]: 421,
  [RefusalReason.LEAVING]: 503,
};

/** Announces itself to the agent, runs tasks and records every start. */
export class TargetServer {
  private readonly task: Task<TargetMessage>;
  private readonly record: TargetRecord;
  private readonly announcer: TargetAnnouncer;
  private readonly presence: ChartInstance<Presence, PresenceEvent>;
  private readonly sockets = new Set<Socket>();
  private readonly endTimers = new Map<number, StopTimer>();
  private readonly idle: Promise<void>;
  private resolveIdle: () => void = () => undefined;
  private listener!: HttpListener;
  private mode = TargetMode.NORMAL;
  private factor = 1;
  private isStopping = false;
  /**
   * Settles when the agent has answered the deregistration or the request has
   * timed out.
   */
  private deregistration: Promise<number> | undefined;

  private constructor(private readonly options: TargetServerOptions) {
    const {name, instance, limits, agent} = options;
    this.record = TargetRecord.create(name, instance, limits);
    this.announcer = TargetAnnouncer.create(agent, name);
    this.idle = new Promise(resolve => (this.resolveIdle = resolve));
    this.task = createStandInTask<TargetMessage>(name, message =>
      this.handle(message),
    );
    this.presence = createUntimedChart(
      'target_stand_in',
      {
        states: Presence,
        events: PresenceEvent,
        actions: ['announce', 'sayGoodbye'],
      },
      action => this.perform(action),
    );
  }

  /** Opens a target and announces it. */
  static async create(options: TargetServerOptions): Promise<TargetServer> {
    const server = new TargetServer(options);
    server.listener = await HttpListener.create(options.port, exchange =>
      server.receive(exchange),
    );
    server.task.store.add(() => server.listener.close());
    server.task.store.add(() => server.announcer.close());
    server.task.store.add(() => server.stopTimers());
    server.task.store.add(
      repeatTimer(startTimer, options.renewPeriodMs, () =>
        server.task.post({kind: MessageKind.RENEW}),
      ),
    );
    server.task.post({kind: MessageKind.RENEW});
    return server;
  }

  /** Port that the target listens on. */
  get port(): number {
    return this.listener.port;
  }

  /** `http://host:port` of the target. */
  get origin(): string {
    return this.listener.origin;
  }

  /** Returns the record, with the starts after a sequence number. */
  report(after = 0): RecordReport {
    return this.record.report(after);
  }

  /** Deregisters, waits until all tasks have ended and stops. */
  async stop(): Promise<void> {
    this.task.post({kind: MessageKind.STOP});
    await this.idle;
    await this.deregistration;
    await this.task.stop();
  }

  /** Stops at once without deregistration, as a killed process does. */
  kill(): Promise<void> {
    return this.task.stop();
  }

  private receive(exchange: HttpExchange): void {
    const message = decodeTargetMessage(exchange);
    const {response} = exchange;
    if (message === undefined) return sendJson(response, 404, {});
    if (this.task.post(message) !== PostOutcome.QUEUED) {
      sendJson(response, 503, {}, NOT_STARTED_HEADERS);
    }
  }

  private handle(message: TargetMessage): void {
    switch (message.kind) {
      case MessageKind.RUN:
        return this.admit(message.request, message.response);
      case MessageKind.RUN_ENDED:
        return this.answer(message.sequence, message.plan, message.response);
      case MessageKind.ABANDONED:
        return this.abandon(message.sequence);
      case MessageKind.RENEW:
        return void this.presence.send(PresenceEvent.RENEW);
      case MessageKind.CONTROL:
        return this.control(message.control, message.response);
      case MessageKind.REPORT:
        return sendJson(message.response, 200, this.report(message.after));
      case MessageKind.DISCONNECTED:
        return this.disconnect(message.socket);
      case MessageKind.STOP:
        this.isStopping = true;
        this.presence.send(PresenceEvent.LEAVE);
        return this.checkIdle();
    }
  }

  private admit(request: TaskRequest, response: ServerResponse): void {
    this.addConnection(response.socket);
    const nowMs = this.options.readHostMs();
    const refusal = findRefusal(request, {
      instance: this.options.instance,
      isLeaving:
        this.presence.state === Presence.LEAVING ||
        this.presence.state === Presence.LEFT,
      nowMs,
    });
    if (refusal !== undefined) {
      this.record.recordRefusal(request.name, refusal, nowMs);
      const status = STATUS_BY_REASON[refusal];
      return sendJson(response, status, {refusal}, NOT_STARTED_HEADERS);
    }
    this.start(request, response, nowMs);
  }

  private start(
    request: TaskRequest,
    response: ServerResponse,
    nowMs: number,
  ): void {
    const sequence = this.record.recordStart(request.name, nowMs);
    const {mode, factor} = this;
    const {speed, finishesAbandoned} = this.options;
    const plan = planWork(request.payload, {mode, speed, factor});
    const isEndless = plan.runMs === undefined;
    if (isEndless || !finishesAbandoned) {
      response.once('close', () =>
        this.task.post({kind: MessageKind.ABANDONED, sequence}),
      );
    }
    if (plan.runMs === undefined) return;
    if (plan.runMs === 0) return this.answer(sequence, plan, response);
    const end = () =>
      this.task.post({kind: MessageKind.RUN_ENDED, sequence, plan, response});
    this.endTimers.set(sequence, startTimer(plan.runMs, end));
  }

  private answer(
    sequence: number,
    plan: WorkPlan,
    response: ServerResponse,
  ): void {
    const isSuccess = plan.status < 300;
    const outcome = isSuccess ? StartOutcome.SUCCEEDED : StartOutcome.FAILED;
    if (!this.end(sequence, outcome)) return;
    sendJson(response, plan.status, plan.body);
    this.checkIdle();
  }

  private abandon(sequence: number): void {
    if (this.end(sequence, StartOutcome.ABANDONED)) this.checkIdle();
  }

  private end(sequence: number, outcome: StartOutcome): boolean {
    this.endTimers.get(sequence)?.();
    this.endTimers.delete(sequence);
    return this.record.recordEnd(sequence, outcome, this.options.readHostMs());
  }

  private checkIdle(): void {
    if (this.record.running > 0) return;
    if (this.presence.state === Presence.LEAVING) {
      this.presence.send(PresenceEvent.IDLE);
    }
    if (this.isStopping) this.resolveIdle();
  }

  private perform(action: string): void {
    const {instance, limits} = this.options;
    if (action === 'sayGoodbye') {
      this.deregistration = this.announcer.sendDeregistration(instance);
    }
    if (action === 'announce') {
      const address = this.listener.origin;
      void this.announcer.announce({address, instance, ...limits});
    }
  }

  private control(control: TargetControl, response: ServerResponse): void {
    const {mode, factor} = control;
    this.mode = mode;
    this.factor = factor ?? this.factor;
    this.record.recordMode(mode, this.options.readHostMs());
    this.presence.send(PRESENCE_EVENT_BY_MODE[mode]);
    this.checkIdle();
    sendJson(response, 200, {mode, presence: this.presence.state});
  }

  private addConnection(socket: Socket | null): void {
    if (socket === null || this.sockets.has(socket)) return;
    this.sockets.add(socket);
    this.record.recordConnection();
    socket.once('close', () =>
      this.task.post({kind: MessageKind.DISCONNECTED, socket}),
    );
  }

  private disconnect(socket: Socket): void {
    this.sockets.delete(socket);
    this.record.recordDisconnection();
  }

  private stopTimers(): void {
    for (const stop of this.endTimers.values()) stop();
    this.endTimers.clear();
  }
}
