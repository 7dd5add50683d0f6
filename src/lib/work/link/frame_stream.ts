/** Streams of frames between our processes, whatever carries them. */

/** One end of an open stream. */
export interface FrameStream<Out> {
  /** Queues frames for sending, in order. */
  readonly send: (frames: readonly Out[]) => void;
  /** Closes the stream; nothing is reported after it. */
  readonly close: () => void;
}

/** Is told what happens on a stream. */
export interface FrameListener<In> {
  readonly receive: (frames: readonly In[]) => void;
  /** Is called once when the stream has ended for whatever reason. */
  readonly fail: (detail: string) => void;
}

/** Opens a stream to `host:port`. */
export type OpenFrameStream<Out, In> = (
  address: string,
  listener: FrameListener<In>,
) => FrameStream<Out>;

/** Is called for each stream that a peer opens; returns its listener. */
export type AcceptFrameStream<Out, In> = (
  stream: FrameStream<Out>,
) => FrameListener<In>;

/** An open listener. */
export interface FrameServer {
  readonly close: () => void;
}
