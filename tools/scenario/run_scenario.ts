/** Runs one scenario from its first process to its verdict. */
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
import type {Observer} from './observer.js';
import {createRandom} from './random.js';
import {Scene} from './scene.js';
import {Timeline} from './timeline.js';

/** How a run went. */
export interface ScenarioReport {
  readonly isMet: boolean;
  readonly verdicts: readonly Verdict[];
  /** Why the steps did not reach their end, or empty. */
  readonly failure: string;
  readonly timeline: Timeline;
  readonly folder: string;
  readonly evidence: Evidence;
}

/** How to run a scenario. */
export interface RunOptions {
  /** Is called with each line of the timeline. */
  readonly show?: (line: string) => void;
  readonly seed?: number;
  /** Is called each second with what has been observed. */
  readonly showProgress?: (observer: Observer) => void;
}

const SEED_LIMIT = 2 ** 31;
const PROGRESS_PERIOD_MS = 1_000;

/** Runs a scenario; processes are ended whatever happens. */
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
  const scene = Scene.create({
    definition,
    fleet,
    clock: {readMs: readHostMs, startTimer},
    writeLine: timeline.write,
  });
  store.add(() => scene.dispose());
  const {showProgress = () => undefined} = options;
  store.add(
    repeatTimer(startTimer, PROGRESS_PERIOD_MS, () =>
      showProgress(scene.observer),
    ),
  );
  try {
    const failure = await playSteps(definition, scene, timeline);
    const evidence = await scene.collectEvidence();
    const verdicts = judgeEvidence(definition.expect, evidence);
    for (const verdict of verdicts) timeline.write(formatVerdict(verdict));
    const {folder} = fleet;
    const isMet = failure === '' && verdicts.every(verdict => verdict.isMet);
    return {isMet, verdicts, failure, timeline, folder, evidence};
  } finally {
    await store.dispose();
  }
}

/** Formats a verdict for the timeline. */
export function formatVerdict(verdict: Verdict): string {
  const word = verdict.isMet ? 'met   ' : 'MISSED';
  return `${word} ${verdict.expectation}: ${verdict.found}`;
}

async function playSteps(
  definition: ScenarioDefinition,
  scene: Scene,
  timeline: Timeline,
): Promise<string> {
  try {
    await scene.begin();
    const actions = createActions(scene);
    await interpretSteps(definition.steps, actions, timeline.write);
    await scene.finish();
    return '';
  } catch (failure) {
    const text = failure instanceof Error ? failure.message : String(failure);
    timeline.write(`FAILED ${text}`);
    return text;
  }
}
