/** Remembers the kinds of target that are known, with the largest capacity of each. */
import type {TargetKind} from '../core/work_frames.js';
import type {Resources, StepSpec} from '../core/work_job.js';
import {isEligible} from './place_task.js';

interface KnownKind {
  readonly kind: TargetKind;
  readonly recordedAtMs: number;
}

/**
 * The targets' services and labels, with the largest capacity seen for each. The
 * capacity of a target may shrink for a while, so its present one does not tell
 * what can never run.
 */
export class KnownTargetKinds {
  /** The kinds by service and labels, the least recently recorded one first. */
  private readonly kinds = new Map<string, KnownKind>();

  private constructor(private readonly limit: number) {}

  /** Creates a table without kinds that holds `limit` of them at most. */
  static create(limit: number): KnownTargetKinds {
    return new KnownTargetKinds(limit);
  }

  /** Records a kind; a full table forgets the one recorded least recently. */
  record({service, labels, capacity}: TargetKind, nowMs: number): void {
    if (service === '') return;
    const key = JSON.stringify([service, ...[...labels].sort()]);
    const known = this.kinds.get(key)?.kind.capacity ?? capacity;
    const largest = computeLargest(known, capacity);
    this.kinds.delete(key);
    this.kinds.set(key, {
      kind: {service, labels, capacity: largest},
      recordedAtMs: nowMs,
    });
    if (this.kinds.size <= this.limit) return;
    const [oldest] = this.kinds.keys();
    this.kinds.delete(oldest);
  }

  /** Forgets the kinds that were last recorded before a time. */
  forgetBefore(timeMs: number): void {
    for (const [key, {recordedAtMs}] of this.kinds) {
      if (recordedAtMs < timeMs) this.kinds.delete(key);
    }
  }

  /** Lists the kinds, the least recently recorded one first. */
  list(): TargetKind[] {
    return [...this.kinds.values()].map(({kind}) => kind);
  }

  /** Returns whether a target of some kind of a service has had the capacity for the step. */
  hasCapacityFor(service: string, step: StepSpec): boolean {
    return this.list().some(
      kind => kind.service === service && isEligible(step, kind),
    );
  }
}

function computeLargest(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}
