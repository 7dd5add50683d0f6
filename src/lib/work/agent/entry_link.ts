/** The link of an agent to one entry. */
import type {AgentFrame} from '../../core/work_frames.js';
import {computeConnectTimeout} from '../../decisions/reconnect_pause.js';
import type {FrameStream} from '../link/frame_stream.js';

/** A link to the entry at one address. Changed by the link manager only. */
export interface EntryLink {
  readonly address: string;
  isSeed: boolean;
  linkId: number;
  stream: FrameStream<AgentFrame> | undefined;
  /** The entry's incarnation; empty until its hello has arrived. */
  incarnation: string;
  openedAtMs: number;
  lastReceivedAtMs: number;
  retryAtMs: number;
  /** Time of the disconnect, or of the discovery before the first link. */
  disconnectedSinceMs: number;
  /** Time of the last frame from the address, or when it was last listed. */
  lastSeenMs: number;
  outbox: AgentFrame[];
}

/** Returns when the current connection attempt counts as failed. */
export function computeConnectDeadline({
  openedAtMs,
  disconnectedSinceMs,
}: EntryLink): number {
  return openedAtMs + computeConnectTimeout(openedAtMs - disconnectedSinceMs);
}
