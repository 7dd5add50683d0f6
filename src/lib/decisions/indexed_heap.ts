/** A binary heap that supports update and removal of any member. */

/** Returns a negative number if `a` comes before `b`. */
export type Compare<T> = (a: T, b: T) => number;

/** Binary min-heap with an index of positions; every change costs O(log n). */
export class IndexedHeap<T> {
  private readonly members: T[] = [];
  private readonly positions = new Map<T, number>();

  private constructor(private readonly compare: Compare<T>) {}

  /** Creates an empty heap. */
  static create<T>(compare: Compare<T>): IndexedHeap<T> {
    return new IndexedHeap(compare);
  }

  /** Number of members. */
  get size(): number {
    return this.members.length;
  }

  /** The first member, or undefined if the heap is empty. */
  get first(): T | undefined {
    return this.members[0];
  }

  /** Returns whether the heap contains the member. */
  has(member: T): boolean {
    return this.positions.has(member);
  }

  /** Adds a member, or updates its position if it is already in the heap. */
  add(member: T): void {
    if (this.has(member)) {
      this.update(member);
      return;
    }
    this.put(member, this.members.length);
    this.raise(this.members.length - 1);
  }

  /** Restores the heap order after a member's order has changed. */
  update(member: T): void {
    const position = this.positions.get(member);
    if (position === undefined) return;
    this.raise(position);
    this.lower(this.positions.get(member)!);
  }

  /** Removes a member; returns whether it was in the heap. */
  remove(member: T): boolean {
    const position = this.positions.get(member);
    if (position === undefined) return false;
    this.positions.delete(member);
    const last = this.members.pop()!;
    if (last !== member) {
      this.put(last, position);
      this.update(last);
    }
    return true;
  }

  private put(member: T, position: number): void {
    this.members[position] = member;
    this.positions.set(member, position);
  }

  private raise(start: number): void {
    let position = start;
    const member = this.members[position];
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (this.compare(member, this.members[parent]) >= 0) break;
      this.put(this.members[parent], position);
      position = parent;
    }
    this.put(member, position);
  }

  private lower(start: number): void {
    let position = start;
    const member = this.members[position];
    for (;;) {
      const child = this.findSmallerChild(position);
      if (child === undefined) break;
      if (this.compare(this.members[child], member) >= 0) break;
      this.put(this.members[child], position);
      position = child;
    }
    this.put(member, position);
  }

  private findSmallerChild(position: number): number | undefined {
    const left = 2 * position + 1;
    const right = left + 1;
    if (left >= this.members.length) return undefined;
    if (right >= this.members.length) return left;
    const isLeft = this.compare(this.members[left], this.members[right]) <= 0;
    return isLeft ? left : right;
  }
}
