/** The record of an agent in the load table. */
import {UNKNOWN_SLOWNESS} from './agent_slowness.js';
import type {SlownessEstimate} from './agent_slowness.js';
import type {AgentLoad} from './choose_agent.js';
import {HEALTHY} from './quarantine.js';
import type {AgentHealth} from './quarantine.js';
import {Tier} from './tier_lists.js';
import type {TierMember} from './tier_lists.js';

/** Record of an agent in the load table; only the table changes it. */
export interface AgentRecord extends AgentLoad, TierMember {
  running: number;
  queued: number;
  unreported: number;
  outstanding: number;
  slots: number;
  queueLimit: number;
  concurrencyLimit: number;
  slowness: number;
  reportAgeMs: number;
  isUsable: boolean;
  isPaused: boolean;
  targetInstance: string;
  reportedAtMs: number;
  usableSinceMs: number;
  health: AgentHealth;
  estimate: SlownessEstimate;
  lastEndFailed: boolean | undefined;
}

/** Creates the record of an agent that has not reported yet. */
export function createAgentRecord(id: string, dataCentre: string): AgentRecord {
  return {
    id,
    dataCentre,
    slots: 0,
    queueLimit: 0,
    running: 0,
    queued: 0,
    unreported: 0,
    outstanding: 0,
    concurrencyLimit: 0,
    slowness: 1,
    reportAgeMs: 0,
    isUsable: false,
    isPaused: false,
    targetInstance: '',
    reportedAtMs: 0,
    usableSinceMs: Infinity,
    health: HEALTHY,
    estimate: UNKNOWN_SLOWNESS,
    lastEndFailed: undefined,
    tier: Tier.FULL,
    position: 0,
  };
}
