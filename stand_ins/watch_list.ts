/** Watches that are waiting for a change at the store stand-in. */
import type {StopTimer} from '../src/lib/core/clock.js';
import type {StoreAnswer, WatchCall} from './store_call.js';

/** A waiting watch, with the functions that end it. */
export interface WaitingWatch {
  readonly call: WatchCall;
  readonly answer: (answer: StoreAnswer) => void;
  /** Closes the client's connection without an answer. */
  readonly cut: () => void;
  /** Starts the timer that limits the wait. */
  readonly startTimer: (fire: () => void) => StopTimer;
  /** Called when the wait of the watch has timed out. */
  readonly fire: (watch: number) => void;
}

/** Holds watches until a change, a time-out or the loss of their connection. */
export class WatchList {
  private readonly watches = new Map<number, WaitingWatch>();
  private readonly timers = new Map<number, StopTimer>();
  private lastId = 0;

  private constructor() {}

  /** Creates an empty list. */
  static create(): WatchList {
    return new WatchList();
  }

  /** Number of waiting watches. */
  get count(): number {
    return this.watches.size;
  }

  /** Adds a watch and starts its timer; returns its id. */
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

  /** Removes a watch and answers it, if it is still waiting. */
  end(id: number, conclude: (call: WatchCall) => StoreAnswer): void {
    const watch = this.watches.get(id);
    if (watch === undefined) return;
    this.drop(id);
    watch.answer(conclude(watch.call));
  }

  /** Removes and answers every watch for which `collect` returns an answer. */
  answer(collect: (call: WatchCall) => StoreAnswer | undefined): void {
    for (const [id, watch] of [...this.watches]) {
      const found = collect(watch.call);
      if (found === undefined) continue;
      this.drop(id);
      watch.answer(found);
    }
  }

  /** Removes all watches and closes their connections. */
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
