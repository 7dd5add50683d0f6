/** Load and health of the agents connected to an entry, indexed for placement. */
import type {DrawRandom} from '../core/clock.js';
import {createAgentRecord} from './agent_record.js';
import type {AgentRecord} from './agent_record.js';
import {
  computeOptimisticSlowness,
  computeSlowness,
  recordRunTime,
  UNKNOWN_SLOWNESS,
} from './agent_slowness.js';
import {NO_AGENT} from './choose_agent.js';
import type {
  AgentLoad,
  PlacementPolicy,
  PlacementRequest,
} from './choose_agent.js';
import {computeSetPoint} from './failure_backoff.js';
import {
  limitConcurrency,
  recordEnd,
  replaceTarget,
  resumeHealth,
} from './quarantine.js';
import {limitByRamp} from './ramp.js';
import {Tier, TierLists} from './tier_lists.js';

/** State that an agent reports to the entry. */
export interface AgentReport {
  /** Whether the target is present, starts are permitted and the agent is not draining. */
  readonly isUsable: boolean;
  readonly targetInstance: string;
  readonly slots: number;
  readonly queueLimit: number;
  readonly running: number;
  readonly queued: number;
  /** Tasks sent by this entry that the report does not include. */
  readonly unreported: number;
}

/** Options of an agent load table. */
export interface AgentLoadTableOptions {
  readonly policy: PlacementPolicy;
  readonly drawRandom: DrawRandom;
  /** Data centre of the entry. */
  readonly dataCentre: string;
}

/** Outcome of one task at an agent. */
export interface ObservedEnd {
  readonly isSuccess: boolean;
  /** Run time at the target in milliseconds; 0 if not known. */
  readonly runMs: number;
  /** Run time in milliseconds that the entry expected on a typical target. */
  readonly expectedMs: number;
}

/** Initial mean run time in milliseconds, before any task has ended. */
const FIRST_MEAN_RUN_MS = 300;

/** Weight of one task in the moving average of the run time. */
const MEAN_RUN_WEIGHT = 0.02;

/**
 * Keeps the agents with free capacity in lists, so that placing a task costs at
 * most one bounded scan, however many agents there are. The table owns no socket
 * and reads no clock: its owner passes in reports, sends, ends and times, and
 * sends the task to the chosen agent.
 */
export class AgentLoadTable {
  private readonly agents = new Map<string, AgentRecord>();
  private readonly tiers = TierLists.create<AgentRecord>();
  private meanRunMs = FIRST_MEAN_RUN_MS;
  private usableSlots = 0;
  /** Sum of the slots of usable agents, each divided by the agent's slowness. */
  private slotSpeed = 0;
  private agentsWithEnds = 0;
  private agentsFailing = 0;

  private constructor(private readonly options: AgentLoadTableOptions) {}

  /** Creates a table without agents. */
  static create(options: AgentLoadTableOptions): AgentLoadTable {
    return new AgentLoadTable(options);
  }

  /** Number of agents in the table. */
  get size(): number {
    return this.agents.size;
  }

  /** Slots of all usable agents, whether free or not. */
  get slots(): number {
    return this.usableSlots;
  }

  /** Tasks that the usable agents are expected to complete per millisecond. */
  get tasksPerMs(): number {
    return this.slotSpeed / this.meanRunMs;
  }

  /** Expected work in milliseconds that the usable agents perform per millisecond. */
  get workPerMs(): number {
    return this.slotSpeed;
  }

  /** Returns the load of an agent, or undefined if it is unknown. */
  getAgent(id: string): AgentLoad | undefined {
    return this.agents.get(id);
  }

  /** Adds an agent that has connected, or resumes a known one. */
  addAgent(id: string, dataCentre: string): void {
    const known = this.agents.get(id);
    if (known === undefined) {
      this.agents.set(id, createAgentRecord(id, dataCentre));
      return;
    }
    known.isPaused = false;
    this.refresh(known);
  }

