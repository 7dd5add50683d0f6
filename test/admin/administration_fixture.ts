/** An administration task on loopback with an in-memory store. */
import {request} from 'undici';
import {startTimer} from '../../src/lib/core/clock.js';
import {AdministrationTask} from '../../src/lib/admin/administration_task.js';
import type {AdministrationAction} from '../../src/lib/admin/request_executor.js';
import {ProcessRole} from '../../src/lib/admin/status_report.js';
import type {StatusReport} from '../../src/lib/admin/status_report.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {PlatformStore} from '../../src/lib/store/platform_store.js';

export const KEY = 'a key of sixteen';
export const PREFIX = '/f/';

/** Divisor of the task's delays, so that time-outs expire within a test. */
const TIME_SCALE = 50;

/** Reply to an HTTP call of a test. */
export interface TestReply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  // Tests read replies of many shapes.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  readonly body: any;
}

/** A running administration task and what it reported. */
export interface AdministrationFixture {
  readonly task: AdministrationTask;
  readonly actions: AdministrationAction[];
  readonly failures: unknown[];
  /** Revisions in force at the processes of the simulated fleet, by `role/id`. */
  readonly revisions: Map<string, number>;
  isMajority: boolean;
  readonly call: (
    method: string,
    path: string,
    options?: {body?: unknown; headers?: Record<string, string>; key?: string},
  ) => Promise<TestReply>;
}

/** Starts a task on a free port. */
export async function createAdministration(
  store: PlatformStore,
): Promise<AdministrationFixture> {
  const actions: AdministrationAction[] = [];
  const failures: unknown[] = [];
  const revisions = new Map([
    ['entry/entry-1', Number.MAX_SAFE_INTEGER],
    ['agent/agent-1', 0],
  ]);
  const fixture = {isMajority: true};
  const task = await AdministrationTask.create({
    store,
    prefix: PREFIX,
    host: '127.0.0.1',
    port: 0,
    key: KEY,
    readStatus: () => buildReport(revisions),
    awaitMajority: async () => fixture.isMajority,
    reportAction: action => actions.push(action),
    reportFailure: failure => failures.push(failure),
    startTimer: (delayMs, fire) => startTimer(delayMs / TIME_SCALE, fire),
    drawRandom: () => 0,
  });
  const call: AdministrationFixture['call'] = async (method, path, options) => {
    const {body, headers, key = KEY} = options ?? {};
    const reply = await request(`http://127.0.0.1:${task.port}${path}`, {
      method: method as 'GET',
      headers: {authorization: `Bearer ${key}`, ...headers},
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
    const text = await reply.body.text();
    return {
      status: reply.statusCode,
      headers: reply.headers,
      body: text === '' ? undefined : JSON.parse(text),
    };
  };
  return Object.assign(fixture, {task, actions, failures, revisions, call});
}

function buildReport(revisions: ReadonlyMap<string, number>): StatusReport {
  return {
    entry: 'entry-1',
    configurationRevision: 1,
    contact: StoreContact.CONFIRMED,
    targets: [],
    counters: {jobs: 7},
    processes: [...revisions].map(([name, configurationRevision]) => ({
      id: name.split('/')[1],
      role: name.startsWith('entry/') ? ProcessRole.ENTRY : ProcessRole.AGENT,
      incarnation: 'x',
      dataCentre: 'vn-south-a',
      configurationRevision,
      heardAgeMs: 0,
    })),
  };
}
