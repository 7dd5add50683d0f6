/** Log fields on the load of an entry. */
import type {LineFields} from '../../observe/request_log.js';
import {sumCores} from './admission_controller.js';
import type {AdmissionController} from './admission_controller.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobRegistry} from './job_registry.js';

const MILLI_PER_CORE = 1000;

/** Describes the backlog and the free capacity of an entry. */
export function describeEntryStatus(
  fleet: AgentFleet,
  jobs: JobRegistry,
  admission: AdmissionController,
  nowMs: number,
): LineFields {
  const targets = fleet.describeTargets(fleet.listSessions());
  return {
    jobs: jobs.size,
    waitingJobs: jobs.waiting.size,
    backlogMs: Math.round(admission.sumBacklog(nowMs)),
    waitShare: Math.round(admission.slackShare.value * 100) / 100,
    peerBacklogMs: Math.round(fleet.peerBacklog),
    cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
    freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
    // Slowness relative to a typical target, and free cores, of each target.
    targets: targets.map(
      ({slowness, free}) =>
        `${slowness.toFixed(2)}:${Math.round(free.cpuMilli / MILLI_PER_CORE)}`,
    ),
  };
}
