/** The agents that an entry holds streams of, indexed for placement. */
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

/** What an agent reports to the entry. */
export interface AgentReport {
  /** Target present, starts permitted, agent not leaving. */
  readonly isUsable: boolean;
  readonly targetInstance: string;
  readonly slots: number;
  readonly queueLimit: number;
  readonly running: number;
  readonly queued: number;
  /** Own tasks sent that the report does not count. */
  readonly unreported: number;
}

/** What a board is created with. */
export interface AgentLoadTableOptions {
  readonly policy: PlacementPolicy;
  readonly drawRandom: DrawRandom;
  /** Data centre of the entry. */
  readonly dataCentre: string;
}

/** How one task ended at an agent. */
export interface ObservedEnd {
  readonly isSuccess: boolean;
  /** Run time at the target in milliseconds; 0 if not known. */
  readonly runMs: number;
  /** Run time that the entry expected on a usual target. */
  readonly expectedMs: number;
}

/** Mean run time in milliseconds that is assumed before any task has ended. */
const FIRST_MEAN_RUN_MS = 300;

/** Weight of one task in the mean run time. */
const MEAN_RUN_WEIGHT = 0.02;

/**
 * Keeps the agents with room in lists, so that placing a task costs at most
 * one bounded scan however many agents there are.
 *
 * The board holds no socket and reads no clock: the task that owns it passes
 * reports, sends, ends and times in and carries the choice out.
 */
export class AgentLoadTable {
  private readonly agents = new Map<string, AgentRecord>();
  private readonly tiers = TierLists.create<AgentRecord>();
  private meanRunMs = FIRST_MEAN_RUN_MS;
  private usableSlots = 0;
  /** Slots of usable agents, each divided by its slowness against expectation. */
  private slotSpeed = 0;
  private agentsWithEnds = 0;
  private agentsFailing = 0;

  private constructor(private readonly options: AgentLoadTableOptions) {}

  /** Creates a board without agents. */
  static create(options: AgentLoadTableOptions): AgentLoadTable {
    return new AgentLoadTable(options);
  }

  /** Number of agents on the board. */
  get size(): number {
    return this.agents.size;
  }

  /** Slots of all agents that may be sent tasks, whether free or not. */
  get slots(): number {
    return this.usableSlots;
  }

  /** Tasks that the usable agents are expected to end each millisecond. */
  get tasksPerMs(): number {
    return this.slotSpeed / this.meanRunMs;
  }

  /** Expected work in milliseconds that the usable agents do each millisecond. */
  get workPerMs(): number {
    return this.slotSpeed;
  }

  /** Returns what the board knows of an agent. */
  getAgent(id: string): AgentLoad | undefined {
    return this.agents.get(id);
  }

  /** Adds an agent that has connected; one that is known already is resumed. */
  addAgent(id: string, dataCentre: string): void {
    const known = this.agents.get(id);
    if (known === undefined) {
      this.agents.set(id, createAgentRecord(id, dataCentre));
      return;
    }
    known.isPaused = false;
    this.refresh(known);
  }

  /** Sends an agent nothing more until `addAgent`; its tasks stay counted. */
  pauseAgent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.isPaused = true;
    this.setUsable(agent, false);
    this.refresh(agent);
  }

  /** Removes an agent and everything known of it. */
  removeAgent(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    this.setUsable(agent, false);
    this.tiers.move(agent, Tier.FULL);
    this.forgetEnd(agent);
    this.agents.delete(id);
  }

  /** Takes an agent's report. */
  applyReport(id: string, report: AgentReport, nowMs: number): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    if (report.targetInstance !== agent.targetInstance) {
      this.forgetTarget(agent, report.targetInstance);
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

  /** Lets pauses and ramps go on; the owner calls it several times a second. */
  refreshAll(nowMs: number): void {
    for (const agent of this.agents.values()) this.refreshLimits(agent, nowMs);
  }

  /** Chooses an agent for a task, or undefined to hold the task back. */
  choose(need: PlacementRequest): string | undefined {
    return (
      this.chooseFrom(this.tiers.preferred, need) ??
      this.chooseFrom(this.tiers.others, need)
    );
  }

  /**
   * Describes a task to the policy.
   *
   * @param expectedMs Run time expected on a usual target.
   * @param waiting Tasks that wait at this entry.
   * @param waitedMs Time that this task has been first in the queue.
   * @param entries Entries that place tasks on the same agents.
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
      // A task that has waited longer than foreseen takes what there is.
      holdMs: Math.max(drainMs, waitedMs),
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

  /** Counts a task as given back without having started. */
  recordReturned(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.outstanding = Math.max(0, agent.outstanding - 1);
    if (agent.unreported > 0) agent.unreported -= 1;
    else if (agent.queued > 0) agent.queued -= 1;
    this.refresh(agent);
  }

  /** Learns how a task ended at an agent. */
  recordEnd(id: string, end: ObservedEnd, nowMs: number): void {
    const agent = this.agents.get(id);
    if (agent === undefined) return;
    agent.outstanding = Math.max(0, agent.outstanding - 1);
    if (agent.running > 0) agent.running -= 1;
    else if (agent.unreported > 0) agent.unreported -= 1;
    this.learnOutcome(agent, end.isSuccess, nowMs);
    if (end.isSuccess && end.runMs > 0) this.learnRunTime(agent, end);
    this.refreshLimits(agent, nowMs);
  }

  private chooseFrom(list: readonly AgentRecord[], need: PlacementRequest) {
    const {policy, drawRandom} = this.options;
    if (list.length === 0) return undefined;
    const index = policy.choose(list, need, drawRandom);
    return index === NO_AGENT ? undefined : list[index].id;
  }

  private learnOutcome(
    agent: AgentRecord,
    isSuccess: boolean,
    nowMs: number,
  ): void {
    this.forgetEnd(agent);
    agent.lastEndFailed = !isSuccess;
    this.agentsWithEnds += 1;
    if (!isSuccess) this.agentsFailing += 1;
    const setPoint = computeSetPoint(this.agentsFailing / this.agentsWithEnds);
    agent.health = recordEnd(agent.health, isSuccess, setPoint, nowMs);
  }

  private learnRunTime(agent: AgentRecord, end: ObservedEnd): void {
    this.meanRunMs += MEAN_RUN_WEIGHT * (end.runMs - this.meanRunMs);
    const wasUsable = agent.isUsable;
    this.setUsable(agent, false);
    agent.estimate = recordRunTime(agent.estimate, end.runMs, end.expectedMs);
    this.setUsable(agent, wasUsable);
  }

  private forgetTarget(agent: AgentRecord, instance: string): void {
    agent.targetInstance = instance;
    agent.health = replaceTarget(agent.health);
    this.setUsable(agent, false);
    agent.estimate = UNKNOWN_SLOWNESS;
    this.forgetEnd(agent);
  }

  private forgetEnd(agent: AgentRecord): void {
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
    const usual = this.slotSpeed / Math.max(1, this.usableSlots);
    agent.slowness = computeOptimisticSlowness(agent.estimate) * (usual || 1);
    this.refresh(agent);
  }

  private refresh(agent: AgentRecord): void {
    const {policy} = this.options;
    if (
      !agent.isUsable ||
      agent.isPaused ||
      policy.countFreeCapacity(agent) <= 0
    ) {
      this.tiers.move(agent, Tier.FULL);
      return;
    }
    const isPreferred = policy.isPreferred(agent);
    this.tiers.move(agent, isPreferred ? Tier.PREFERRED : Tier.OTHER);
  }
}
