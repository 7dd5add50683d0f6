/** Reads the processor time and memory of other processes from `/proc`. */
import {readFileSync} from 'node:fs';

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentBytes: number;
}

const MS_PER_TICK = 10;
const PAGE_BYTES = 4096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Reads the usage of a process; undefined if it has exited. */
export function readProcessUsage(id: number): ProcessUsage | undefined {
  let text: string;
  try {
    text = readFileSync(`/proc/${id}/stat`, 'utf8');
  } catch {
    return undefined;
  }
  // The second field is a name in parentheses that may contain spaces.
  const fields = text
    .slice(text.lastIndexOf(')') + 2)
    .split(' ')
    .map(Number);
  const ticks = fields[USER_TICKS_FIELD] + fields[SYSTEM_TICKS_FIELD];
  return {
    processorMs: ticks * MS_PER_TICK,
    residentBytes: fields[RESIDENT_PAGES_FIELD] * PAGE_BYTES,
  };
}

/** Sums the usage of several processes; those that have exited count as 0. */
export function sumProcessUsage(ids: readonly number[]): ProcessUsage {
  const total = {processorMs: 0, residentBytes: 0};
  for (const id of ids) {
    const usage = readProcessUsage(id);
    total.processorMs += usage?.processorMs ?? 0;
    total.residentBytes += usage?.residentBytes ?? 0;
  }
  return total;
}
