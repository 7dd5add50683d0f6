/** Knows which faults the paths between agents and entries have. */
import type {VirtualTime} from './virtual_time.js';

/** How a cut shows at the two ends. */
export enum CutKind {
  /** Streams break; the ends notice at different times, and none can be opened. */
  BREAK = 'break',
  /** Frames of both directions are held until the end of the cut. */
  HOLD = 'hold',
  /** Only frames to the entry are held. */
  HOLD_TO_ENTRY = 'hold-to-entry',
  /** Only frames to the agent are held. */
  HOLD_TO_AGENT = 'hold-to-agent',
  /** Streams open and the entry's frames arrive; frames to the entry are held. */
  HOLD_AFTER_OPEN = 'hold-after-open',
  /** As before, but what is held is lost, with all that the same stream sends later. */
  LOSE_TO_ENTRY = 'lose-to-entry',
}

/** Cuts under which a stream opens in both directions or not at all. */
export const CUT_KINDS: readonly CutKind[] = [
  CutKind.BREAK,
  CutKind.HOLD,
  CutKind.HOLD_TO_ENTRY,
  CutKind.HOLD_TO_AGENT,
];

/** Cuts under which streams open but carry frames to the agent only. */
export const ONE_WAY_CUT_KINDS: readonly CutKind[] = [
  CutKind.HOLD_AFTER_OPEN,
  CutKind.LOSE_TO_ENTRY,
];

/** The two ends of a path. */
interface Path {
  readonly agent: string;
  readonly address: string;
}

/** A stream on a path. */
interface PathStream extends Path {
  /** Whether the entry has accepted it. */
  readonly isAccepted: boolean;
}

interface Cut extends Path {
  readonly kind: CutKind;
  readonly durationMs: number;
}

/** A time in which some streams of a path fall behind. */
interface Pause extends Path {
  /** Share of the messages that get stuck, with all later ones of their stream. */
  readonly share: number;
  readonly durationMs: number;
}

type Lasting<Fault> = Fault & {readonly untilMs: number};

/** Longest time for which a stream is stuck, in milliseconds. */
const MAX_STUCK_MS = 3000;

/**
 * Cuts and pauses. A cut is felt by all streams of its path. A pause is felt by each
 * stream for itself: what one has sent arrives after that of a later one, also once
 * it has been closed.
 */
export class LinkFaults {
  private cuts: Array<Lasting<Cut>> = [];
  private pauses: Array<Lasting<Pause>> = [];

  private constructor(
    private readonly time: VirtualTime,
    private readonly drawRandom: () => number,
  ) {}

  /** Creates paths without faults. */
  static create(time: VirtualTime, drawRandom: () => number): LinkFaults {
    return new LinkFaults(time, drawRandom);
  }

  /** Cuts a path for a time. */
  addCut(cut: Cut): void {
    this.cuts.push({...cut, untilMs: this.time.nowMs + cut.durationMs});
  }

  /** Lets streams of a path get stuck for a time. */
  addPause(pause: Pause): void {
    this.pauses.push({...pause, untilMs: this.time.nowMs + pause.durationMs});
  }

  /** Draws until when a message that is sent now is stuck; 0 if it is not. */
  drawStuckUntil(path: Path): number {
    this.pauses = this.removeOver(this.pauses);
    let untilMs = 0;
    for (const pause of this.pauses) {
      if (!isOnPath(pause, path)) continue;
      if (this.drawRandom() >= pause.share) continue;
      const stuckMs = this.drawRandom() * MAX_STUCK_MS;
      untilMs = Math.max(untilMs, this.time.nowMs + stuckMs);
    }
    return untilMs;
  }

  /** Finds the time for which cuts hold what a stream carries in one direction. */
  findHold(stream: PathStream, isToEntry: boolean): number {
    let untilMs = this.time.nowMs;
    for (const cut of this.listCuts(stream)) {
      if (!isHeld(cut.kind, isToEntry, stream.isAccepted)) continue;
      untilMs = Math.max(untilMs, cut.untilMs);
    }
    return untilMs - this.time.nowMs;
  }

  /** Whether a stream loses what it carries in one direction. */
  isLosing(stream: PathStream, isToEntry: boolean): boolean {
    if (!isToEntry || !stream.isAccepted) return false;
    const cuts = this.listCuts(stream);
    return cuts.some(({kind}) => kind === CutKind.LOSE_TO_ENTRY);
  }

  /** Whether no stream can be opened on a path. */
  isBroken(path: Path): boolean {
    return this.listCuts(path).some(({kind}) => kind === CutKind.BREAK);
  }

  private listCuts(path: Path): Array<Lasting<Cut>> {
    this.cuts = this.removeOver(this.cuts);
    return this.cuts.filter(cut => isOnPath(cut, path));
  }

  private removeOver<Fault>(
    faults: ReadonlyArray<Lasting<Fault>>,
  ): Array<Lasting<Fault>> {
    return faults.filter(({untilMs}) => untilMs > this.time.nowMs);
  }
}

function isOnPath(fault: Path, {agent, address}: Path): boolean {
  return fault.agent === agent && fault.address === address;
}

function isHeld(
  kind: CutKind,
  isToEntry: boolean,
  isAccepted: boolean,
): boolean {
  switch (kind) {
    case CutKind.BREAK:
      return false;
    case CutKind.HOLD:
      return true;
    case CutKind.HOLD_TO_ENTRY:
      return isToEntry;
    case CutKind.HOLD_TO_AGENT:
      return !isToEntry;
    case CutKind.HOLD_AFTER_OPEN:
    case CutKind.LOSE_TO_ENTRY:
      return isToEntry && isAccepted;
  }
}
