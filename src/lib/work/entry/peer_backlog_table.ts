/** The backlogs of the other entries, as relayed by the agents. */
import type {PeerBacklog} from '../../core/work_frames.js';

/** Age in milliseconds beyond which a backlog is no longer counted. */
const MAX_AGE_MS = 500;

interface ReceivedBacklog {
  readonly backlog: number;
  readonly receivedAtMs: number;
}

/** The latest known backlog of each other entry. */
export class PeerBacklogTable {
  private readonly latestByEntry = new Map<string, ReceivedBacklog>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): PeerBacklogTable {
    return new PeerBacklogTable();
  }

  /** Stores the backlogs that an agent has relayed. */
  update(backlogs: readonly PeerBacklog[], nowMs: number): void {
    for (const {entry, backlog} of backlogs) {
      this.latestByEntry.set(entry, {backlog, receivedAtMs: nowMs});
    }
  }

  /** Sums the backlogs, in core-milliseconds; removes stale ones. */
  sum(nowMs: number): number {
    let sum = 0;
    for (const [entry, {backlog, receivedAtMs}] of this.latestByEntry) {
      if (nowMs - receivedAtMs > MAX_AGE_MS) this.latestByEntry.delete(entry);
      else sum += backlog;
    }
    return sum;
  }
}
