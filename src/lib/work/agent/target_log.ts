/** Log lines about the incarnations of an agent's target. */
import {isOccupying} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetHeartbeat} from './target_api.js';

/** Maximum number of runs in the line on a crash. */
const MAX_LISTED_RUNS = 12;

/** The crash of a target as its agent sees it. */
export interface CrashEvidence {
  readonly life: string;
  readonly proof: string;
  readonly runs: readonly HeldRun[];
  readonly lease: LineFields;
}

/** Logs that a target has started. */
export function logTargetFound(
  log: FleetLog,
  {id, incarnation, service}: TargetHeartbeat,
): void {
  const fields = {target: id, targetLife: incarnation, service};
  log(FleetEvent.TARGET_FOUND, 'A target started.', fields);
}

/** Logs that the target accepts orders. */
export function logTargetReady(log: FleetLog, target: string): void {
  log(FleetEvent.TARGET_READY, 'Target accepts orders.', {target});
}

/** Logs that the target drains. */
export function logTargetDraining(
  log: FleetLog,
  {id, sequence}: TargetHeartbeat,
): void {
  const fields = {target: id, sequence};
  log(FleetEvent.TARGET_DRAINING, 'Target drains.', fields);
}

/** Logs that the target's incarnation or the lease of its runs has ended. */
export function logTargetLost(
  log: FleetLog,
  target: string | undefined,
  runs: number,
  detail: string,
): void {
  const fields = {target, runs};
  log(FleetEvent.TARGET_LOST, `The target is lost: ${detail}.`, fields);
}

/** Logs what was held on a target that crashed; the newest orders first. */
export function logCrash(
  log: FleetLog,
  {life, proof, runs, lease}: CrashEvidence,
  nowMs: number,
): void {
  const sent = runs.filter(isOccupying);
  const newest = [...sent].sort((a, b) => b.startSentAtMs - a.startSentAtMs);
  log(FleetEvent.CRASH_RECORDED, 'The target has crashed.', {
    targetLife: life,
    proof,
    ...lease,
    queued: runs.length - sent.length,
    sent: sent.length,
    runs: newest.slice(0, MAX_LISTED_RUNS).map(run => describeRun(run, nowMs)),
  });
}

function describeRun(
  {order, state, startSentAtMs, acceptedAtMs}: HeldRun,
  nowMs: number,
): LineFields {
  const isAccepted = acceptedAtMs > 0;
  return {
    task: order.task,
    run: order.run,
    state,
    sentAgoMs: Math.round(nowMs - startSentAtMs),
    acceptedAgoMs: isAccepted ? Math.round(nowMs - acceptedAtMs) : -1,
    toldCrashes: order.suspicion?.crashes ?? 0,
  };
}
