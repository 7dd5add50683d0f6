/** Creates the dispatcher of an entry from its settings. */
import {defer, readMonotonicMs, startTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {createPlacementPolicy} from '../decisions/choose_agent.js';
import {selectRankJob} from '../decisions/rank_job.js';
import type {EntrySettings} from '../settings/entry_settings.js';
import {Dispatcher} from './dispatcher.js';
import type {EntryReporter} from './entry_reporter.js';

/** Dependencies of a dispatcher that do not come from the settings. */
export interface DispatcherDependencies {
  readonly identity: ProcessIdentity;
  readonly reporter: EntryReporter;
  /** Receives the ended incarnations whose sessions are held here. */
  readonly publishHeld: (incarnations: readonly string[]) => void;
  /** Called repeatedly while no job runs in a draining process. */
  readonly reportIdle: () => void;
}

/** Creates the dispatcher with the policies selected in the settings. */
export function createDispatcher(
  settings: EntrySettings,
  dependencies: DispatcherDependencies,
): Dispatcher {
  const {sessions, limits, agents, placement} = settings;
  return Dispatcher.create({
    identity: dependencies.identity,
    keyTableLimits: sessions,
    limits,
    returnLimitMs: agents.returnLimitMs,
    policy: createPlacementPolicy(placement.policy),
    rankJob: selectRankJob(placement.order),
    readMonotonicMs,
    startTimer,
    defer,
    drawRandom: Math.random,
    publishHeld: dependencies.publishHeld,
    reportAgent: dependencies.reporter.reportAgent,
    reportJob: dependencies.reporter.reportJob,
    reportTask: dependencies.reporter.reportTask,
    reportIdle: dependencies.reportIdle,
    reportFailure: dependencies.reporter.reportFailure,
  });
}
