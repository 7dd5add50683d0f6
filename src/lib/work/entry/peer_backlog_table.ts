/** The work that waits at the other entries, as the agents pass it on. */
import type {PeerBacklog} from '../../core/work_frames.js';

/** Age in milliseconds at which a figure is no longer counted. */
const STALE_AFTER_MS = 500;

interface ReceivedBacklog {
  readonly backlog: number;
  readonly receivedAtMs: number;
}

/** Keeps the latest figure of each entry. */
export class PeerBacklogTable {
  private readonly latestByEntry = new Map<string, ReceivedBacklog>();

  private constructor() {}

  /** Creates the work of peers that have not been heard of. */
  static create(): PeerBacklogTable {
    return new PeerBacklogTable();
  }

  /** Takes what an agent passed on. */
  update(backlogs: readonly PeerBacklog[], nowMs: number): void {
    for (const {entry, backlog} of backlogs) {
      this.latestByEntry.set(entry, {backlog, receivedAtMs: nowMs});
    }
  }

  /** Sums what waits, in core-milliseconds; drops what is stale. */
  sum(nowMs: number): number {
    let sum = 0;
    for (const [entry, {backlog, receivedAtMs: heardAtMs}] of this
      .latestByEntry) {
      if (nowMs - heardAtMs > STALE_AFTER_MS) this.latestByEntry.delete(entry);
      else sum += backlog;
    }
    return sum;
  }
}
