#!/usr/bin/env -S node --max-semi-space-size=1 --single-threaded
/** The `foxtailbay-agent` program, which runs beside a target. */
import {runServerProgram} from './lib/core/server_program.js';
import {AGENT_SETTINGS_SCHEMA} from './lib/settings/agent_settings.js';

const exitCode = await runServerProgram(
  {
    name: 'foxtailbay-agent',
    description: 'Runs tasks on the target beside it.',
    schema: AGENT_SETTINGS_SCHEMA,
    create: async settings => {
      const {AgentProcess} = await import('./lib/agent/agent_process.js');
      const agent = await AgentProcess.create(settings);
      return {
        start: () => agent.start(),
        requestStop: () => agent.requestStop(),
        stopped: agent.stopped,
      };
    },
  },
  process.argv,
);

// Resources are released, but a call to an unreachable peer may be
// pending until its time limit, so the process exits explicitly.
process.exit(exitCode);
