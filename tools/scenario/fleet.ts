/** The processes of one scenario and their addresses. */
import {writeFileSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify} from 'yaml';
import type {DrawRandom, StartTimer} from '../../src/lib/core/clock.js';
import {ChildProcessTask, ProcessState} from './child_process_task.js';
import type {FleetDefinition} from './definition.js';
import {Listener, ProcessKind, formatAddress, planFleet} from './fleet_plan.js';
import type {FindPort, ProcessPlan} from './fleet_plan.js';
import {createPortFinder, findFreePorts} from './free_ports.js';
import {ScenarioError} from './scenario_error.js';

/** Definition and dependencies of a `Fleet`. */
export interface FleetOptions {
  readonly definition: FleetDefinition;
  readonly drawRandom: DrawRandom;
  readonly startTimer: StartTimer;
}

const PORTS_PER_PROCESS = 3;
const STORE_AND_RELAY_KINDS: readonly ProcessKind[] = [
  ProcessKind.STORE,
  ProcessKind.RELAY,
];
const SERVICE_KINDS: readonly ProcessKind[] = [
  ProcessKind.ENTRY,
  ProcessKind.AGENT,
  ProcessKind.BALANCER,
];

/** Owns the processes of a scenario. */
export class Fleet {
  private readonly processes = new Map<string, ChildProcessTask>();

  private constructor(
    readonly plans: readonly ProcessPlan[],
    /** Folder that holds the settings and the output of the processes. */
    readonly folder: string,
    private readonly findPort: FindPort,
    private readonly definition: FleetDefinition,
    startTimer: StartTimer,
  ) {
    for (const plan of plans) {
      this.processes.set(plan.name, createProcess(plan, folder, startTimer));
    }
  }

  /** Allocates ports and plans the processes; none is started yet. */
  static async create(options: FleetOptions): Promise<Fleet> {
    const {definition, drawRandom, startTimer} = options;
    const folder = await mkdtemp(join(tmpdir(), 'foxtailbay-'));
    const count =
      2 + definition.entries + 2 * definition.agents + definition.relays.length;
    const ports = await findFreePorts(count * PORTS_PER_PROCESS, drawRandom);
    const findPort = createPortFinder(ports);
    const plans = planFleet(definition, findPort);
    return new Fleet(plans, folder, findPort, definition, startTimer);
  }

  /** Starts the store and the relays, to which the other processes connect. */
  startStoreAndRelays(): Promise<void> {
    return this.start(this.listInitial(STORE_AND_RELAY_KINDS));
  }

  /** Starts all other processes that are not marked `later`; targets last. */
  async startServices(): Promise<void> {
    await this.start(this.listInitial(SERVICE_KINDS));
    await this.start(this.listInitial([ProcessKind.TARGET]));
  }

  /** Starts processes and resolves when all of them are ready. */
  async start(names: readonly string[]): Promise<void> {
    await Promise.all(names.map(name => this.findProcess(name).start()));
  }

  /** Returns the task of a process. @throws ScenarioError if the name is unknown. */
  findProcess(name: string): ChildProcessTask {
    const found = this.processes.get(name);
    if (found === undefined) {
      throw new ScenarioError(`Unknown process "${name}".`);
    }
    return found;
  }

  /** Returns the plan of a process. @throws ScenarioError if the name is unknown. */
  findPlan(name: string): ProcessPlan {
    const found = this.plans.find(plan => plan.name === name);
    if (found === undefined) {
      throw new ScenarioError(`Unknown process "${name}".`);
    }
    return found;
  }

  /** Lists the processes of a kind that are serving. */
  listServing(kind: ProcessKind): ProcessPlan[] {
    return this.plans.filter(
      plan =>
        plan.kind === kind &&
        this.findProcess(plan.name).state === ProcessState.SERVING,
    );
  }

  /** Returns the HTTP address of one of a process's listeners. */
  findAddress(name: string, listener: Listener): string {
    return formatAddress(this.findPort(name, listener));
  }

  /** Returns the address for callers of an entry or balancer, through its relay if it has one. */
  findCallersAddress(name: string): string {
    const relay = this.definition.relays.find(
      ({place, process}) => place === 'callers' && process === name,
    );
    if (relay !== undefined) {
      return this.findAddress(relay.name, Listener.MAIN);
    }
    const isEntry = this.findPlan(name).kind === ProcessKind.ENTRY;
    return this.findAddress(name, isEntry ? Listener.CALLERS : Listener.MAIN);
  }

  private listInitial(kinds: readonly ProcessKind[]): string[] {
    return this.plans
      .filter(plan => !this.definition.later.includes(plan.name))
      .filter(plan => kinds.includes(plan.kind))
      .map(plan => plan.name);
  }

  /** Kills the processes that still run. */
  async dispose(): Promise<void> {
    const all = [...this.processes.values()];
    await Promise.all(all.map(task => task.dispose()));
  }
}

function createProcess(
  plan: ProcessPlan,
  folder: string,
  startTimer: StartTimer,
): ChildProcessTask {
  const settingsArguments: string[] = [];
  if (plan.settings !== undefined) {
    const path = join(folder, `${plan.name}.yaml`);
    writeFileSync(path, stringify(plan.settings));
    settingsArguments.push('--settings', path);
  }
  const program = new URL(`../../${plan.program}`, import.meta.url);
  return ChildProcessTask.create({
    name: plan.name,
    program: fileURLToPath(program),
    programArguments: [...plan.programArguments, ...settingsArguments],
    outputFile: join(folder, `${plan.name}.log`),
    startTimer,
  });
}
