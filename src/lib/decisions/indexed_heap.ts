/** A binary heap from whose middle members can be removed. */

/** Returns a negative number when `a` comes before `b`. */
export type Compare<T> = (a: T, b: T) => number;

/** Keeps members in heap order; every change costs O(log n). */
export class IndexedHeap<T> {
  private readonly members: T[] = [];
  private readonly places = new Map<T, number>();

  private constructor(private readonly compare: Compare<T>) {}

  /** Creates an empty heap. */
  static create<T>(compare: Compare<T>): IndexedHeap<T> {
    return new IndexedHeap(compare);
  }

  /** Number of members. */
  get size(): number {
    return this.members.length;
  }

  /** The first member, or undefined. */
  get first(): T | undefined {
    return this.members[0];
  }

  /** Tells whether the heap holds the member. */
  has(member: T): boolean {
    return this.places.has(member);
  }

  /** Adds a member; one that is there already is put in its new place. */
  add(member: T): void {
    if (this.has(member)) {
      this.update(member);
      return;
    }
    this.put(member, this.members.length);
    this.raise(this.members.length - 1);
  }

  /** Puts a member in its place after its order has changed. */
  update(member: T): void {
    const place = this.places.get(member);
    if (place === undefined) return;
    this.raise(place);
    this.lower(this.places.get(member)!);
  }

  /** Removes a member; tells whether it was there. */
  remove(member: T): boolean {
    const place = this.places.get(member);
    if (place === undefined) return false;
    this.places.delete(member);
    const last = this.members.pop()!;
    if (last !== member) {
      this.put(last, place);
      this.update(last);
    }
    return true;
  }

  private put(member: T, place: number): void {
    this.members[place] = member;
    this.places.set(member, place);
  }

  private raise(start: number): void {
    let place = start;
    const member = this.members[place];
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (this.compare(member, this.members[parent]) >= 0) break;
      this.put(this.members[parent], place);
      place = parent;
    }
    this.put(member, place);
  }

  private lower(start: number): void {
    let place = start;
    const member = this.members[place];
    for (;;) {
      const child = this.findSmallerChild(place);
      if (child === undefined) break;
      if (this.compare(this.members[child], member) >= 0) break;
      this.put(this.members[child], place);
      place = child;
    }
    this.put(member, place);
  }

  private findSmallerChild(place: number): number | undefined {
    const left = 2 * place + 1;
    const right = left + 1;
    if (left >= this.members.length) return undefined;
    if (right >= this.members.length) return left;
    const isLeft = this.compare(this.members[left], this.members[right]) <= 0;
    return isLeft ? left : right;
  }
}
