/** Counts the orders that an entry sent to full targets by their outlook. */
import {RunEnd} from '../../core/work_frames.js';

/** Numbers of reservations since the start of the process. */
export interface ReservationTotals {
  readonly made: number;
  /** Those of which the run was started. */
  readonly started: number;
  /** Those whose order came back. */
  readonly returned: number;
}

/** Reservations of an entry and how they ended. Owned by the task placer. */
export class ReservationCounts {
  private made = 0;
  private started = 0;
  private returned = 0;

  private constructor() {}

  /** Creates counts of zero. */
  static create(): ReservationCounts {
    return new ReservationCounts();
  }

  /** Records an order that waits for the capacity it has reserved. */
  recordOrder(): void {
    this.made += 1;
  }

  /** Records the end of a run that had been reserved. */
  recordEnd(end: RunEnd): void {
    if (end === RunEnd.NOT_STARTED) this.returned += 1;
    else this.started += 1;
  }

  /** The numbers since the start of the process. */
  get totals(): ReservationTotals {
    const {made, started, returned} = this;
    return {made, started, returned};
  }
}
