/** The agent's task that owns the stream to one entry. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {ChartInstance} from '../core/chart_instance.js';
import type {
  DrawRandom,
  ReadMonotonicMs,
  StartTimer,
  StopTimer,
} from '../core/clock.js';
import {repeatTimer} from '../core/clock.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import type {AgentFrame, EntryFrame} from '../core/link_messages.js';
import {LinkMessageKind, RunnerMessageKind} from './runner_messages.js';
import type {LinkMessage, RunnerMessage} from './runner_messages.js';

/** States of `charts/agent_link.yaml`. */
export enum LinkState {
  CONNECTING = 'connecting',
  OPEN = 'open',
  WAITING = 'waiting',
  CLOSED = 'closed',
}

/** Events of `charts/agent_link.yaml`. */
export enum LinkEvent {
  WELCOME = 'welcome',
  FRAME_RECEIVED = 'heard',
  BROKEN = 'broken',
  STOP = 'stop',
  SILENCE_TIMEOUT = 'timer.silence',
  BACKOFF = 'timer.backoff',
}

/** Actions of `charts/agent_link.yaml`. */
export enum LinkAction {
  RESUME_UPDATES = 'resumeUpdates',
  CLOSE_STREAM = 'closeStream',
  OPEN_STREAM = 'openStream',
}

/** An open stream, as provided by the transport. */
export interface LinkStream {
  /** Queues a frame for sending. */
  readonly send: (frame: AgentFrame) => void;
  /** Closes the stream; the listener is not called after this. */
  readonly close: () => void;
}

/** Callbacks for the events of a stream. */
export interface LinkStreamListener {
  readonly receive: (frame: EntryFrame) => void;
  /** Called once when the stream has ended for any reason. */
  readonly fail: (detail: string) => void;
}

/** Opens a stream to an entry at `host:port`. */
export type OpenLinkStream = (
  address: string,
  listener: LinkStreamListener,
) => LinkStream;

/** Options of `EntryLink.create`. */
export interface EntryLinkOptions {
  /** `host:port` of the entry's gRPC listener. */
  readonly address: string;
  readonly pingPeriodMs: number;
  readonly openStream: OpenLinkStream;
  readonly postToRunner: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
  readonly reportState: (address: string, state: LinkState) => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

const MAILBOX_CAPACITY = 100_000;

/** Number of ping periods without any frame after which the stream counts as broken. */
const SILENCE_LIMIT_PINGS = 5;

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

const LINK_CHART = Chart.create(readChart('agent_link'), {
  states: LinkState,
  events: LinkEvent,
  actions: Object.values(LinkAction),
});

/**
 * Keeps a stream to one entry open, sends pings and reports on it, and posts the
 * frames it receives to the runner. Frames of an earlier stream are dropped: the
 * stream number of `Hello` tells the entry which of its frames can no longer arrive.
 */
export class EntryLink {
  private readonly task: Task<LinkMessage>;
  private readonly chart: ChartInstance<LinkState, LinkEvent>;
  private stream: LinkStream | undefined;
  private streamNumber = 0;
  private attempts = 0;
  private restartSilenceTimer: () => void = () => undefined;

