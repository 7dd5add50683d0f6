/** Runs one variant of a load against a fleet and records the results. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {readMonotonicMs, startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import type {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import type {JobOrder} from '../../src/lib/decisions/rank_job.js';
import {Callers} from './caller.js';
import type {JobOutcome} from './caller.js';
import {Fleet, ProcessKind} from './fleet.js';
import {callJson} from './http_client.js';
import type {RecordedRun} from './ideal_time.js';
import {performEvent} from './load_events.js';
import {createPlan} from './load_plan.js';
import type {PlannedJob} from './load_plan.js';
import type {LoadSettings} from './load_settings.js';
import {sumProcessUsage} from './process_usage.js';
import {createRandom} from './random.js';

/** Policy, job order and seed of a run, in which the runs of a load differ. */
export interface RunVariant {
  readonly policy: PlacementKind;
  readonly order: JobOrder;
  readonly seed: number;
}

/** Counters from the status of an entry, by name. */
export type EntryCounters = Readonly<Record<string, number>>;

/** Raw results of a run; times are relative to the start of the load. */
export interface RunRecord {
  readonly variant: RunVariant;
  readonly plan: readonly PlannedJob[];
  readonly outcomes: readonly JobOutcome[];
  /** Every run of a task, sorted by its start. */
  readonly runs: readonly RecordedRun[];
  /** Sums over the entries; empty if no entry returned its status. */
  readonly counters: EntryCounters;
  /** Number of store requests during the load. */
  readonly storeCalls: number;
  readonly usage: {
    readonly entryProcessorMs: number;
    readonly agentProcessorMs: number;
    readonly entryResidentBytes: number;
    readonly agentResidentBytes: number;
  };
  /** Maximum event-loop delay of this tool, which adds error to its measurements. */
  readonly loopDelayMs: number;
}

const LOOP_SAMPLE_INTERVAL_MS = 20;
const NANOSECONDS_PER_MS = 1e6;

/** Milliseconds for agents to connect and their ramps to complete. */
const SETTLE_MS = 4000;

/** Starts a fleet, runs one variant of a load against it and stops the fleet. */
export async function runLoad(
  settings: LoadSettings,
  variant: RunVariant,
): Promise<RunRecord> {
  const store = DisposableStore.create();
  try {
    const fleet = await Fleet.create({
      settings: settings.fleet,
      teams: settings.load.teams,
      policy: variant.policy,
      order: variant.order,
      agentOneWayMs: settings.network.agentOneWayMs,
      folder: mkdtempSync(join(tmpdir(), 'foxtailbay-load-')),
    });
    store.add(() => fleet.stop());
    await waitMs(SETTLE_MS);
    return await performLoad(settings, variant, fleet, store);
  } finally {
    await store.dispose();
  }
}

async function performLoad(
  settings: LoadSettings,
  variant: RunVariant,
  fleet: Fleet,
  store: DisposableStore,
): Promise<RunRecord> {
  const plan = createPlan(settings, createRandom(variant.seed));
  const outcomes: JobOutcome[] = [];
  const startAtMs = readMonotonicMs();
  const hostStartMs = readHostClockMs();
  const callers = Callers.create({
    entryPorts: fleet.entryPorts.map(ports => ports.callers),
    deadlineMs: settings.load.deadlineMs,
    readMonotonicMs,
    startAtMs,
    reportOutcome: outcome => void outcomes.push(outcome),
  });
  store.add(() => callers.stop());
  const storeBefore = await fleet.readStoreCounts();
  const before = readUsage(fleet);
  const loop = watchLoopDelay();
  store.add(loop.stop);
  callers.schedule(plan);
  scheduleEvents(settings, fleet, callers, store);
  await waitMs(settings.warmUpMs + settings.durationMs);
  const after = readUsage(fleet);
  await awaitResponses(callers, settings.drainMs);
  const storeAfter = await fleet.readStoreCounts();
  return {
    variant,
    plan,
    outcomes,
    runs: await readRuns(fleet, settings.fleet.targets, hostStartMs),
    counters: await readCounters(fleet),
    storeCalls: storeAfter.total - storeBefore.total,
    usage: {
      entryProcessorMs: after.entries.processorMs - before.entries.processorMs,
      agentProcessorMs: after.agents.processorMs - before.agents.processorMs,
      entryResidentBytes: after.entries.residentBytes,
      agentResidentBytes: after.agents.residentBytes,
    },
    loopDelayMs: loop.readMaxMs(),
  };
}

function scheduleEvents(
  settings: LoadSettings,
  fleet: Fleet,
  callers: Callers,
  store: DisposableStore,
): void {
  for (const event of settings.events) {
    const performScheduled = () => {
      performEvent(event, fleet, callers).catch((failure: unknown) =>
        process.emitWarning(`${event.kind}: ${String(failure)}`),
      );
    };
    store.add(startTimer(event.atMs, performScheduled));
  }
}

function awaitResponses(callers: Callers, limitMs: number): Promise<void> {
  return new Promise(resolve => {
    const cancel = startTimer(limitMs, resolve);
    void callers.answered.then(() => {
      cancel();
      resolve();
    });
  });
}

function readUsage(fleet: Fleet) {
  return {
    entries: sumProcessUsage(fleet.listProcessIds(ProcessKind.ENTRY)),
    agents: sumProcessUsage(fleet.listProcessIds(ProcessKind.AGENT)),
  };
}

interface TargetStart {
  readonly id: string | null;
  readonly startMs: number;
  readonly endMs: number | null;
}

async function readRuns(
  fleet: Fleet,
  targets: number,
  hostStartMs: number,
): Promise<RecordedRun[]> {
  const runs: RecordedRun[] = [];
  for (let target = 0; target < targets; target += 1) {
    const record = await fleet.readTargetRecord(target);
    const starts = (record as {starts: TargetStart[]} | undefined)?.starts;
    for (const start of starts ?? []) {
      const [job, task] = (start.id ?? '').split('/').map(Number);
      const startMs = start.startMs - hostStartMs;
      const endMs = (start.endMs ?? Infinity) - hostStartMs;
      runs.push({job, task, target, startMs, endMs});
    }
  }
  return runs.sort((a, b) => a.startMs - b.startMs);
}

async function readCounters(fleet: Fleet): Promise<EntryCounters> {
  const sums: Record<string, number> = {};
  for (const {administration} of fleet.entryPorts) {
    try {
      const {counters} = await callJson<{counters: EntryCounters}>({
        port: administration,
        path: '/v1/status',
      });
      for (const [name, count] of Object.entries(counters)) {
        sums[name] = (sums[name] ?? 0) + count;
      }
    } catch (failure) {
      process.emitWarning(`Entry status not available: ${String(failure)}`);
    }
  }
  return sums;
}

function watchLoopDelay() {
  let maxMs = 0;
  let lastMs = readMonotonicMs();
  const handle = setInterval(() => {
    const nowMs = readMonotonicMs();
    maxMs = Math.max(maxMs, nowMs - lastMs - LOOP_SAMPLE_INTERVAL_MS);
    lastMs = nowMs;
  }, LOOP_SAMPLE_INTERVAL_MS);
  return {
    readMaxMs: () => maxMs,
    stop: () => clearInterval(handle),
  };
}

function readHostClockMs(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => void startTimer(delayMs, resolve));
}
