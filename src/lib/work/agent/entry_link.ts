/** An entry that an agent keeps a link to. */
import type {AgentFrame} from '../../core/work_frames.js';
import {computeConnectTimeout} from '../../decisions/reconnect_pause.js';
import type {FrameStream} from '../link/frame_stream.js';

/** An entry by its address. Owned and changed by the links alone. */
export interface EntryLink {
  readonly address: string;
  isSeed: boolean;
  link: number;
  stream: FrameStream<AgentFrame> | undefined;
  /** The entry's life; empty until it has greeted. */
  incarnation: string;
  openedAtMs: number;
  lastReceivedAtMs: number;
  nextAttemptMs: number;
  /** When it fell silent, or became known. */
  disconnectedSinceMs: number;
  lastSeenMs: number;
  outbox: AgentFrame[];
}

/** Returns when an attempt to connect counts as failed. */
export function computeConnectDeadline({
  openedAtMs,
  disconnectedSinceMs: silentSinceMs,
}: EntryLink): number {
  return openedAtMs + computeConnectTimeout(openedAtMs - silentSinceMs);
}
