import {expect} from 'chai';
import {EntryFrameKind} from '../../src/lib/core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import {EntryLinkManager} from '../../src/lib/work/agent/entry_link_manager.js';
import {RunnerMessageKind} from '../../src/lib/work/agent/runner_messages.js';
import type {RunnerMessage} from '../../src/lib/work/agent/runner_messages.js';
import type {FrameListener} from '../../src/lib/work/link/frame_stream.js';

const STEP_MS = 10;
const OBSERVED_MS = 3000;

interface OpenStream {
  readonly address: string;
  readonly listener: FrameListener<EntryFrame>;
  isOpen: boolean;
}

/** A link manager with a clock and entries that the test controls. */
class LinkFixture {
  readonly messages: RunnerMessage[] = [];
  readonly streams: OpenStream[] = [];
  nowMs = 1000;
  private readonly timers = new Map<() => void, number>();
  private readonly manager: EntryLinkManager;

  private constructor(lives: ReadonlyMap<string, string>) {
    this.manager = EntryLinkManager.create({
      agent: 'agent-1',
      seeds: [...lives.keys()],
      open: (address, listener) => {
        const stream: OpenStream = {address, listener, isOpen: true};
        this.streams.push(stream);
        const hello: EntryFrame = {
          kind: EntryFrameKind.HELLO,
          life: lives.get(address) ?? '',
          address,
          dataCentre: 'zone-a',
        };
        setImmediate(() => listener.receive([hello]));
        return {
          send: frames => this.answer(stream, frames),
          close: () => void (stream.isOpen = false),
        };
      },
      findEntries: () => Promise.resolve([]),
      createPing: (_entry, sentAtMs) =>
        ({kind: 'ping', sentAtMs}) as unknown as AgentFrame,
      reportLoad: () => undefined,
      post: message => {
        this.messages.push(message);
        return undefined as never;
      },
      readMonotonicMs: () => this.nowMs,
      readSystemMs: () => this.nowMs,
      startTimer: (delayMs, fire) => {
        this.timers.set(fire, this.nowMs + delayMs);
        return () => void this.timers.delete(fire);
      },
      drawRandom: () => 0.5,
      reportLink: () => undefined,
      reportFailure: failure => {
        throw failure;
      },
    });
  }

  static create(lives: ReadonlyMap<string, string>): LinkFixture {
    return new LinkFixture(lives);
  }

  /** Ends the links. */
  stop(): Promise<void> {
    return this.manager.stop();
  }

  async wait(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      for (const [fire, dueMs] of [...this.timers]) {
        if (dueMs > this.nowMs) continue;
        this.timers.delete(fire);
        fire();
      }
      for (let turn = 0; turn < 4; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
      }
    }
  }

  /** Counts the links that the runner was told of, by the life of their entry. */
  countOpened(life: string): number {
    return this.messages.filter(
      message =>
        message.kind === RunnerMessageKind.LINK_OPENED &&
        message.entry === life,
    ).length;
  }

  listOpen(): string[] {
    return this.streams
      .filter(({isOpen}) => isOpen)
      .map(({address}) => address);
  }

  private answer(stream: OpenStream, frames: readonly AgentFrame[]): void {
    if (frames.length === 0) return;
    const {listener} = stream;
    const pong: EntryFrame = {
      kind: EntryFrameKind.PONG,
      sentAtMs: this.nowMs,
      backlog: 0,
      revision: 0,
    };
    setImmediate(() => {
      if (stream.isOpen) listener.receive([pong]);
    });
  }
}

// Guards against links to one entry that replace each other without end: each new one
// ends the orders that are on their way by the other.
describe('The links of an agent that knows an entry under two addresses', () => {
  let fixture: LinkFixture;

  afterEach(() => fixture.stop());

  it('are opened once', async () => {
    fixture = LinkFixture.create(
      new Map([
        ['10.0.0.1:7720', 'life-1'],
        ['entry-1:7720', 'life-1'],
        ['10.0.0.2:7720', 'life-2'],
      ]),
    );
    await fixture.wait(OBSERVED_MS);
    expect(fixture.countOpened('life-1')).to.equal(1);
    expect(fixture.countOpened('life-2')).to.equal(1);
    expect(fixture.listOpen()).to.include('10.0.0.2:7720');
    expect(fixture.listOpen()).to.have.length(2);
  });
});
