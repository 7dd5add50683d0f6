/** Looks the entries up in the store while an agent has no link. */
import type {DrawRandom} from '../../core/clock.js';

/** Dependencies of a look-up. */
export interface EntryLookUpOptions {
  /** Looks up the entries' addresses in the store. */
  readonly findEntries: () => Promise<readonly string[]>;
  readonly drawRandom: DrawRandom;
  readonly publish: (addresses: readonly string[]) => void;
  readonly reportFailure: (failure: unknown) => void;
}

/**
 * Time in milliseconds without a link before the entries are looked up, and the
 * range of the random part of it: hundreds of agents start at once.
 */
const DELAY_MS = 300;
const SPREAD_MS = 500;

/** Period in milliseconds of further look-ups while no link is open. */
const PERIOD_MS = 2000;

/** Calls the store only for an agent that no entry or seed answers. */
export class EntryLookUp {
  private dueMs: number;

  private constructor(
    private readonly options: EntryLookUpOptions,
    nowMs: number,
  ) {
    this.dueMs = this.drawDueMs(nowMs);
  }

  /** Creates a look-up that calls the store after a delay. */
  static create(options: EntryLookUpOptions, nowMs: number): EntryLookUp {
    return new EntryLookUp(options, nowMs);
  }

  /** Calls the store if the agent has been without a link for long enough. */
  advance(isLinked: boolean, nowMs: number): void {
    if (isLinked) this.dueMs = this.drawDueMs(nowMs);
    if (nowMs < this.dueMs) return;
    this.dueMs = nowMs + PERIOD_MS;
    const {findEntries, publish, reportFailure} = this.options;
    void findEntries().then(publish, reportFailure);
  }

  private drawDueMs(nowMs: number): number {
    return nowMs + DELAY_MS + SPREAD_MS * this.options.drawRandom();
  }
}
