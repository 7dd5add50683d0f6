/** Messages of another writer to the agent of a virtual target. */
import {TargetPhase} from '../../src/lib/core/work_frames.js';
import {NO_RESOURCES} from '../../src/lib/core/work_job.js';
import {RunnerMessageKind} from '../../src/lib/work/agent/runner_messages.js';
import type {RunnerMessage} from '../../src/lib/work/agent/runner_messages.js';
import type {TargetHeartbeat} from '../../src/lib/work/agent/target_api.js';

type Forge = (latest: TargetHeartbeat) => Partial<TargetHeartbeat>;

const LATER_MS = 5000;
const FAR_AHEAD = 2 ** 40;

/** What differs from the latest heartbeat of the target itself. */
const FORGERIES: readonly Forge[] = [
  () => ({id: 'x', incarnation: 'x@1', service: 'unknown'}),
  ({startMs}) => ({id: 'x', incarnation: 'x@2', startMs: startMs + LATER_MS}),
  ({startMs}) => ({id: 'x', incarnation: 'x@3', startMs}),
  ({id, startMs}) => ({
    incarnation: `${id}@later`,
    startMs: startMs + LATER_MS,
  }),
  ({id, startMs}) => ({
    incarnation: `${id}@earlier`,
    startMs: startMs - LATER_MS,
  }),
  ({id}) => ({
    incarnation: `${id}@future`,
    startMs: Number.MAX_SAFE_INTEGER,
  }),
  () => ({phase: TargetPhase.DRAINING, sequence: FAR_AHEAD}),
  () => ({service: 'unknown', sequence: FAR_AHEAD, clockMs: FAR_AHEAD}),
  () => ({
    capacity: NO_RESOURCES,
    sequence: FAR_AHEAD,
    clockMs: FAR_AHEAD,
  }),
];

/** Draws a heartbeat or a deregistration that the target has not sent. */
export function drawForeignMessage(
  latest: TargetHeartbeat,
  drawRandom: () => number,
): RunnerMessage {
  const index = Math.floor(drawRandom() * (FORGERIES.length + 2));
  if (index < FORGERIES.length) {
    const heartbeat = {...latest, ...FORGERIES[index](latest)};
    return {kind: RunnerMessageKind.HEARTBEAT, heartbeat};
  }
  const startMs = index === FORGERIES.length ? latest.startMs : undefined;
  const kind = RunnerMessageKind.TARGET_DEREGISTERED;
  return {kind, id: latest.id, startMs};
}
