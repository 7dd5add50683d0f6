/** A fleet whose targets crash, and what these have seen. */
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import type {FleetTarget} from '../../stand_ins/fleet_target.js';
import {RunOutcome} from '../../stand_ins/fleet_target_run.js';
import type {RunReport} from '../../stand_ins/fleet_target_run.js';
import {waitUntil} from '../wait_until.js';
import {call, FleetFixture} from './fleet_fixture.js';
import type {Reply, WrapConnection} from './fleet_fixture.js';

const DEADLINE_MS = 8000;

/** Names of the programs of a fleet, and what becomes of the agents' calls. */
export interface StartOptions {
  readonly entries: readonly string[];
  readonly targets: readonly string[];
  /** Returns how the calls of the agent of a target are changed. */
  readonly createWrapper: (name: string) => WrapConnection;
}

/** Starts a fleet, and counts the crashes under each task. */
export class RackFixture {
  /** Number of targets that crashed while a task was running there, by task. */
  readonly crashes = new Map<string, number>();
  readonly targets = new Map<string, FleetTarget>();
  /** Addresses of the entries for callers. */
  readonly callers: string[] = [];

  private constructor(readonly fleet: FleetFixture) {}

  static async create(): Promise<RackFixture> {
    return new RackFixture(await FleetFixture.create());
  }

  async start({entries, targets, createWrapper}: StartOptions): Promise<void> {
    const {fleet} = this;
    for (const name of entries) {
      this.callers.push((await fleet.startEntry(name)).callers);
    }
    for (const name of targets) {
      const {target} = await fleet.startTarget(
        name,
        {
          isDeadly: payload => payload.endsWith('/deadly'),
          reportRun: report => this.recordRun(report),
        },
        'zone-a',
        undefined,
        createWrapper(name),
      );
      this.targets.set(name, target);
    }
    await waitUntil('all targets accept orders', () =>
      targets.every(name => fleet.hasLogged(FleetEvent.TARGET_READY, name)),
    );
    for (const entry of entries) {
      await waitUntil(`${entry} knows all targets`, () => {
        const known = fleet.lines.filter(
          ({process, event}) =>
            process === entry && event === FleetEvent.AGENT_CONNECTED,
        );
        return known.length >= targets.length;
      });
    }
  }

  submit(path: string, body: unknown, entry = 0): Promise<Reply> {
    return call(this.callers[entry], 'POST', path, body, DEADLINE_MS);
  }

  /** Returns the name of the target on which the task of a job with one runs. */
  async findRunning(): Promise<string> {
    const names = [...this.targets.keys()];
    const isRunning = (name: string) =>
      (this.targets.get(name)?.listRunning().length ?? 0) > 0;
    await waitUntil('a task runs', () => names.some(isRunning));
    return names.find(isRunning) ?? '';
  }

  /** Ends targets at the same moment. */
  cutRack(names: readonly string[], delayMs?: number): void {
    for (const name of names) void this.targets.get(name)?.restart(delayMs);
  }

  /** Returns whether two targets had crashed while one task of a job ran there. */
  hasCrashedTwice(path: string): boolean {
    const job = path.split('/').at(-1) ?? '';
    return [...this.crashes].some(
      ([task, count]) => task.startsWith(`${job}.`) && count >= 2,
    );
  }

  listDeadly(): string[] {
    return this.fleet.targets.flatMap(({crashes}) => crashes);
  }

  private recordRun({task, outcome}: RunReport): void {
    if (outcome !== RunOutcome.CRASHED) return;
    this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
  }
}
