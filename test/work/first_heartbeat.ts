import {TargetPhase} from '../../src/lib/core/work_frames.js';
import type {TargetHeartbeat} from '../../src/lib/work/agent/target_api.js';

/** Capacity of the target. */
export const CAPACITY = {cpuMilli: 2000, memoryMb: 1000, accelerators: 0};

/** First heartbeat of the target. */
export const HEARTBEAT: TargetHeartbeat = {
  incarnation: 't1-life',
  startMs: 1,
  id: 't1',
  service: 'runner',
  dataCentre: 'zone-a',
  phase: TargetPhase.READY,
  capacity: CAPACITY,
  labels: [],
  sequence: 1,
  clockMs: undefined,
};
