/** The streams that a server of lines has accepted, with their limits. */
import {startDeferredTimer} from '../../core/clock.js';
import type {StopTimer} from '../../core/clock.js';
import {StreamCut} from './stream_limits.js';
import type {StreamLimits} from './stream_limits.js';

/** What a server knows of a stream. */
export interface HeldStream {
  /** Length of the line that has no end yet. */
  readonly unfinished: number;
  /** Number of frames that wait until the peer reads. */
  readonly backlog: number;
  /** Closes the stream. */
  readonly cut: (reason: StreamCut, detail: string) => void;
}

/**
 * Time in milliseconds in which a peer sends its hello: an agent does so in the turn in
 * which it has the hello of the entry, and a request's headers have as long.
 */
const HELLO_TIMEOUT_MS = 3000;

/** Counts the streams of one server and cuts those that exceed its limits. */
export class LineServerStreams {
  private readonly streams = new Set<HeldStream>();
  /** Streams without a hello, the oldest first, with their timers. */
  private readonly pending = new Map<HeldStream, StopTimer>();

  private constructor(private readonly limits: StreamLimits) {}

  /** Creates a collection without streams. */
  static create(limits: StreamLimits): LineServerStreams {
    return new LineServerStreams(limits);
  }

  /** Adds a stream that has just been accepted; it has to send a hello. */
  add(stream: HeldStream): void {
    const {streams, pendingStreams} = this.limits;
    this.streams.add(stream);
    const cutLate = () =>
      stream.cut(
        StreamCut.NO_HELLO,
        `The peer sent no hello within ${HELLO_TIMEOUT_MS} ms.`,
      );
    this.pending.set(stream, startDeferredTimer(HELLO_TIMEOUT_MS, cutLate));
    const isOver =
      this.streams.size > streams || this.pending.size > pendingStreams;
    if (!isOver) return;
    // Agents send their hello within milliseconds, so the oldest is least likely one.
    const [oldest] = this.pending.keys();
    oldest.cut(StreamCut.TOO_MANY_STREAMS, 'Too many streams are open.');
  }

  /** Records that a stream has sent a hello. */
  markGreeted(stream: HeldStream): void {
    this.pending.get(stream)?.();
    this.pending.delete(stream);
  }

  /** Removes a stream that has ended. */
  remove(stream: HeldStream): void {
    this.markGreeted(stream);
    this.streams.delete(stream);
  }

  /** Cuts the stream with the longest unfinished line while all exceed their limit. */
  checkUnfinished(): void {
    this.checkSum(
      this.limits.unfinishedCharacters,
      stream => stream.unfinished,
      StreamCut.LONG_LINE,
      'The lines without an end of all streams are too long.',
    );
  }

  /** Cuts the stream that reads least while all wait for too many frames. */
  checkBacklog(): void {
    this.checkSum(
      this.limits.allWaitingFrames,
      stream => stream.backlog,
      StreamCut.NOT_READ,
      'Too many frames wait until the peers read.',
    );
  }

  private checkSum(
    atMost: number,
    measure: (stream: HeldStream) => number,
    reason: StreamCut,
    detail: string,
  ): void {
    let sum = 0;
    for (const stream of this.streams) sum += measure(stream);
    if (sum <= atMost) return;
    const [largest] = [...this.streams].sort((a, b) => measure(b) - measure(a));
    largest.cut(reason, detail);
  }
}
