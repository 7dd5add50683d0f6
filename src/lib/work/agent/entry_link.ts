/** The link of an agent to one entry. */
import type {AgentFrame} from '../../core/work_frames.js';
import {computeConnectTimeout} from '../../decisions/reconnect_pause.js';
import type {LineFields} from '../../observe/request_log.js';
import type {FrameStream} from '../link/frame_stream.js';

/** A link to the entry at one address. Changed by the link manager only. */
export interface EntryLink {
  readonly address: string;
  linkId: number;
  stream: FrameStream<AgentFrame> | undefined;
  /** The entry's incarnation; empty until its hello has arrived. */
  incarnation: string;
  openedAtMs: number;
  lastReceivedAtMs: number;
  /** Time of the entry's latest answer to a ping; undefined before the first. */
  answeredAtMs: number | undefined;
  retryAtMs: number;
  /** Time of the disconnect, or of the discovery before the first link. */
  disconnectedSinceMs: number;
  /** Whether the last connection or attempt failed, and none has succeeded since. */
  hasFailed: boolean;
  /** Whether the agent keeps or opens the link; otherwise it closes once idle. */
  isWanted: boolean;
  outbox: AgentFrame[];
}

/** Creates a link that is to be opened at once. */
export function createLink(address: string, nowMs: number): EntryLink {
  return {
    address,
    linkId: 0,
    stream: undefined,
    incarnation: '',
    openedAtMs: 0,
    lastReceivedAtMs: 0,
    answeredAtMs: undefined,
    retryAtMs: nowMs,
    disconnectedSinceMs: nowMs,
    hasFailed: false,
    isWanted: true,
    outbox: [],
  };
}

/** Returns when the current connection attempt counts as failed. */
export function computeConnectDeadline({
  openedAtMs,
  disconnectedSinceMs,
}: EntryLink): number {
  return openedAtMs + computeConnectTimeout(openedAtMs - disconnectedSinceMs);
}

/** Describes a link for the log. */
export function describeLink(
  {address, linkId, answeredAtMs}: EntryLink,
  nowMs: number,
): LineFields {
  const fields = {entry: address, link: linkId};
  if (answeredAtMs === undefined) return fields;
  return {...fields, answeredAgoMs: Math.round(nowMs - answeredAtMs)};
}
