/** The shortest time in which a job could have been answered. */

/** One run of a task, as its target recorded it. */
export interface RecordedRun {
  readonly job: number;
  readonly task: number;
  readonly target: number;
  readonly startMs: number;
  readonly endMs: number;
}

/** One target as the ideal sees it. */
export interface IdealTarget {
  readonly slots: number;
  readonly slowness: number;
  /** Round trip from the entry. */
  readonly networkMs: number;
  /** Tells whether the target takes tasks at a time. */
  readonly isInService: (atMs: number) => boolean;
}

interface Slot {
  freeAtMs: number;
  readonly slowness: number;
  readonly networkMs: number;
}

/**
 * Returns the time from arrival in which the fleet could have ended a job that
 * passed all waiting ones: longest task first, each on the slot that ends it
 * soonest, with the slots that ran other jobs' tasks free when those ended.
 */
export function computeIdealMs(
  runTimesMs: readonly number[],
  arrivalMs: number,
  targets: readonly IdealTarget[],
  others: readonly RecordedRun[],
): number {
  const slots = listSlots(arrivalMs, targets, others);
  if (slots.length === 0) return Infinity;
  const longestFirst = [...runTimesMs].sort((a, b) => b - a);
  let endMs = 0;
  for (const runMs of longestFirst) {
    const slot = findSoonest(slots, runMs);
    slot.freeAtMs += runMs * slot.slowness;
    endMs = Math.max(endMs, slot.freeAtMs + slot.networkMs);
  }
  return endMs;
}

/** Lists the runs that go on at a time, from runs sorted by their start. */
export function listRunsAt(
  runs: readonly RecordedRun[],
  atMs: number,
  longestRunMs: number,
): RecordedRun[] {
  const found: RecordedRun[] = [];
  for (let index = findFirstAfter(runs, atMs) - 1; index >= 0; index -= 1) {
    if (runs[index].startMs < atMs - longestRunMs) break;
    if (runs[index].endMs > atMs) found.push(runs[index]);
  }
  return found;
}

function findFirstAfter(runs: readonly RecordedRun[], atMs: number): number {
  let low = 0;
  let high = runs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (runs[middle].startMs <= atMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

function listSlots(
  arrivalMs: number,
  targets: readonly IdealTarget[],
  others: readonly RecordedRun[],
): Slot[] {
  return targets.flatMap((target, number) => {
    if (!target.isInService(arrivalMs)) return [];
    const busyMs = others
      .filter(run => run.target === number)
      .map(run => run.endMs - arrivalMs);
    const {slowness, networkMs} = target;
    return Array.from({length: target.slots}, (_, slot) => {
      const freeAtMs = Math.max(0, busyMs[slot] ?? 0);
      return {freeAtMs, slowness, networkMs};
    });
  });
}

function findSoonest(slots: readonly Slot[], runMs: number): Slot {
  let best = slots[0];
  let bestMs = Infinity;
  for (const slot of slots) {
    const endMs = slot.freeAtMs + runMs * slot.slowness + slot.networkMs;
    if (endMs >= bestMs) continue;
    best = slot;
    bestMs = endMs;
  }
  return best;
}
