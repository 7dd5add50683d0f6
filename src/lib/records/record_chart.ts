/** The life cycle of a configuration record, as charts/record.yaml states it. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of a record as one process holds it. */
export enum RecordState {
  ABSENT = 'absent',
  IN_FORCE = 'inForce',
  HELD = 'held',
  REJECTED = 'rejected',
}

/** What happens to a record. */
export enum RecordEvent {
  /** A version arrived that can be put in force. */
  ACCEPT = 'accept',
  /** A version arrived that cannot. */
  REJECT = 'reject',
  /** The record was deleted. */
  REMOVE = 'remove',
}

/** What the chart asks for when a record changes. */
export enum RecordAction {
  APPLY = 'apply',
  REPORT = 'report',
  WITHDRAW = 'withdraw',
}

/** Interprets the record's chart. */
export const RECORD_CHART = Chart.create(readChart('record'), {
  states: RecordState,
  events: RecordEvent,
  actions: Object.values(RecordAction),
});
