/** Applies the faults of a soak to its deployment at their times. */
import {repeatTimer, startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {composeRules, FaultKind, nameProgram} from './fault.js';
import type {Fault, ProgramId} from './fault.js';
import {RelayMessageKind} from './relay_messages.js';
import type {SoakFleet} from './soak_fleet.js';

/** Plays faults; those that would last longer than the soak end with it. */
export class FaultPlayer {
  private readonly store = DisposableStore.create();
  /** Faults that change the rules of links at present. */
  private readonly linkFaults = new Set<Fault>();
  /** Number of faults that stop a program at present, by its name. */
  private readonly freezes = new Map<string, number>();

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly durationMs: number,
  ) {}

  /** Starts to play faults, whose times count from now. */
  static create(
    fleet: SoakFleet,
    faults: readonly Fault[],
    durationMs: number,
  ): FaultPlayer {
    const player = new FaultPlayer(fleet, durationMs);
    for (const fault of faults) {
      if (fault.atMs >= durationMs) continue;
      player.store.add(startTimer(fault.atMs, () => player.begin(fault)));
    }
    return player;
  }

  /** Stops playing. */
  close(): Promise<void> {
    return this.store.dispose();
  }

  private begin(fault: Fault): void {
    const lastMs = Math.min(fault.durationMs, this.durationMs - fault.atMs);
    const end = (run: () => void) => this.store.add(startTimer(lastMs, run));
    const {program} = fault;
    switch (fault.kind) {
      case FaultKind.FREEZE:
        this.changeFreezes(program, 1);
        return end(() => this.changeFreezes(program, -1));
      case FaultKind.TERMINATE:
        return this.fleet
          .getProgram(program)
          .restart('SIGTERM', fault.durationMs);
      case FaultKind.KILL:
        return this.fleet
          .getProgram(program)
          .restart('SIGKILL', fault.durationMs);
      case FaultKind.CRASH: {
        const up = fault.agents.map(agent => this.fleet.targets[agent]);
        for (const target of up) if (target.isOpen) void target.restart();
        return;
      }
      case FaultKind.RESET:
        return this.resetLinks(fault);
      case FaultKind.RESETS: {
        const stop = repeatTimer(startTimer, fault.delayMs, () =>
          this.resetLinks(fault),
        );
        this.store.add(stop);
        return end(stop);
      }
      case FaultKind.HOLD:
      case FaultKind.LOSE:
      case FaultKind.DELAY:
      case FaultKind.REFUSE:
        this.linkFaults.add(fault);
        this.applyRules(fault);
        return end(() => {
          this.linkFaults.delete(fault);
          this.applyRules(fault);
        });
    }
  }

  /** Stops a program while at least one fault does so. */
  private changeFreezes(id: ProgramId, change: number): void {
    const name = nameProgram(id);
    const count = (this.freezes.get(name) ?? 0) + change;
    this.freezes.set(name, count);
    this.fleet.getProgram(id).signal(count > 0 ? 'SIGSTOP' : 'SIGCONT');
  }

  private resetLinks(fault: Fault): void {
    this.visitLinks(fault, (agent, entry) =>
      this.fleet.sendToRelay({kind: RelayMessageKind.RESET, agent, entry}),
    );
  }

  private applyRules(changed: Fault): void {
    const active = [...this.linkFaults];
    this.visitLinks(changed, (agent, entry) => {
      const applied = active.filter(
        fault => fault.agents.includes(agent) && fault.entries.includes(entry),
      );
      const isRefusing = applied.some(({kind}) => kind === FaultKind.REFUSE);
      const rules = composeRules(applied);
      const kind = RelayMessageKind.RULES;
      this.fleet.sendToRelay({kind, agent, entry, rules, isRefusing});
    });
  }

  private visitLinks(
    {agents, entries}: Fault,
    visit: (agent: number, entry: number) => void,
  ): void {
    for (const agent of agents) {
      for (const entry of entries) {
        visit(agent, entry);
      }
    }
  }
}
