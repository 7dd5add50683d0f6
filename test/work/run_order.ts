import type {RunOrder} from '../../src/lib/core/work_frames.js';

/** What orders of a test usually differ in. */
export interface OrderSize {
  readonly cpuMilli: number;
  readonly patienceMs: number;
  readonly sequence: number;
}

/** Creates an order for the first run of a task, the only one of its job. */
export function createOrder(
  task: string,
  {cpuMilli, patienceMs, sequence}: OrderSize,
  changes: Partial<RunOrder>,
): RunOrder {
  return {
    task,
    run: 1,
    job: task,
    request: task,
    service: 'runner',
    payload: '',
    need: {cpuMilli, memoryMb: 1, accelerators: 0},
    estimateMs: 100,
    slackMs: 0,
    patienceMs,
    sequence,
    ...changes,
  };
}