  /** Excludes an agent from placement until `addAgent`; its tasks stay counted. */
  pauseAgent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.isPaused = true;
    this.setUsable(agent, false);
    this.refresh(agent);
  }

  /** Removes an agent and its history. */
  removeAgent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    this.setUsable(agent, false);
    this.tiers.move(agent, Tier.FULL);
    this.clearLastEnd(agent);
    this.agents.delete(id);
  }

  /** Applies an agent's report. */
  applyReport(id: string, report: AgentReport, nowMs: number): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    if (report.targetInstance !== agent.targetInstance) {
      this.resetTarget(agent, report.targetInstance);
    }
    this.setUsable(agent, false);
    agent.slots = report.slots;
    agent.queueLimit = report.queueLimit;
    agent.running = report.running;
    agent.queued = report.queued;
    agent.unreported = report.unreported;
    agent.reportedAtMs = nowMs;
    const isUsable = report.isUsable && !agent.isPaused;
    if (!isUsable) agent.usableSinceMs = Infinity;
    else if (agent.usableSinceMs === Infinity) agent.usableSinceMs = nowMs;
    this.setUsable(agent, isUsable);
    this.refreshLimits(agent, nowMs);
  }

  /** Updates pauses and ramps; the owner calls it several times a second. */
  refreshAll(nowMs: number): void {
    for (const agent of this.agents.values()) this.refreshLimits(agent, nowMs);
  }

  /** Chooses an agent for a task; undefined if the task is to wait. */
  choose(request: PlacementRequest): string | undefined {
    return (
      this.chooseFrom(this.tiers.preferred, request) ??
      this.chooseFrom(this.tiers.others, request)
    );
  }

  /**
   * Describes a task for the policy: `expectedMs` is its run time on a typical
   * target and `waitedMs` its time at the head of the queue; `waiting` tasks wait
   * at this entry, and `entries` entries place tasks on the same agents.
   */
  describeRequest(
    expectedMs: number,
    waiting: number,
    waitedMs: number,
    entries: number,
  ): PlacementRequest {
    const drainMs = ((waiting + 1) * entries) / Math.max(1e-6, this.tasksPerMs);
    return {
      expectedMs,
      dataCentre: this.options.dataCentre,
      meanRunMs: this.meanRunMs,
      // A task that has waited longer than estimated accepts a slower agent.
      slotWaitMs: Math.max(drainMs, waitedMs),
    };
  }

  /** Counts a task as sent to an agent. */
  recordSent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.outstanding += 1;
    agent.unreported += 1;
    this.refresh(agent);
  }

  /** Counts a task as returned without having started. */
  recordReturned(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.outstanding = Math.max(0, agent.outstanding - 1);
    if (agent.unreported > 0) agent.unreported -= 1;
    else if (agent.queued > 0) agent.queued -= 1;
    this.refresh(agent);
  }

  /** Records the end of a task at an agent. */
  recordEnd(id: string, end: ObservedEnd, nowMs: number): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.outstanding = Math.max(0, agent.outstanding - 1);
    if (agent.running > 0) agent.running -= 1;
    else if (agent.unreported > 0) agent.unreported -= 1;
    this.updateHealth(agent, end.isSuccess, nowMs);
    if (end.isSuccess && end.runMs > 0) this.updateRunTime(agent, end);
    this.refreshLimits(agent, nowMs);
  }

  private chooseFrom(list: readonly AgentRecord[], request: PlacementRequest) {
    const {policy, drawRandom} = this.options;
    if (list.length === 0) return undefined;
    const index = policy.choose(list, request, drawRandom);
    return index === NO_AGENT ? undefined : list[index].id;
  }

  private updateHealth(
    agent: AgentRecord,
    isSuccess: boolean,
    nowMs: number,
  ): void {
    this.clearLastEnd(agent);
    agent.lastEndFailed = !isSuccess;
    this.agentsWithEnds += 1;
    if (!isSuccess) this.agentsFailing += 1;
    const setPoint = computeSetPoint(this.agentsFailing / this.agentsWithEnds);
    agent.health = recordEnd(agent.health, isSuccess, setPoint, nowMs);
  }

  private updateRunTime(agent: AgentRecord, end: ObservedEnd): void {
    this.meanRunMs += MEAN_RUN_WEIGHT * (end.runMs - this.meanRunMs);
    const wasUsable = agent.isUsable;
    this.setUsable(agent, false);
    agent.estimate = recordRunTime(agent.estimate, end.runMs, end.expectedMs);
    this.setUsable(agent, wasUsable);
  }

  private resetTarget(agent: AgentRecord, instance: string): void {
    agent.targetInstance = instance;
    agent.health = replaceTarget(agent.health);
    this.setUsable(agent, false);
    agent.estimate = UNKNOWN_SLOWNESS;
    this.clearLastEnd(agent);
  }

  private clearLastEnd(agent: AgentRecord): void {
    if (agent.lastEndFailed === undefined) return;
    this.agentsWithEnds -= 1;
    if (agent.lastEndFailed) this.agentsFailing -= 1;
    agent.lastEndFailed = undefined;
  }

  private setUsable(agent: AgentRecord, isUsable: boolean): void {
    if (agent.isUsable === isUsable) return;
    agent.isUsable = isUsable;
    const sign = isUsable ? 1 : -1;
    this.usableSlots += sign * agent.slots;
    this.slotSpeed += (sign * agent.slots) / computeSlowness(agent.estimate);
    if (this.usableSlots === 0) this.slotSpeed = 0;
  }

  private refreshLimits(agent: AgentRecord, nowMs: number): void {
    agent.health = resumeHealth(agent.health, nowMs);
    agent.concurrencyLimit = Math.min(
      limitConcurrency(agent.health),
      limitByRamp(nowMs - agent.usableSinceMs, agent.slots),
    );
    agent.reportAgeMs = nowMs - agent.reportedAtMs;
    const typical = this.slotSpeed / Math.max(1, this.usableSlots);
    agent.slowness = computeOptimisticSlowness(agent.estimate) * (typical || 1);
    this.refresh(agent);
  }

  private refresh(agent: AgentRecord): void {
    const {policy} = this.options;
    if (!agent.isUsable || agent.isPaused || policy.countFree(agent) <= 0) {
      this.tiers.move(agent, Tier.FULL);
      return;
    }
    const isPreferred = policy.isPreferred(agent);
    this.tiers.move(agent, isPreferred ? Tier.PREFERRED : Tier.OTHER);
  }
}
