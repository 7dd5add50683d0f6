/** The token that fences off the earlier calls to a target. */

/** Largest step in milliseconds by which a refused token is raised: one day. */
const MAX_TOKEN_STEP = 86_400_000;

/**
 * Fencing token of one agent for all incarnations of its target. It is the start
 * time of the incarnation plus its own clock, read in the first answer: above the
 * token of any earlier agent and of any earlier incarnation, whose orders may still
 * be carried out. It needs no call to the store.
 */
export class FencingToken {
  private current = 0;
  /** The highest token used so far, for whatever incarnation. */
  private highest = 0;
  private step = 1;

  private constructor() {}

  /** Creates a token that is not known yet. */
  static create(): FencingToken {
    return new FencingToken();
  }

  /** The token for the next call; 0 if it is not known. */
  get value(): number {
    return this.current;
  }

  /** Returns whether a call with the token fences off all earlier calls. */
  isCurrent(token: number): boolean {
    return token > 0 && token === this.current;
  }

  /** Begins with another incarnation of the target. */
  reset(): void {
    this.current = 0;
    this.step = 1;
  }

  /** Drops the token; the next answer gives a higher one. */
  drop(): void {
    this.current = 0;
  }

  /** Sets the token, unless it is known, from the target's time of day. */
  set(targetTimeMs: number): void {
    if (this.current === 0) this.raise(targetTimeMs);
  }

  /** Raises the token, which makes the target refuse all earlier calls. */
  raiseFence(): void {
    if (this.current > 0) this.raise(0);
  }

  /**
   * Raises a token that the target has refused, by twice as much each time: it
   * holds an unknown one if its time of day was set back between two incarnations.
   */
  raiseRefused(targetTimeMs: number): void {
    this.highest += this.step;
    this.step = Math.min(this.step * 2, MAX_TOKEN_STEP);
    this.raise(targetTimeMs);
  }

  /** Records that the target has accepted the current token. */
  confirm(): void {
    this.step = 1;
  }

  /**
   * Token for a call to an incarnation that is only claimed. It is no higher than
   * the current one, which the known incarnation must go on accepting.
   */
  get claimValue(): number {
    return this.highest;
  }

  /**
   * Raises the token for such calls after the target has refused it.
   *
   * @param claimedTimeMs Time of day of the claimed incarnation.
   * @param systemMs Local time of day. The token stays within a day of it, since
   *     later agents have to find a higher one.
   */
  raiseClaim(refused: number, claimedTimeMs: number, systemMs: number): void {
    if (refused < this.highest) return;
    const limitMs = Math.floor(systemMs) + MAX_TOKEN_STEP;
    const next = refused + this.step;
    this.highest = Math.max(next, Math.min(claimedTimeMs, limitMs));
    this.step = Math.min(this.step * 2, MAX_TOKEN_STEP);
  }

  private raise(targetTimeMs: number): void {
    this.highest = Math.max(this.highest + 1, targetTimeMs);
    this.current = this.highest;
  }
}
