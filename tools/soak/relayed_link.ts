/** A relayed connection: a task that owns the agent's and the entry's socket. */
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {readMonotonicMs, startTimer} from '../../src/lib/core/clock.js';
import type {Task} from '../../src/lib/core/task.js';
import {DelayLine, StreamEnd} from '../../stand_ins/delay_line.js';
import type {StreamItem} from '../../stand_ins/delay_line.js';
import {createStandInTask} from '../../stand_ins/stand_in_task.js';
import type {FlowRule, LinkRule} from './link_rule.js';

/** A loopback address. */
export interface LoopbackAddress {
  readonly host: string;
  readonly port: number;
}

/** Changes a line that an entry sends. */
export type TranslateLine = (line: string) => string;

enum Flow {
  FROM_AGENT = 'fromAgent',
  FROM_ENTRY = 'fromEntry',
}

enum MessageKind {
  ITEM,
  RULE,
  RESET,
  CLOSED,
}

type Message =
  | {
      readonly kind: MessageKind.ITEM;
      readonly flow: Flow;
      readonly item: StreamItem;
    }
  | {readonly kind: MessageKind.RULE; readonly rule: LinkRule}
  | {readonly kind: MessageKind.RESET | MessageKind.CLOSED};

/** Forwards the bytes of one connection of an agent to an entry. */
export class RelayedLink {
  private readonly task: Task<Message>;
  private readonly entry: Socket;
  private readonly lines: Readonly<Record<Flow, DelayLine>>;
  private remainder = '';
  /** Whether bytes have been lost, so that the connection cannot go on. */
  private hasGap = false;

  private constructor(
    private readonly agent: Socket,
    address: LoopbackAddress,
    private rule: LinkRule,
    private readonly translate: TranslateLine,
    private readonly notifyEnd: (link: RelayedLink) => void,
  ) {
    this.task = createStandInTask<Message>('relayed-link', message =>
      this.handle(message),
    );
    this.entry = createConnection({...address, allowHalfOpen: true});
    this.lines = {
      fromAgent: this.createLine(this.entry, rule.fromAgent),
      fromEntry: this.createLine(agent, rule.fromEntry),
    };
    this.task.store.add(() => this.release());
    this.entry.setEncoding('utf8');
    this.listen(agent, Flow.FROM_AGENT);
    this.listen(this.entry, Flow.FROM_ENTRY);
  }

  /** Connects an accepted agent; `notifyEnd` is called when the connection ends. */
  static create(
    agent: Socket,
    address: LoopbackAddress,
    rule: LinkRule,
    translate: TranslateLine,
    notifyEnd: (link: RelayedLink) => void,
  ): RelayedLink {
    return new RelayedLink(agent, address, rule, translate, notifyEnd);
  }

  /** Changes the rule; a connection with a gap is reset once nothing is lost. */
  setRule(rule: LinkRule): void {
    this.task.post({kind: MessageKind.RULE, rule});
  }

  /** Resets both sockets. */
  reset(): void {
    this.task.post({kind: MessageKind.RESET});
  }

  /** Closes both sockets and drops the queued bytes. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private createLine(sink: Socket, rule: FlowRule): DelayLine {
    const deliver = (item: StreamItem) => {
      if (item === StreamEnd.FINISHED) sink.end();
      else if (item === StreamEnd.BROKEN) sink.destroy();
      else if (!sink.destroyed) sink.write(item);
    };
    return DelayLine.create({readMonotonicMs, startTimer, deliver}, rule);
  }

  private listen(source: Socket, flow: Flow): void {
    const receive = (item: StreamItem) =>
      void this.task.post({kind: MessageKind.ITEM, flow, item});
    source.setNoDelay(true);
    source.on('data', (data: Buffer | string) => {
      const item = typeof data === 'string' ? this.convertText(data) : data;
      if (item.length > 0) receive(item);
    });
    source.on('end', () => receive(StreamEnd.FINISHED));
    source.on('error', () => undefined);
    source.on('close', isBroken => {
      if (isBroken) receive(StreamEnd.BROKEN);
      this.task.post({kind: MessageKind.CLOSED});
    });
  }

  /** Translates the lines that are complete, and keeps the rest. */
  private convertText(text: string): Buffer {
    const lines = (this.remainder + text).split('\n');
    this.remainder = lines.pop() ?? '';
    const translated = lines.map(line => `${this.translate(line)}\n`);
    return Buffer.from(translated.join(''));
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.ITEM:
        if (this.rule[message.flow].isLost) this.hasGap = true;
        else this.lines[message.flow].push(message.item);
        return;
      case MessageKind.RULE:
        return this.applyRule(message.rule);
      case MessageKind.RESET:
        this.agent.resetAndDestroy();
        if (this.entry.connecting) this.entry.destroy();
        else this.entry.resetAndDestroy();
        return this.end();
      case MessageKind.CLOSED:
        // While bytes are held or lost, the other side does not notice the end.
        if (this.agent.destroyed && this.entry.destroyed) this.end();
        return;
    }
  }

  private applyRule(rule: LinkRule): void {
    this.rule = rule;
    this.lines.fromAgent.setRule(rule.fromAgent);
    this.lines.fromEntry.setRule(rule.fromEntry);
    const isLossy = rule.fromAgent.isLost || rule.fromEntry.isLost;
    if (this.hasGap && !isLossy) this.reset();
  }

  private end(): void {
    void this.task.stop().then(() => this.notifyEnd(this));
  }

  private release(): void {
    this.lines.fromAgent.stop();
    this.lines.fromEntry.stop();
    this.agent.destroy();
    this.entry.destroy();
  }
}
