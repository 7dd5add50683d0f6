/** Runs one scenario: starts its processes, runs its steps and evaluates it. */
import {randomInt} from 'node:crypto';
import {repeatTimer, startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {createActions} from './actions.js';
import type {ScenarioDefinition} from './definition.js';
import type {Evidence} from './evidence.js';
import {Fleet} from './fleet.js';
import {readHostMs} from './host_clock.js';
import {interpretSteps} from './interpret_steps.js';
import {judgeEvidence} from './judge.js';
import type {Verdict} from './judge.js';
import type {EvidenceCollector} from './evidence_collector.js';
import {createRandom} from './random.js';
import {ScenarioContext} from './scenario_context.js';
import {Timeline} from './timeline.js';

/** Result of a scenario run. */
export interface ScenarioReport {
  readonly isMet: boolean;
  readonly verdicts: readonly Verdict[];
  /** Why the steps were aborted, or empty. */
  readonly failure: string;
  readonly timeline: Timeline;
  readonly folder: string;
  readonly evidence: Evidence;
}

/** Options of a scenario run. */
export interface RunOptions {
  /** Called with each line of the timeline. */
  readonly show?: (line: string) => void;
  readonly seed?: number;
  /** Called once a second with the observations so far. */
  readonly showProgress?: (collector: EvidenceCollector) => void;
}

const SEED_LIMIT = 2 ** 31;
const PROGRESS_INTERVAL_MS = 1_000;

/** Runs a scenario; its processes are killed even if it fails. */
export async function runScenario(
  definition: ScenarioDefinition,
  options: RunOptions = {},
): Promise<ScenarioReport> {
  const timeline = Timeline.create(readHostMs, options.show);
  const seed = options.seed ?? randomInt(SEED_LIMIT);
  const store = DisposableStore.create();
  const fleet = await Fleet.create({
    definition: definition.fleet,
    drawRandom: createRandom(seed),
    startTimer,
  });
  store.add(() => fleet.dispose());
  timeline.write(`${definition.title} (seed ${seed}, output ${fleet.folder})`);
  const context = ScenarioContext.create({
    definition,
    fleet,
    clock: {readMs: readHostMs, startTimer},
    writeLine: timeline.write,
  });
  store.add(() => context.dispose());
  const {showProgress = () => undefined} = options;
  store.add(
    repeatTimer(startTimer, PROGRESS_INTERVAL_MS, () =>
      showProgress(context.evidence),
    ),
  );
  try {
    const failure = await runSteps(definition, context, timeline);
    const evidence = await context.collectEvidence();
    const verdicts = judgeEvidence(definition.expect, evidence);
    for (const verdict of verdicts) timeline.write(formatVerdict(verdict));
    const {folder} = fleet;
    const isMet = failure === '' && verdicts.every(verdict => verdict.isMet);
    return {isMet, verdicts, failure, timeline, folder, evidence};
  } finally {
    await store.dispose();
  }
}

/** Formats a verdict as a line of the timeline. */
export function formatVerdict(verdict: Verdict): string {
  const label = verdict.isMet ? 'met   ' : 'MISSED';
  return `${label} ${verdict.expectation}: ${verdict.found}`;
}

async function runSteps(
  definition: ScenarioDefinition,
  context: ScenarioContext,
  timeline: Timeline,
): Promise<string> {
  try {
    await context.begin();
    const actions = createActions(context);
    await interpretSteps(definition.steps, actions, timeline.write);
    await context.finish();
    return '';
  } catch (failure) {
    const text = failure instanceof Error ? failure.message : String(failure);
    timeline.write(`FAILED ${text}`);
    return text;
  }
}
