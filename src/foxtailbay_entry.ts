#!/usr/bin/env node
/** Starts an entry. */
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

// Everything is released; a call to a dead peer may still wait for its limit.
process.exit(exitCode);
