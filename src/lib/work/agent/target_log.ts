/** Log lines about the incarnations of an agent's target. */
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {TargetHeartbeat} from './target_api.js';

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
