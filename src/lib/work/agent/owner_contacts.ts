/** Judges the agent's contact with the entries that own its runs. */
import type {ReadSystemMs} from '../../core/clock.js';
import {
  computeContactEnd,
  isContactFresh,
  isContactLost,
} from '../../decisions/owner_contact.js';
import type {OwnerContact} from '../../decisions/owner_contact.js';
import {SuspensionDetector} from '../../decisions/suspension_detector.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';

/** Dependencies of the contacts. */
export interface OwnerContactsOptions {
  readonly readSystemMs: ReadSystemMs;
  /** Returns the send time of the latest message that an entry has answered. */
  readonly findLastContactMs: (owner: string) => number | undefined;
  readonly log: FleetLog;
}

/** Contacts with the owners of runs, on behalf of the work runner. */
export class OwnerContacts {
  private readonly detector = SuspensionDetector.create();
  private resumedAtMs = 0;

  private constructor(private readonly options: OwnerContactsOptions) {}

  /** Creates contacts that have seen no suspension. */
  static create(options: OwnerContactsOptions): OwnerContacts {
    return new OwnerContacts(options);
  }

  /** Invalidates earlier contacts if the host was suspended since the last call. */
  checkSuspension(nowMs: number): void {
    if (!this.detector.observe(nowMs, this.options.readSystemMs())) return;
    this.resumedAtMs = nowMs;
    this.options.log(
      FleetEvent.RESUMED,
      'The host was suspended, or its system clock was stepped.',
    );
  }

  /** Returns whether runs of the owner may be started. */
  isFresh(owner: string, nowMs: number): boolean {
    return isContactFresh(this.getContact(owner), nowMs);
  }

  /** Returns whether the runs of the owner must be stopped. */
  isLost(owner: string, nowMs: number): boolean {
    return isContactLost(this.getContact(owner), nowMs);
  }

  /** Returns the time at which the contact with the owner has ended. */
  computeEnd(owner: string): number {
    return computeContactEnd(this.getContact(owner));
  }

  private getContact(owner: string): OwnerContact {
    const lastContactMs = this.options.findLastContactMs(owner) ?? 0;
    return {lastContactMs, resumedAtMs: this.resumedAtMs};
  }
}
