/** The states, events and actions of `charts/configuration_watch.yaml`. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of an entry's watch of the store. */
export enum ConfigurationWatchState {
  LISTING = 'listing',
  WATCHING = 'watching',
  PAUSING = 'pausing',
  BACKING_OFF_TO_WATCH = 'backingOffToWatch',
  BACKING_OFF_TO_LIST = 'backingOffToList',
}

/** Events of an entry's watch of the store. */
export enum ConfigurationWatchEvent {
  ANSWERED = 'answered',
  STALE = 'stale',
  COMPACTED = 'compacted',
  FAILED = 'failed',
  OVERDUE = 'timer.overdue',
  PAUSE = 'timer.pause',
  BACKOFF = 'timer.backoff',
}

/** Actions that the watch performs for its chart. */
export enum ConfigurationWatchAction {
  LIST = 'list',
  WATCH = 'watch',
  CONFIRM = 'confirm',
  LOSE_CONTACT = 'loseContact',
}

/** The chart of the watch, checked against the names above. */
export const CONFIGURATION_WATCH_CHART = Chart.create(
  readChart('configuration_watch'),
  {
    states: ConfigurationWatchState,
    events: ConfigurationWatchEvent,
    actions: Object.values(ConfigurationWatchAction),
  },
);