  private constructor(private readonly options: EntryLinkOptions) {
    this.task = Task.create<LinkMessage>({
      name: `link ${options.address}`,
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    this.chart = ChartInstance.create(LINK_CHART, {
      startNamedTimer: (name, fire) => this.startNamedTimer(name, fire),
      fire: event => this.post({kind: LinkMessageKind.TIMER, event}),
      perform: action => this.perform(action as LinkAction),
    });
  }

  /** Creates a link and requests the `Hello` of its first stream from the runner. */
  static create(options: EntryLinkOptions): EntryLink {
    const link = new EntryLink(options);
    const stopPings = repeatTimer(
      options.startTimer,
      options.pingPeriodMs,
      () => link.post({kind: LinkMessageKind.PING_DUE}),
    );
    link.task.store.add(() => link.stream?.close());
    link.task.store.add(() => link.chart.stopTimers());
    link.task.store.add(stopPings);
    link.requestHello();
    return link;
  }

  /** Posts a message to the link. */
  get post(): Post<LinkMessage> {
    return this.task.post;
  }

  /** Closes the stream and stops the timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: LinkMessage): void {
    switch (message.kind) {
      case LinkMessageKind.HELLO:
        if (message.hello.streamNumber !== this.streamNumber) return;
        this.openStream();
        this.stream?.send({hello: message.hello, reports: []});
        this.ping();
        break;
      case LinkMessageKind.SEND:
        if (this.chart.state !== LinkState.OPEN) return;
        this.stream?.send({reports: message.reports, load: message.load});
        break;
      case LinkMessageKind.RECEIVED:
        if (message.streamNumber === this.streamNumber) {
          this.receive(message.frame);
        }
        break;
      case LinkMessageKind.BROKEN:
        if (message.streamNumber === this.streamNumber) {
          this.closeStream();
          this.change(LinkEvent.BROKEN);
        }
        break;
      case LinkMessageKind.TIMER:
        this.change(message.event as LinkEvent);
        break;
      case LinkMessageKind.PING_DUE:
        if (this.chart.state === LinkState.OPEN) this.ping();
        break;
      case LinkMessageKind.STOP:
        this.change(LinkEvent.STOP);
        break;
    }
  }

  private receive(frame: EntryFrame): void {
    if (frame.welcome !== undefined) {
      this.attempts = 0;
      this.options.postToRunner({
        kind: RunnerMessageKind.LINK_OPENED,
        link: this.options.address,
        entry: frame.welcome,
      });
      this.change(LinkEvent.WELCOME);
    } else {
      this.change(LinkEvent.FRAME_RECEIVED);
      this.restartSilenceTimer();
    }
    this.options.postToRunner({
      kind: RunnerMessageKind.LINK_FRAME,
      link: this.options.address,
      frame,
    });
  }

  private change(event: LinkEvent): void {
    const before = this.chart.state;
    const {state} = this.chart.send(event);
    if (state === before) return;
    if (before === LinkState.OPEN) {
      this.options.postToRunner({
        kind: RunnerMessageKind.LINK_CLOSED,
        link: this.options.address,
      });
    }
    this.options.reportState(this.options.address, state);
  }

  private perform(action: LinkAction): void {
    switch (action) {
      case LinkAction.OPEN_STREAM:
        this.requestHello();
        break;
      case LinkAction.CLOSE_STREAM:
        this.closeStream();
        break;
      case LinkAction.RESUME_UPDATES:
        // The runner sends unacknowledged reports when it handles LINK_OPENED.
        break;
    }
  }

  // From here on, frames of the previous stream are dropped, so the highest
  // sequence that the runner puts into `Hello` is final for that stream.
  private requestHello(): void {
    this.streamNumber += 1;
    this.options.postToRunner({
      kind: RunnerMessageKind.LINK_OPENING,
      link: this.options.address,
      streamNumber: this.streamNumber,
    });
  }

  private openStream(): void {
    const streamNumber = this.streamNumber;
    this.stream = this.options.openStream(this.options.address, {
      receive: frame =>
        this.post({kind: LinkMessageKind.RECEIVED, streamNumber, frame}),
      fail: detail =>
        this.post({kind: LinkMessageKind.BROKEN, streamNumber, detail}),
    });
  }

  private closeStream(): void {
    this.stream?.close();
    this.stream = undefined;
    this.streamNumber += 1;
  }

  private ping(): void {
    this.stream?.send({
      reports: [],
      pingSentAtMs: this.options.readMonotonicMs(),
    });
  }

  private startNamedTimer(name: string, fire: () => void): StopTimer {
    if (name === 'silence') return this.startSilenceTimer(fire);
    return this.options.startTimer(this.drawBackoffMs(), fire);
  }

  private startSilenceTimer(fire: () => void): StopTimer {
    const limitMs = this.options.pingPeriodMs * SILENCE_LIMIT_PINGS;
    const start = () => this.options.startTimer(limitMs, fire);
    let stop = start();
    this.restartSilenceTimer = () => {
      stop();
      stop = start();
    };
    return () => {
      stop();
      this.restartSilenceTimer = () => undefined;
    };
  }

  private drawBackoffMs(): number {
    const limitMs = Math.min(
      FIRST_BACKOFF_MS * 2 ** this.attempts,
      MAX_BACKOFF_MS,
    );
    this.attempts += 1;
    return limitMs * (0.5 + this.options.drawRandom() / 2);
  }
}
