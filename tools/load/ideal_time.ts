/** Computes the ideal response time of a job, the baseline for measured ones. */

/** One run of a task, as recorded by its target. */
export interface RecordedRun {
  readonly job: number;
  readonly task: number;
  readonly target: number;
  readonly startMs: number;
  readonly endMs: number;
}

/** Properties of a target that the ideal response time depends on. */
export interface IdealTarget {
  readonly slots: number;
  readonly slowness: number;
  /** Network round-trip time from the entry. */
  readonly networkMs: number;
  /** Returns whether the target accepts tasks at the given time. */
  readonly isInService: (atMs: number) => boolean;
}

interface Slot {
  freeAtMs: number;
  readonly slowness: number;
  readonly networkMs: number;
}

/**
 * Returns the time from arrival to completion of a job that overtakes all waiting
 * jobs. Its tasks are assigned longest first, each to the slot that completes it
 * earliest; slots that run other jobs' tasks become free when those end. Returns
 * `Infinity` if no target is in service.
 */
export function computeIdealMs(
  runTimesMs: readonly number[],
  arrivalMs: number,
  targets: readonly IdealTarget[],
  otherRuns: readonly RecordedRun[],
): number {
  const slots = listSlots(arrivalMs, targets, otherRuns);
  if (slots.length === 0) return Infinity;
  const longestFirst = [...runTimesMs].sort((a, b) => b - a);
  let endMs = 0;
  for (const runMs of longestFirst) {
    const slot = findEarliestSlot(slots, runMs);
    slot.freeAtMs += runMs * slot.slowness;
    endMs = Math.max(endMs, slot.freeAtMs + slot.networkMs);
  }
  return endMs;
}

/** Lists the runs in progress at a time; `runs` must be sorted by start. */
export function listActiveRuns(
  runs: readonly RecordedRun[],
  atMs: number,
  longestRunMs: number,
): RecordedRun[] {
  const found: RecordedRun[] = [];
  for (
    let index = findFirstStartAfter(runs, atMs) - 1;
    index >= 0;
    index -= 1
  ) {
    if (runs[index].startMs < atMs - longestRunMs) break;
    if (runs[index].endMs > atMs) found.push(runs[index]);
  }
  return found;
}

function findFirstStartAfter(
  runs: readonly RecordedRun[],
  atMs: number,
): number {
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
  otherRuns: readonly RecordedRun[],
): Slot[] {
  return targets.flatMap((target, number) => {
    if (!target.isInService(arrivalMs)) return [];
    const busyMs = otherRuns
      .filter(run => run.target === number)
      .map(run => run.endMs - arrivalMs);
    const {slowness, networkMs} = target;
    return Array.from({length: target.slots}, (_, slot) => {
      const freeAtMs = Math.max(0, busyMs[slot] ?? 0);
      return {freeAtMs, slowness, networkMs};
    });
  });
}

function findEarliestSlot(slots: readonly Slot[], runMs: number): Slot {
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
