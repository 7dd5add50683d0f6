/** Watches that wait for a change at the store stand-in. */
import type {StopTimer} from '../src/lib/core/clock.js';
import type {StoreAnswer, WatchCall} from './store_call.js';

/** What the list needs to know of one waiting watch. */
export interface WaitingWatch {
  readonly call: WatchCall;
  readonly answer: (answer: StoreAnswer) => void;
  /** Cuts the client's connection. */
  readonly cut: () => void;
  /** Starts the timer that ends the wait. */
  readonly startTimer: (fire: () => void) => StopTimer;
  /** Is told that the wait of this watch is over. */
  readonly fire: (watch: number) => void;
}

/** Holds watches until a change, the end of their wait or a cut. */
export class WatchList {
  private readonly watches = new Map<number, WaitingWatch>();
  private readonly timers = new Map<number, StopTimer>();
  private lastId = 0;

  private constructor() {}

  /** Creates an empty list. */
  static create(): WatchList {
    return new WatchList();
  }

  /** Number of watches that wait. */
  get count(): number {
    return this.watches.size;
  }

  /** Adds a watch; returns its id. */
  add(watch: WaitingWatch): number {
    this.lastId += 1;
    const id = this.lastId;
    this.watches.set(id, watch);
    this.timers.set(
      id,
      watch.startTimer(() => watch.fire(id)),
    );
    return id;
  }

  /** Removes a watch without an answer. */
  drop(id: number): void {
    this.timers.get(id)?.();
    this.timers.delete(id);
    this.watches.delete(id);
  }

  /** Answers one watch, if it still waits. */
  end(id: number, conclude: (call: WatchCall) => StoreAnswer): void {
    const watch = this.watches.get(id);
    if (watch === undefined) return;
    this.drop(id);
    watch.answer(conclude(watch.call));
  }

  /** Answers every watch for which `collect` finds something. */
  answer(collect: (call: WatchCall) => StoreAnswer | undefined): void {
    for (const [id, watch] of [...this.watches]) {
      const found = collect(watch.call);
      if (found === undefined) continue;
      this.drop(id);
      watch.answer(found);
    }
  }

  /** Cuts the connection of every watch. */
  cut(): void {
    for (const [id, watch] of [...this.watches]) {
      this.drop(id);
      watch.cut();
    }
  }

  /** Removes all watches without an answer. */
  clear(): void {
    for (const id of [...this.watches.keys()]) this.drop(id);
  }
}
