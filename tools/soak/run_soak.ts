/** Runs one seed of the soak and judges what the targets have seen. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {
  readMonotonicMs,
  readWallMs,
  startTimer,
} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {RunOutcome} from '../../stand_ins/fleet_target_run.js';
import {createRandom} from '../scenario/random.js';
import {Caller} from './caller.js';
import {drawFaults} from './draw_faults.js';
import {describeFault, nameProgram, Role} from './fault.js';
import type {SoakSize} from './fault.js';
import {FaultPlayer} from './fault_player.js';
import {readLogLines} from './log_lines.js';
import {RunHistory} from './run_history.js';
import type {ObservedRun, Overlap} from './run_history.js';
import {SoakFleet} from './soak_fleet.js';

/** Size, seed and duration of a run of the soak. */
export interface SoakOptions {
  readonly size: SoakSize;
  readonly seed: number;
  /** Duration of the faults, in milliseconds. */
  readonly durationMs: number;
  /** Whether settings and logs are kept. */
  readonly isKept: boolean;
}

/** Rules that a soak may break. */
export enum SoakRule {
  TWICE = 'two runs of one task at a time',
  CAPACITY = 'a start over capacity',
  OWN_END = 'a program ended by itself',
  NO_SERVICE = 'no job was served',
}

/** A broken rule, with the lines that show it. */
export interface SoakViolation {
  readonly rule: SoakRule;
  readonly detail: string;
  readonly logLines: readonly string[];
}

/** What a run of the soak has shown. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly SoakViolation[];
  readonly faults: readonly string[];
  readonly jobsServed: number;
  readonly jobsNotServed: number;
  readonly runs: number;
  readonly runsRepeated: number;
  readonly runsDone: number;
  /** Longest delay of the event loop on which the targets run. */
  readonly maxDelayMs: number;
  /** Folder of settings and logs, if they are kept. */
  readonly folder: string;
}

/** Time in milliseconds for agents to link to the entries before the faults. */
const LEAD_MS = 2000;

/** Further time in milliseconds for each agent, since all programs start at once. */
const LEAD_PER_AGENT_MS = 150;

/** Time in milliseconds with callers after the faults. */
const SETTLE_MS = 2500;

const CALLERS_PER_AGENT = 0.75;
const OK = 200;
const NS_PER_MS = 1e6;
const DELAY_RESOLUTION_MS = 10;

/** Time in milliseconds before the first and after the second start of a task. */
const LOG_MARGIN_MS = 500;

/** Starts a deployment, plays the faults of a seed and judges the runs. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {size, seed, durationMs, isKept} = options;
  const folder = mkdtempSync(join(tmpdir(), `foxtailbay-soak-${seed}-`));
  const store = DisposableStore.create();
  const removeFolder = () => rmSync(folder, {recursive: true, force: true});
  if (!isKept) {
    store.add(removeFolder);
    process.once('exit', removeFolder);
    store.add(() => void process.off('exit', removeFolder));
  }
  const history = RunHistory.create();
  const ownEnds: string[] = [];
  const statuses = new Map<number, number>();
  const delays = monitorEventLoopDelay({resolution: DELAY_RESOLUTION_MS});
  try {
    let startMs = readMonotonicMs();
    const fleet = await SoakFleet.create({
      size,
      folder,
      reportRun: (agent, report) =>
        history.record(agent, report, readMonotonicMs() - startMs),
      reportOwnEnd: detail => ownEnds.push(detail),
    });
    store.add(() => fleet.close());
    await pause(LEAD_MS + LEAD_PER_AGENT_MS * size.agents);
    // No run has started yet, so that all times count from here.
    startMs = readMonotonicMs();
    const startWallMs = readWallMs();
    delays.enable();
    const callers = Math.ceil(size.agents * CALLERS_PER_AGENT);
    for (let index = 0; index < callers; index += 1) {
      const caller = Caller.create({
        index,
        entryHosts: fleet.entryHosts,
        drawRandom: createRandom(seed * 1000 + index + 1),
        reportStatus: status =>
          statuses.set(status, (statuses.get(status) ?? 0) + 1),
      });
      store.add(() => caller.close());
    }
    const faults = drawFaults(size, durationMs, createRandom(seed));
    const player = FaultPlayer.create(fleet, faults, durationMs);
    store.add(() => player.close());
    await pause(durationMs + SETTLE_MS);
    const nowMs = readMonotonicMs() - startMs;
    const violations = history
      .findOverlaps(nowMs)
      .map(overlap => reportOverlap(overlap, folder, startWallMs));
    const add = (rule: SoakRule, detail: string) =>
      void violations.push({rule, detail, logLines: []});
    for (const detail of ownEnds) add(SoakRule.OWN_END, detail);
    for (const [agent, target] of fleet.targets.entries()) {
      const {overCapacity} = target.violations;
      if (overCapacity === 0) continue;
      add(SoakRule.CAPACITY, `target ${agent + 1}: ${overCapacity} starts`);
    }
    const jobsServed = statuses.get(OK) ?? 0;
    if (jobsServed === 0) {
      add(SoakRule.NO_SERVICE, `statuses: ${JSON.stringify([...statuses])}`);
    }
    const answers = [...statuses.values()].reduce((sum, part) => sum + part, 0);
    return {
      seed,
      violations,
      faults: faults.map(describeFault),
      jobsServed,
      jobsNotServed: answers - jobsServed,
      runs: history.runs.length,
      runsRepeated: history.runs.filter(({run}) => run > 1).length,
      runsDone: history.countEnded(RunOutcome.DONE),
      maxDelayMs: Math.round(delays.max / NS_PER_MS),
      folder: isKept ? folder : '',
    };
  } finally {
    delays.disable();
    await store.dispose();
  }
}

function reportOverlap(
  {earlier, later, durationMs}: Overlap,
  folder: string,
  startWallMs: number,
): SoakViolation {
  const agents = [earlier, later].map(({agent}) =>
    nameProgram({role: Role.AGENT, index: agent}),
  );
  const [job] = earlier.task.split('.');
  return {
    rule: SoakRule.TWICE,
    detail:
      `${earlier.task}: ${describeRun(earlier)} and ${describeRun(later)}, ` +
      `${Math.round(durationMs)} ms together`,
    logLines: readLogLines(folder, {
      words: [job, ...agents],
      fromMs: earlier.startedAtMs - LOG_MARGIN_MS,
      toMs: later.startedAtMs + LOG_MARGIN_MS,
      startMs: startWallMs,
    }),
  };
}

function describeRun(observed: ObservedRun): string {
  const {run, agent, startedAtMs, endedAtMs, outcome} = observed;
  const time = `${Math.round(startedAtMs)} to ${Math.round(endedAtMs)} ms`;
  return `run ${run} at target ${agent + 1}, ${time} (${outcome ?? 'running'})`;
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => startTimer(durationMs, resolve));
}
