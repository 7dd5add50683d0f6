/** Changes to runs that follow from the connection to their agent. */
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {AgentSession} from './agent_session.js';

/** What an entry has learned about a run at an agent, without its report. */
export enum RunStatusChange {
  /** Its agent is unreachable; the run may still be in progress. */
  AGENT_UNREACHABLE = 'away',
  /** Its agent has reconnected and still holds it. */
  STILL_HELD = 'back',
  /** It is over: its agent has been silent for `RUN_EXPIRY_MS`. */
  EXPIRED = 'expired',
  /** It is over, or never started: the agent's hello does not list it. */
  NOT_LISTED = 'not-listed',
  /** It is over: a later incarnation of the agent controls the target. */
  REPLACED = 'replaced',
}

/** The changes that prove the end of a run. */
export type RunOverProof =
  | RunStatusChange.EXPIRED
  | RunStatusChange.NOT_LISTED
  | RunStatusChange.REPLACED;

/** Logs that runs at an agent count as over; a later line tells of each task. */
export function logRunsOver(
  log: FleetLog,
  session: AgentSession,
  proof: RunOverProof,
  runs: number,
  nowMs: number,
): void {
  if (runs === 0) return;
  log(FleetEvent.RUNS_OVER, 'Runs at an agent count as over.', {
    agent: session.hello.agent,
    agentLife: session.id,
    proof,
    runs,
    silentMs: Math.round(nowMs - session.lastReceivedAtMs),
  });
}
