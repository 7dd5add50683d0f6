/** Factories for the tasks and state machines that the stand-ins share. */
import {Chart} from '../src/lib/core/chart.js';
import type {ChartNames} from '../src/lib/core/chart_check.js';
import {readChart} from '../src/lib/core/chart_file.js';
import {ChartInstance} from '../src/lib/core/chart_instance.js';
import {Task} from '../src/lib/core/task.js';

const MAILBOX_CAPACITY = 10_000;

/** Creates a task that reports unexpected failures as process warnings. */
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

/** Creates an instance of the chart file `name`, which must not use timers. */
export function createUntimedChart<S extends string, E extends string>(
  name: string,
  chartNames: ChartNames<S, E>,
  perform?: (action: string) => void,
): ChartInstance<S, E> {
  return ChartInstance.create(Chart.create(readChart(name), chartNames), {
    startNamedTimer: () => () => undefined,
    fire: () => undefined,
    perform,
  });
}
