#!/usr/bin/env node
/** The `foxtailbay-entry` program, which accepts jobs from callers. */
import {runServerProgram} from './lib/core/server_program.js';
import {ENTRY_SETTINGS_SCHEMA} from './lib/settings/entry_settings.js';

const exitCode = await runServerProgram(
  {
    name: 'foxtailbay-entry',
    description: 'Takes jobs from callers and dispatches their tasks.',
    schema: ENTRY_SETTINGS_SCHEMA,
    create: async settings => {
      const {EntryProcess} = await import('./lib/entry/entry_process.js');
      const entry = await EntryProcess.create(settings);
      return {
        start: () => entry.start(),
        requestStop: () => entry.requestStop(),
        stopped: entry.stopped,
      };
    },
  },
  process.argv,
);

// Resources are released, but a call to an unreachable peer may be
// pending until its time limit, so the process exits explicitly.
process.exit(exitCode);
