/** The states, events and actions of `charts/entry_registration.yaml`. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of an entry's registration in the store. */
export enum EntryRegistrationState {
  OPENING = 'opening',
  READING = 'reading',
  WRITING = 'writing',
  REGISTERED = 'registered',
  RENEWING = 'renewing',
  BACKING_OFF_TO_OPEN = 'backingOffToOpen',
  BACKING_OFF_TO_READ = 'backingOffToRead',
  BACKING_OFF_TO_RENEW = 'backingOffToRenew',
  SUPERSEDED = 'superseded',
  LEFT = 'left',
}

/** Events of an entry's registration in the store. */
export enum EntryRegistrationEvent {
  OPENED = 'opened',
  FREE = 'free',
  OWN = 'own',
  SUPERSEDED = 'superseded',
  WRITTEN = 'written',
  RENEWED = 'renewed',
  CONFLICT = 'conflict',
  FAILED = 'failed',
  DISPLACED = 'displaced',
  LEAVE = 'leave',
  RENEW = 'timer.renew',
  BACKOFF = 'timer.backoff',
}

/** Actions that the registration performs for its chart. */
export enum EntryRegistrationAction {
  OPEN_LEASE = 'openLease',
  READ = 'read',
  WRITE = 'write',
  RENEW = 'renew',
  CLOSE_LEASE = 'closeLease',
  REPORT_SUPERSEDED = 'reportSuperseded',
}

/** The chart of the registration, checked against the names above. */
export const ENTRY_REGISTRATION_CHART = Chart.create(
  readChart('entry_registration'),
  {
    states: EntryRegistrationState,
    events: EntryRegistrationEvent,
    actions: Object.values(EntryRegistrationAction),
  },
);
