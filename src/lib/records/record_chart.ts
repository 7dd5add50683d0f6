/** The life cycle of a configuration record, loaded from charts/record.yaml. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of a process's copy of a record. */
export enum RecordState {
  ABSENT = 'absent',
  IN_FORCE = 'inForce',
  /** The newest version is invalid; an older, valid one stays in force. */
  HELD = 'held',
  /** No valid version has been seen. */
  REJECTED = 'rejected',
}

/** Events of a record's life cycle. */
export enum RecordEvent {
  /** A valid version was received. */
  ACCEPT = 'accept',
  /** An invalid version was received. */
  REJECT = 'reject',
  /** The record was deleted. */
  REMOVE = 'remove',
}

/** Actions that the chart requests on a transition. */
export enum RecordAction {
  APPLY = 'apply',
  REPORT = 'report',
  WITHDRAW = 'withdraw',
}

/** The compiled state machine of a record. */
export const RECORD_CHART = Chart.create(readChart('record'), {
  states: RecordState,
  events: RecordEvent,
  actions: Object.values(RecordAction),
});
