/** Limits of the streams between entries and agents. */

import {computeDescriptorShares} from '../../decisions/descriptor_shares.js';

/** Why a stream was closed for a limit. */
export enum StreamCut {
  /** No hello in time. */
  NO_HELLO = 'no-hello',
  /** More streams than allowed. */
  TOO_MANY_STREAMS = 'too-many-streams',
  /** A line, or all lines without an end together, exceed their maximum. */
  LONG_LINE = 'long-line',
  /** The peer does not read what is sent to it. */
  NOT_READ = 'not-read',
  /** A line is not a list of frames. */
  MALFORMED = 'malformed',
}

/** Limits of the streams that a process has open at one address. */
export interface StreamLimits {
  /** Maximum length of a line. */
  readonly lineCharacters: number;
  /** Maximum length of all lines without an end. */
  readonly unfinishedCharacters: number;
  /** Maximum number of frames that wait until a peer reads. */
  readonly waitingFrames: number;
  /** The same for all peers. */
  readonly allWaitingFrames: number;
  /** Maximum number of streams. */
  readonly streams: number;
  /** Maximum number of streams that have sent no hello. */
  readonly pendingStreams: number;
}

/** Maximum length of a line; the longest message is a complete configuration. */
const MAX_LINE_CHARACTERS = 8 * 1024 * 1024;

/**
 * Characters of a line for each MB of memory: 1.6 million on the smallest host, of
 * 210 MB. Decoded, a line takes up to 20 times its length.
 */
const LINE_CHARACTERS_PER_MB = 8192;

/** Longest lines that all streams may have begun. */
const UNFINISHED_LINES = 4;

/**
 * Frames that may wait until a peer reads: the orders of a job of 10,000 tasks that
 * start at once, and their stops.
 */
const WAITING_FRAMES = 20_000;

/** Frames for all peers, for each MB of memory; an allowance of 400 bytes each is 8 % of it. */
const WAITING_FRAMES_PER_MB = 200;

/** Memory in MB that is assumed if the settings state none. */
const DEFAULT_MEMORY_MB = 1024;

/** Descriptors that are assumed if the settings state none. */
const DEFAULT_DESCRIPTORS = 16_384;

/** Derives the limits from the memory and the descriptors of a process. */
export function computeStreamLimits(
  memoryMb: number = DEFAULT_MEMORY_MB,
  descriptorsAtMost: number = DEFAULT_DESCRIPTORS,
): StreamLimits {
  const lineCharacters = Math.min(
    MAX_LINE_CHARACTERS,
    Math.floor(memoryMb * LINE_CHARACTERS_PER_MB),
  );
  const {streams, pendingStreams} = computeDescriptorShares(descriptorsAtMost);
  return {
    lineCharacters,
    unfinishedCharacters: lineCharacters * UNFINISHED_LINES,
    waitingFrames: WAITING_FRAMES,
    allWaitingFrames: Math.max(
      WAITING_FRAMES,
      memoryMb * WAITING_FRAMES_PER_MB,
    ),
    streams,
    pendingStreams,
  };
}
