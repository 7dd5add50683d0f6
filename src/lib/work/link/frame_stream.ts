/** Streams of frames between entries and agents, independent of the transport. */

/** One end of an open stream. */
export interface FrameStream<Out> {
  /** Queues frames for sending, in order. */
  readonly send: (frames: readonly Out[]) => void;
  /** Closes the stream; its listener is not called afterwards. */
  readonly close: () => void;
}

/** Receives the events of a stream. */
export interface FrameListener<In> {
  readonly receive: (frames: readonly In[]) => void;
  /** Called once when the stream ends for any reason but a call of `close`. */
  readonly fail: (detail: string) => void;
}

/** Opens a stream to `host:port`. */
export type OpenFrameStream<Out, In> = (
  address: string,
  listener: FrameListener<In>,
) => FrameStream<Out>;

/** Called for each stream that a peer opens; returns the listener for it. */
export type AcceptFrameStream<Out, In> = (
  stream: FrameStream<Out>,
) => FrameListener<In>;

/** A server that accepts streams until it is closed. */
export interface FrameServer {
  readonly close: () => void;
}
