/** Log fields on the load of an entry. */
import type {LineFields} from '../../observe/request_log.js';
import {sumCores} from './admission_controller.js';
import type {AdmissionController} from './admission_controller.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobRegistry} from './job_registry.js';
import type {TaskPlacer} from './task_placer.js';

const MILLI_PER_CORE = 1000;

/** The parts of an entry that its status line describes. */
export interface DescribedEntry {
  readonly fleet: AgentFleet;
  readonly jobs: JobRegistry;
  readonly admission: AdmissionController;
  readonly placer: TaskPlacer;
}

/** Describes the backlog, the free capacity and the reservations of an entry. */
export function describeEntryStatus(
  {fleet, jobs, admission, placer}: DescribedEntry,
  nowMs: number,
): LineFields {
  const targets = fleet.describeTargets(fleet.listSessions(), nowMs);
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
    ...(placer.isPlanningAhead && {
      reservations: placer.reservations.totals,
    }),
  };
}
