/** Quota of each team at one entry: its share of the limits and its usage. */
import {
  computeSlotShare,
  createRateBucket,
  decideRate,
  NO_LIMIT,
} from './team_limits.js';
import type {RateBucket} from './team_limits.js';

/** Limits of one team over all entries. */
export interface TeamLimits {
  readonly name: string;
  readonly weight: number;
  readonly slotsAtMost: number;
  readonly tasksPerSecondAtMost: number;
}

interface TeamUsage {
  limits: TeamLimits;
  bucket: RateBucket | undefined;
  /** Tasks of the team that this entry has sent to agents and that have not ended. */
  outstanding: number;
}

/** Tracks the teams' usage of this entry's share of their limits. */
export class TeamQuota {
  private readonly usages = new Map<string, TeamUsage>();
  private entries = 1;

  private constructor() {}

  /** Creates an instance without teams. */
  static create(): TeamQuota {
    return new TeamQuota();
  }

  /** Applies the teams' limits and the number of live entries. */
  applyTeams(teams: Iterable<TeamLimits>, entries: number): void {
    this.entries = Math.max(1, entries);
    for (const limits of teams) this.ensure(limits.name).limits = limits;
  }

  /** Charges tasks to a team's rate; returns 0, or the retry delay in milliseconds. */
  takeRate(team: string, tasks: number, nowMs: number): number {
    const usage = this.ensure(team);
    const {tasksPerSecondAtMost} = usage.limits;
    if (tasksPerSecondAtMost === NO_LIMIT) return 0;
    const perEntry = tasksPerSecondAtMost / this.entries;
    const decision = decideRate(
      usage.bucket ?? createRateBucket(perEntry, nowMs),
      tasks,
      tasksPerSecondAtMost,
      this.entries,
      nowMs,
    );
    usage.bucket = decision.bucket;
    return decision.retryAfterMs;
  }

  /**
   * Changes the number of a team's outstanding tasks, by 1 for a task sent and -1
   * for one ended or returned; returns whether the team is at its limit.
   */
  changeOutstanding(team: string, change: number): boolean {
    const usage = this.ensure(team);
    usage.outstanding = Math.max(0, usage.outstanding + change);
    return this.isFull(team);
  }

  /** Returns whether a team uses all of its slots. */
  isFull(team: string): boolean {
    const {limits, outstanding} = this.ensure(team);
    return outstanding >= computeSlotShare(limits.slotsAtMost, this.entries);
  }

  private ensure(name: string): TeamUsage {
    const known = this.usages.get(name);
    if (known !== undefined) return known;
    const usage: TeamUsage = {
      limits: {
        name,
        weight: 1,
        slotsAtMost: NO_LIMIT,
        tasksPerSecondAtMost: NO_LIMIT,
      },
      bucket: undefined,
      outstanding: 0,
    };
    this.usages.set(name, usage);
    return usage;
  }
}
