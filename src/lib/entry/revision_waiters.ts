/** Callbacks that wait until this entry has a revision in force. */

interface Waiter {
  readonly revision: number;
  readonly release: () => void;
}

/** Calls each waiter once its revision is in force. */
export class RevisionWaiters {
  private waiters: Waiter[] = [];
  private revision = 0;

  private constructor() {}

  /** Creates an empty list at revision 0. */
  static create(): RevisionWaiters {
    return new RevisionWaiters();
  }

  /** The revision in force. */
  get current(): number {
    return this.revision;
  }

  /** Calls `release` once the revision is in force, possibly right away. */
  add(revision: number, release: () => void): void {
    if (revision <= this.revision) return release();
    this.waiters.push({revision, release});
  }

  /** Sets the revision in force and releases the waiters for it. */
  raise(revision: number): void {
    this.revision = Math.max(this.revision, revision);
    const due = this.waiters.filter(waiter => waiter.revision <= revision);
    this.waiters = this.waiters.filter(waiter => waiter.revision > revision);
    for (const waiter of due) waiter.release();
  }
}
