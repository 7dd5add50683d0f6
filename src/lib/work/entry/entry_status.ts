/** How an entry describes its work in its log. */
import type {LineFields} from '../../observe/request_log.js';
import {sumCores} from './admission_controller.js';
import type {AdmissionController} from './admission_controller.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobRegistry} from './job_registry.js';

const MILLICORES_PER_CORE = 1000;

/** Describes what waits and what is free. */
export function describeEntryStatus(
  fleet: AgentFleet,
  ledger: JobRegistry,
  admission: AdmissionController,
  nowMs: number,
): LineFields {
  const targets = fleet.describeTargets(fleet.listSessions());
  return {
    jobs: ledger.size,
    waitingJobs: ledger.waiting.size,
    backlogMs: Math.round(admission.sumBacklog(nowMs)),
    waitShare: Math.round(admission.waitShare.value * 100) / 100,
    peerBacklogMs: Math.round(fleet.peerBacklogs.sum(nowMs)),
    cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
    freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
    // Slowness against a typical target, and free cores, of each target.
    targets: targets.map(
      ({slowness, free}) =>
        `${slowness.toFixed(2)}:${Math.round(free.cpuMilli / MILLICORES_PER_CORE)}`,
    ),
  };
}
