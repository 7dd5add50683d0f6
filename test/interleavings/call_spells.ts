/** Simulates spells in which calls to a target go wrong. */
import type {VirtualTime} from './virtual_time.js';

/** What becomes of the calls of a spell. */
export enum CallFate {
  ANSWERED = 'answered',
  /** No answer; carried out at once, 2 to 12 s later, or never. */
  UNANSWERED = 'unanswered',
  /** Status 503: nothing was done. */
  REFUSED = 'refused',
  /** A cut refuses the connection: nothing was done, and the target goes on. */
  UNREACHABLE = 'unreachable',
}

interface Spell {
  readonly fate: CallFate;
  readonly share: number;
  readonly untilMs: number;
}

/** The spells of one target. */
export class CallSpells {
  private spells: Spell[] = [];

  private constructor(
    private readonly time: VirtualTime,
    private readonly drawRandom: () => number,
  ) {}

  /** Creates a set without spells. */
  static create(time: VirtualTime, drawRandom: () => number): CallSpells {
    return new CallSpells(time, drawRandom);
  }

  /** Begins a spell in which a share of the calls goes wrong. */
  add(fate: CallFate, share: number, durationMs: number): void {
    this.spells.push({fate, share, untilMs: this.time.nowMs + durationMs});
  }

  /** Draws what becomes of a call. */
  drawFate(): CallFate {
    const {nowMs} = this.time;
    this.spells = this.spells.filter(({untilMs}) => untilMs > nowMs);
    for (const {fate, share} of this.spells) {
      if (this.drawRandom() < share) return fate;
    }
    return CallFate.ANSWERED;
  }
}
