/** Applies the faults of a soak to its deployment at their times. */
import {repeatTimer, startTimer} from '../../src/lib/core/clock.js';
import type {StopTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {FaultKind} from './fault.js';
import type {Fault, LinkFault, ProgramId} from './fault.js';
import type {AgentRelay} from './agent_relay.js';
import {composeRule} from './link_rule.js';
import type {SoakFleet} from './soak_fleet.js';

/** Plays faults; those that last longer than the soak end with it. */
export class FaultPlayer {
  private readonly store = DisposableStore.create();
  private readonly activeFaults = new Set<LinkFault>();
  /** Number of faults that stop a program, by role and number. */
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
      player.schedule(fault.atMs, () => player.begin(fault));
    }
    return player;
  }

  /** Drops the faults that have not begun. */
  close(): Promise<void> {
    return this.store.dispose();
  }

  private schedule(atMs: number, fire: () => void): void {
    this.store.add(startTimer(Math.min(atMs, this.durationMs), fire));
  }

  private begin(fault: Fault): void {
    const restMs = Math.max(0, this.durationMs - fault.atMs);
    const end = (run: () => void) =>
      void this.store.add(startTimer(Math.min(restMs, fault.durationMs), run));
    switch (fault.kind) {
      case FaultKind.FREEZE:
        this.changeFreezes(fault.program, 1);
        return end(() => this.changeFreezes(fault.program, -1));
      case FaultKind.TERMINATE:
      case FaultKind.KILL: {
        const isKill = fault.kind === FaultKind.KILL;
        const program = this.fleet.getProgram(fault.program);
        program.restart(isKill ? 'SIGKILL' : 'SIGTERM', fault.durationMs);
        return;
      }
      case FaultKind.CRASH:
        return this.endTarget(fault.agent);
      case FaultKind.RESET:
        return this.resetLinks(fault);
      case FaultKind.RESETS: {
        this.resetLinks(fault);
        const stop: StopTimer = repeatTimer(startTimer, fault.delayMs, () =>
          this.resetLinks(fault),
        );
        this.store.add(stop);
        return end(stop);
      }
      case FaultKind.HOLD:
      case FaultKind.LOSE:
      case FaultKind.DELAY:
      case FaultKind.REFUSE:
        this.activeFaults.add(fault);
        this.applyRules(fault);
        return end(() => {
          this.activeFaults.delete(fault);
          this.applyRules(fault);
        });
    }
  }

  /** Stops a program while at least one fault does so. */
  private changeFreezes(id: ProgramId, change: number): void {
    const key = `${id.role} ${id.index}`;
    const count = (this.freezes.get(key) ?? 0) + change;
    this.freezes.set(key, count);
    const program = this.fleet.getProgram(id);
    program.signal(count > 0 ? 'SIGSTOP' : 'SIGCONT');
  }

  private endTarget(agent: number): void {
    const target = this.fleet.targets[agent];
    if (target.isOpen) void target.restart();
  }

  private resetLinks(fault: LinkFault): void {
    this.visitLinks(fault, relay => relay.reset());
  }

  private applyRules(changed: LinkFault): void {
    const active = [...this.activeFaults];
    this.visitLinks(changed, (relay, agent, entry) => {
      const applied = active.filter(
        fault => fault.agents.includes(agent) && fault.entries.includes(entry),
      );
      relay.setRule(composeRule(applied));
    });
  }

  private visitLinks(
    {agents, entries}: LinkFault,
    visit: (relay: AgentRelay, agent: number, entry: number) => void,
  ): void {
    for (const agent of agents) {
      for (const entry of entries) {
        visit(this.fleet.getRelay(agent, entry), agent, entry);
      }
    }
  }
}
