/** Records the orders, answers and refusals on the links of agents. */
import {readMonotonicMs} from '../../src/lib/core/clock.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  RunEnd,
  RunEndCause,
} from '../../src/lib/core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  RunEndReport,
} from '../../src/lib/core/work_frames.js';
import {openLineStream} from '../../src/lib/work/link/line_stream.js';
import type {OpenFrameStream} from '../../src/lib/work/link/frame_stream.js';

/** An order as it arrived on a link. */
export interface RecordedOrder {
  readonly payload: string;
  /** Whether the entry had answered a ping on the link before. */
  readonly isAnswered: boolean;
}

/** What one link of an agent has carried. */
export interface RecordedLink {
  readonly agent: string;
  readonly openedAtMs: number;
  /** Time of the first answer to a ping. */
  answeredAtMs?: number;
  readonly orders: RecordedOrder[];
}

/** The links of the agents of one fleet. */
export class LinkRecorder {
  readonly links: RecordedLink[] = [];

  /** Ends with which agents have returned an order or stopped a run, by run. */
  private readonly unreachable = new Map<string, RunEnd>();

  private constructor() {}

  static create(): LinkRecorder {
    return new LinkRecorder();
  }

  /** Returns a function that opens the links of an agent and records them. */
  createOpen(
    agent: string,
    toAddress: (address: string) => string,
  ): OpenFrameStream<AgentFrame, EntryFrame> {
    return (address, listener) => {
      const link: RecordedLink = {
        agent,
        openedAtMs: readMonotonicMs(),
        orders: [],
      };
      this.links.push(link);
      const stream = openLineStream<AgentFrame, EntryFrame>(
        toAddress(address),
        {
          receive: frames => {
            for (const frame of frames) recordFrame(link, frame);
            listener.receive(frames);
          },
          fail: listener.fail,
        },
      );
      const send = (frames: readonly AgentFrame[]) => {
        for (const frame of frames) this.recordEnds(frame);
        stream.send(frames);
      };
      return {send, close: stream.close};
    };
  }

  /** Counts the runs that agents reported with this end for lack of contact. */
  countUnreachable(end: RunEnd): number {
    return [...this.unreachable.values()].filter(value => value === end).length;
  }

  private recordEnds(frame: AgentFrame): void {
    if (frame.kind === AgentFrameKind.END) this.recordEnd(frame.report);
    if (frame.kind !== AgentFrameKind.HELLO) return;
    for (const report of frame.ends) this.recordEnd(report);
  }

  private recordEnd({task, run, end, cause}: RunEndReport): void {
    if (cause !== RunEndCause.OWNER_UNREACHABLE) return;
    this.unreachable.set(`${task} ${run}`, end);
  }
}

function recordFrame(link: RecordedLink, frame: EntryFrame): void {
  const {kind} = frame;
  if (kind === EntryFrameKind.PONG) link.answeredAtMs ??= readMonotonicMs();
  if (kind !== EntryFrameKind.ORDER) return;
  const isAnswered = link.answeredAtMs !== undefined;
  link.orders.push({payload: frame.order.payload, isAnswered});
}
