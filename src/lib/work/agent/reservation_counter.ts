/** Counts the orders that waited for capacity at an agent, and their outcomes. */
import type {HeldRun} from '../../decisions/held_run.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {LineFields} from '../../observe/request_log.js';

/** What became of a reservation. */
export enum ReservationOutcome {
  STARTED = 'started',
  /** Ended as not started: its wait was over, or its entry or target was lost. */
  RETURNED = 'returned',
}

/** Dependencies of a counter. */
export interface ReservationCounterOptions {
  readonly planAhead?: boolean;
  readonly metrics: FleetMetrics;
}

/** Counts reservations; without `planAhead` there are none. */
export class ReservationCounter {
  private started = 0;
  private returned = 0;

  private constructor(private readonly options: ReservationCounterOptions) {}

  /** Creates a counter. */
  static create(options: ReservationCounterOptions): ReservationCounter {
    return new ReservationCounter(options);
  }

  /** Records what became of a queued run. */
  record({isReservation}: HeldRun, outcome: ReservationOutcome): void {
    if (!this.options.planAhead || !isReservation) return;
    if (outcome === ReservationOutcome.STARTED) this.started += 1;
    else this.returned += 1;
    this.options.metrics.countReservation(outcome);
  }

  /** Builds the fields of the status line; resets the counts. */
  takeCounts(): LineFields {
    if (!this.options.planAhead) return {};
    const {started, returned} = this;
    this.started = 0;
    this.returned = 0;
    return {reservationsStarted: started, reservationsReturned: returned};
  }
}
