/** Creates the dispatcher of an entry from its settings. */
import {defer, readMonotonicMs, startTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {createPlacementPolicy} from '../decisions/choose_agent.js';
import {selectRankJob} from '../decisions/rank_job.js';
import type {EntrySettings} from '../settings/entry_settings.js';
import {Dispatcher} from './dispatcher.js';
import type {EntryReporter} from './entry_reporter.js';

/** What a dispatcher needs beside the settings. */
export interface DispatcherDependencies {
  readonly identity: ProcessIdentity;
  readonly reports: EntryReporter;
  /** Is told of the ended lives whose sessions are held here. */
  readonly publishHeld: (incarnations: readonly string[]) => void;
  /** Is told, as long as it lasts, that no job runs in a draining process. */
  readonly reportIdle: () => void;
}

/** Creates the dispatcher with the policies that the settings name. */
export function createDispatcher(
  settings: EntrySettings,
  parts: DispatcherDependencies,
): Dispatcher {
  const {sessions, limits, agents, placement} = settings;
  return Dispatcher.create({
    identity: parts.identity,
    keyTableLimits: sessions,
    limits,
    returnLimitMs: agents.returnLimitMs,
    policy: createPlacementPolicy(placement.policy),
    rankJob: selectRankJob(placement.order),
    readMonotonicMs,
    startTimer,
    defer,
    drawRandom: Math.random,
    publishHeld: parts.publishHeld,
    reportAgent: parts.reports.reportAgent,
    reportJob: parts.reports.reportJob,
    reportTask: parts.reports.reportTask,
    reportIdle: parts.reportIdle,
    reportFailure: parts.reports.reportFailure,
  });
}
