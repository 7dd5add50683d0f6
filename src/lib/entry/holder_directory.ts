/** Which entry holds the sessions of the entry incarnations that have ended. */
import type {StartTimer, StopTimer} from '../core/clock.js';
import {HolderKind} from './holder.js';
import type {Holder} from './holder.js';

/** Dependencies of a holder directory. */
export interface HolderDirectoryOptions {
  /** `host:port` at which other entries reach this one. */
  readonly address: string;
  readonly startTimer: StartTimer;
}

/**
 * Longest time in milliseconds to wait for the peers' announcements. A restarted
 * entry is asked for the sessions of its earlier life before the peer that took
 * them over has seen its registration and announced what it holds.
 */
const ANNOUNCEMENT_WAIT_MS = 2000;

const NO_HOLDER: Holder = {kind: HolderKind.NONE, address: ''};

interface HolderWaiter {
  readonly incarnation: string;
  readonly resume: () => void;
  readonly stopTimer: StopTimer;
}

/** Records what the peers announce. Owned by the peer manager. */
export class HolderDirectory {
  private ownIncarnations: readonly string[] = [];
  /** Peers that have announced what they hold. */
  private readonly announced = new Set<string>();
  private readonly addressByIncarnation = new Map<string, string>();
  private peers: readonly string[] | undefined;
  private readonly waiters = new Set<HolderWaiter>();

  private constructor(private readonly options: HolderDirectoryOptions) {}

  /** Creates a directory that knows no peer. */
  static create(options: HolderDirectoryOptions): HolderDirectory {
    return new HolderDirectory(options);
  }

  /** The ended incarnations whose sessions are held here. */
  get own(): readonly string[] {
    return this.ownIncarnations;
  }

  /** Replaces the ended incarnations whose sessions are held here. */
  setOwn(incarnations: readonly string[]): void {
    this.ownIncarnations = incarnations;
    this.resumeSettled();
  }

  /** Replaces the addresses of the peers; what others held is dropped. */
  setPeers(addresses: readonly string[]): void {
    this.peers = addresses;
    const known = new Set(addresses);
    for (const [incarnation, address] of this.addressByIncarnation) {
      if (!known.has(address)) this.addressByIncarnation.delete(incarnation);
    }
    for (const address of this.announced) {
      if (!known.has(address)) this.announced.delete(address);
    }
    this.resumeSettled();
  }

  /** Records what a peer has announced to hold. */
  record(address: string, incarnations: readonly string[]): void {
    this.announced.add(address);
    for (const incarnation of incarnations) {
      this.addressByIncarnation.set(incarnation, address);
    }
    this.resumeSettled();
  }

  /** Finds the holder of the sessions of an ended incarnation. */
  find(incarnation: string): Holder {
    if (this.ownIncarnations.includes(incarnation)) {
      return {kind: HolderKind.SELF, address: this.options.address};
    }
    const address = this.addressByIncarnation.get(incarnation);
    if (address === undefined) return NO_HOLDER;
    return {kind: HolderKind.PEER, address};
  }

  /**
   * Calls `resume` once the holder of an incarnation is known, or all peers have
   * announced what they hold, or `ANNOUNCEMENT_WAIT_MS` have passed.
   */
  await(incarnation: string, resume: () => void): void {
    const stopTimer = this.options.startTimer(ANNOUNCEMENT_WAIT_MS, () =>
      this.release(waiter),
    );
    const waiter: HolderWaiter = {incarnation, resume, stopTimer};
    this.waiters.add(waiter);
    this.resumeSettled();
  }

  /** Stops the timers of the requests that wait. */
  close(): void {
    for (const {stopTimer} of this.waiters) stopTimer();
    this.waiters.clear();
  }

  private resumeSettled(): void {
    const isComplete =
      this.peers?.every(address => this.announced.has(address)) ?? false;
    for (const waiter of [...this.waiters]) {
      const isKnown = this.find(waiter.incarnation).kind !== HolderKind.NONE;
      if (isKnown || isComplete) this.release(waiter);
    }
  }

  private release(waiter: HolderWaiter): void {
    if (!this.waiters.delete(waiter)) return;
    waiter.stopTimer();
    waiter.resume();
  }
}
