/** What an entry keeps of each team: its part of the limits and what it uses. */
import {
  computeSlotShare,
  createRateBucket,
  decideRate,
  NO_LIMIT,
} from './team_limits.js';
import type {RateBucket} from './team_limits.js';

/** The limits of one team, over all entries. */
export interface TeamLimits {
  readonly name: string;
  readonly weight: number;
  readonly slotsAtMost: number;
  readonly tasksPerSecondAtMost: number;
}

interface TeamAccount {
  limits: TeamLimits;
  bucket: RateBucket | undefined;
  /** Own tasks of the team that are out at agents. */
  outstanding: number;
}

/** Counts what the teams use of this entry's part of their limits. */
export class TeamQuota {
  private readonly accounts = new Map<string, TeamAccount>();
  private entries = 1;

  private constructor() {}

  /** Creates a desk that knows no team. */
  static create(): TeamQuota {
    return new TeamQuota();
  }

  /** Takes the teams' limits and the number of live entries. */
  applyTeams(teams: Iterable<TeamLimits>, entries: number): void {
    this.entries = Math.max(1, entries);
    for (const limits of teams) this.ensure(limits.name).limits = limits;
  }

  /** Takes tasks from a team's rate; returns 0, or when to try again. */
  takeRate(team: string, tasks: number, nowMs: number): number {
    const account = this.ensure(team);
    const {tasksPerSecondAtMost} = account.limits;
    if (tasksPerSecondAtMost === NO_LIMIT) return 0;
    const perEntry = tasksPerSecondAtMost / this.entries;
    const decision = decideRate(
      account.bucket ?? createRateBucket(perEntry, nowMs),
      tasks,
      tasksPerSecondAtMost,
      this.entries,
      nowMs,
    );
    account.bucket = decision.bucket;
    return decision.retryAfterMs;
  }

  /** Counts a task as sent, or with -1 as back; tells whether the team is at its limit. */
  count(team: string, change: number): boolean {
    const account = this.ensure(team);
    account.outstanding = Math.max(0, account.outstanding + change);
    return this.isFull(team);
  }

  /** Tells whether a team uses all of its slots. */
  isFull(team: string): boolean {
    const {limits, outstanding} = this.ensure(team);
    return outstanding >= computeSlotShare(limits.slotsAtMost, this.entries);
  }

  private ensure(name: string): TeamAccount {
    const known = this.accounts.get(name);
    if (known !== undefined) return known;
    const account: TeamAccount = {
      limits: {
        name,
        weight: 1,
        slotsAtMost: NO_LIMIT,
        tasksPerSecondAtMost: NO_LIMIT,
      },
      bucket: undefined,
      outstanding: 0,
    };
    this.accounts.set(name, account);
    return account;
  }
}
