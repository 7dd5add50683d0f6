/** The work that waits at the other entries, as the agents pass it on. */
import type {PeerBacklog} from '../../core/work_frames.js';

/** Age in milliseconds at which a figure is no longer counted. */
const STALE_MS = 500;

interface HeardBacklog {
  readonly backlog: number;
  readonly heardAtMs: number;
}

/** Keeps the latest figure of each entry. */
export class PeerWork {
  private readonly heard = new Map<string, HeardBacklog>();

  private constructor() {}

  /** Creates the work of peers that have not been heard of. */
  static create(): PeerWork {
    return new PeerWork();
  }

  /** Takes what an agent passed on. */
  learn(backlogs: readonly PeerBacklog[], nowMs: number): void {
    for (const {entry, backlog} of backlogs) {
      this.heard.set(entry, {backlog, heardAtMs: nowMs});
    }
  }

  /** Sums what waits, in core-milliseconds; drops what is stale. */
  sum(nowMs: number): number {
    let sum = 0;
    for (const [entry, {backlog, heardAtMs}] of this.heard) {
      if (nowMs - heardAtMs > STALE_MS) this.heard.delete(entry);
      else sum += backlog;
    }
    return sum;
  }
}
