/** Lists of agents with free capacity that change in constant time. */

/** Groups of agents that a policy tries together. */
export enum Tier {
  FULL = 'no-room',
  PREFERRED = 'preferred',
  OTHER = 'other',
}

/** Position of a member; only `TierLists` changes it. */
export interface TierMember {
  tier: Tier;
  /** Index in the list of its tier. */
  position: number;
}

/** Holds one unordered list of members for each tier with free capacity. */
export class TierLists<T extends TierMember> {
  private readonly lists = {
    [Tier.FULL]: undefined,
    [Tier.PREFERRED]: [] as T[],
    [Tier.OTHER]: [] as T[],
  };

  private constructor() {}

  /** Creates empty lists. */
  static create<T extends TierMember>(): TierLists<T> {
    return new TierLists<T>();
  }

  /** Members to try first, unordered. */
  get preferred(): readonly T[] {
    return this.lists[Tier.PREFERRED];
  }

  /** Members to try if no preferred one is chosen, unordered. */
  get others(): readonly T[] {
    return this.lists[Tier.OTHER];
  }

  /** Moves a member to another tier. */
  move(member: T, tier: Tier): void {
    if (member.tier === tier) return;
    this.take(member);
    member.tier = tier;
    const list = this.lists[tier];
    if (list !== undefined) member.position = list.push(member) - 1;
  }

  private take(member: T): void {
    const list = this.lists[member.tier];
    if (list === undefined) return;
    const last = list.pop()!;
    if (last === member) return;
    list[member.position] = last;
    last.position = member.position;
  }
}
