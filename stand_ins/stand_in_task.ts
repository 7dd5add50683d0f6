/** The tasks and charts of the stand-ins, created with what they share. */
import {Chart} from '../src/lib/core/chart.js';
import type {ChartNames} from '../src/lib/core/chart_check.js';
import {readChart} from '../src/lib/core/chart_file.js';
import {ChartInstance} from '../src/lib/core/chart_instance.js';
import {Task} from '../src/lib/core/task.js';

const MAILBOX_CAPACITY = 10_000;

/** Creates a task whose unexpected failures show as warnings of the process. */
export function createStandInTask<M>(
  name: string,
  handle: (message: M) => void,
): Task<M> {
  return Task.create<M>({
    name,
    capacity: MAILBOX_CAPACITY,
    handle,
    reportFailure: failure => process.emitWarning(String(failure)),
  });
}

/** Creates a run of the chart file of that name, which has no timers. */
export function createUntimedChart<S extends string, E extends string>(
  name: string,
  vocabulary: ChartNames<S, E>,
  perform?: (action: string) => void,
): ChartInstance<S, E> {
  return ChartInstance.create(Chart.create(readChart(name), vocabulary), {
    startNamedTimer: () => () => undefined,
    fire: () => undefined,
    perform,
  });
}
