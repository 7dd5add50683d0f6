/**
 * Anti-entropy by version: revisions are compared in every ping, and a body is
 * requested only by who lacks it, from one host at a time.
 */

/** A host that is known to have a revision. */
export interface RevisionHolder {
  /** Incarnation of the host. */
  readonly id: string;
  readonly revision: number;
}

/** Time in milliseconds for which a requested body is awaited from one host. */
export const BODY_TIMEOUT_MS = 400;

/** Decides when to request the body of a newer revision, and from which host. */
export class ConfigurationRequests {
  private wantedRevision = 0;
  private wantedSinceMs = 0;
  private requestedAtMs = -Infinity;
  private readonly asked = new Set<string>();

  private constructor(private readonly patienceMs: number) {}

  /**
   * Creates requests for bodies.
   *
   * @param patienceMs Time in milliseconds in which the body is expected to
   *     arrive without a request.
   */
  static create(patienceMs: number): ConfigurationRequests {
    return new ConfigurationRequests(patienceMs);
  }

  /** Highest revision whose body is wanted. */
  get revision(): number {
    return this.wantedRevision;
  }

  /** Records that a body of at least this revision is wanted. */
  add(revision: number, nowMs: number): void {
    if (revision <= this.wantedRevision) return;
    if (this.asked.size === 0) this.wantedSinceMs = nowMs;
    this.wantedRevision = revision;
  }

  /** Returns the host to request the body from now, if any. */
  choose(
    ownRevision: number,
    holders: Iterable<RevisionHolder>,
    nowMs: number,
  ): RevisionHolder | undefined {
    if (this.wantedRevision <= ownRevision) {
      this.asked.clear();
      this.wantedSinceMs = nowMs;
      return undefined;
    }
    const isDue =
      nowMs - this.wantedSinceMs >= this.patienceMs &&
      nowMs - this.requestedAtMs >= BODY_TIMEOUT_MS;
    if (!isDue) return undefined;
    const candidates = [...holders].filter(
      ({revision}) => revision > ownRevision,
    );
    const holder = candidates.find(({id}) => !this.asked.has(id));
    if (holder === undefined) {
      // All were asked in vain: begins again with the first one.
      this.asked.clear();
      return undefined;
    }
    this.asked.add(holder.id);
    this.requestedAtMs = nowMs;
    return holder;
  }
}
