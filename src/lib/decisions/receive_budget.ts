/**
 * Decides how many bytes the connections of a process may hold together, and
 * which one is cut first.
 */

/** State of the budget after a reservation. */
export enum Reservation {
  /** The holders are within the budget. */
  GRANTED = 'granted',
  /** The budget is used up: the holder should receive nothing more for now. */
  FULL = 'full',
  /** The overdraft is used up too: a holder has to be cut now. */
  EXCEEDED = 'exceeded',
}

/**
 * Overdraft as a share of the budget. A holder learns that the budget is used up
 * only after a read, which may bring 64 KB; the overdraft takes a few of these.
 */
const OVERDRAFT_SHARE = 0.25;

/**
 * Time in milliseconds added to the time without progress in the order of cuts,
 * so that among holders that have all just come the largest is cut.
 */
const BASE_MS = 1000;

interface Holding {
  bytes: number;
  /** Time of the latest reservation or return. */
  progressMs: number;
  /** Whether it was cut, and its bytes are about to become free. */
  isCut: boolean;
}

/** What each holder has reserved, for holders of any type. */
export class ReceiveBudget<Holder> {
  private readonly holdings = new Map<Holder, Holding>();
  private sum = 0;
  /** Bytes of holders that were cut and are not released yet. */
  private cutBytes = 0;

  private constructor(private readonly bytesAtMost: number) {}

  /** Creates a budget of which nothing is reserved. */
  static create<Holder>({
    bytesAtMost,
  }: {
    readonly bytesAtMost: number;
  }): ReceiveBudget<Holder> {
    return new ReceiveBudget(bytesAtMost);
  }

  /** Bytes that all holders have reserved. */
  get reservedBytes(): number {
    return this.sum;
  }

  /** Bytes that can be reserved before the budget is used up. */
  get freeBytes(): number {
    return Math.max(0, this.bytesAtMost - this.sum);
  }

  /** The same once the holders that were cut are released. */
  get expectedFreeBytes(): number {
    return Math.max(0, this.bytesAtMost - this.sum + this.cutBytes);
  }

  /** State of the budget. */
  get state(): Reservation {
    if (this.sum <= this.bytesAtMost) return Reservation.GRANTED;
    const overdraft = this.bytesAtMost * OVERDRAFT_SHARE;
    const isWithin = this.sum - this.cutBytes <= this.bytesAtMost + overdraft;
    return isWithin ? Reservation.FULL : Reservation.EXCEEDED;
  }

  /** Returns the bytes that a holder has reserved. */
  getReserved(holder: Holder): number {
    return this.holdings.get(holder)?.bytes ?? 0;
  }

  /** Reserves bytes; they count whatever the result. */
  reserve(holder: Holder, bytes: number, nowMs: number): Reservation {
    this.change(holder, bytes, nowMs);
    return this.state;
  }

  /** Returns a part of what a holder has reserved. */
  returnPart(holder: Holder, bytes: number, nowMs: number): void {
    this.change(holder, -Math.min(bytes, this.getReserved(holder)), nowMs);
  }

  /**
   * Marks a holder as cut. Its bytes count until `release`: Node.js frees what a
   * closed connection held only after all other connections have been read.
   */
  cut(holder: Holder): void {
    const holding = this.holdings.get(holder);
    if (holding === undefined || holding.isCut) return;
    holding.isCut = true;
    this.cutBytes += holding.bytes;
  }

  /** Releases all that a holder has reserved. */
  release(holder: Holder): void {
    const holding = this.holdings.get(holder);
    if (holding === undefined) return;
    this.sum -= holding.bytes;
    if (holding.isCut) this.cutBytes -= holding.bytes;
    this.holdings.delete(holder);
  }

  /**
   * Selects the holder that is cut first: the one with the most bytes for the
   * longest time without progress, among those without progress for at least
   * `stalledMs` that are not cut yet.
   */
  selectCut(nowMs: number, stalledMs: number): Holder | undefined {
    let selected: Holder | undefined;
    let highest = 0;
    for (const [holder, {bytes, progressMs, isCut}] of this.holdings) {
      const waitedMs = nowMs - progressMs;
      const score = bytes * (waitedMs + BASE_MS);
      if (isCut || waitedMs < stalledMs || score <= highest) continue;
      selected = holder;
      highest = score;
    }
    return selected;
  }

  private change(holder: Holder, bytes: number, nowMs: number): void {
    const holding = this.holdings.get(holder) ?? {
      bytes: 0,
      progressMs: nowMs,
      isCut: false,
    };
    this.sum += bytes;
    if (holding.isCut) this.cutBytes += bytes;
    holding.bytes += bytes;
    holding.progressMs = nowMs;
    if (holding.bytes > 0) this.holdings.set(holder, holding);
    else this.holdings.delete(holder);
  }
}
