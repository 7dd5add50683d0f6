/** How an entry describes its work in its log. */
import type {LineFields} from '../../observe/request_log.js';
import {sumCores} from './admission_desk.js';
import type {AdmissionDesk} from './admission_desk.js';
import type {AgentFleet} from './agent_fleet.js';
import type {JobLedger} from './job_ledger.js';

const MILLI = 1000;

/** Describes what waits and what is free. */
export function describeWork(
  fleet: AgentFleet,
  ledger: JobLedger,
  admission: AdmissionDesk,
  nowMs: number,
): LineFields {
  const targets = fleet.describeTargets(fleet.listViews());
  return {
    jobs: ledger.size,
    waitingJobs: ledger.waiting.size,
    backlogMs: Math.round(admission.sumBacklog(nowMs)),
    waitShare: Math.round(admission.waitShare.value * 100) / 100,
    peerBacklogMs: Math.round(fleet.peers.sum(nowMs)),
    cores: sumCores(targets.map(target => target.capacity.cpuMilli)),
    freeCores: sumCores(targets.map(target => target.free.cpuMilli)),
    // Slowness against a typical target, and free cores, of each target.
    targets: targets.map(
      ({slowness, free}) =>
        `${slowness.toFixed(2)}:${Math.round(free.cpuMilli / MILLI)}`,
    ),
  };
}
