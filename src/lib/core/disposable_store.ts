/** Clean-up that an owner gathers as it acquires things. */
import {DisposeError} from './errors.js';

/** Releases one thing. May be asynchronous. */
export type Dispose = () => void | Promise<void>;

/**
 * Gathers what an owner must release and releases it once, in reverse order.
 *
 * A failing release does not keep the others from running; the failures are
 * thrown together as one `DisposeError` at the end.
 */
export class DisposableStore {
  private readonly entries: Dispose[] = [];
  private disposal: Promise<void> | undefined;

  private constructor() {}

  /** Creates an empty store. */
  static create(): DisposableStore {
    return new DisposableStore();
  }

  /** Tells whether disposal has begun. */
  get isDisposed(): boolean {
    return this.disposal !== undefined;
  }

  /**
   * Adds a release function. When disposal has already begun it runs at once,
   * so that a late acquisition cannot leak.
   */
  add(dispose: Dispose): void {
    if (this.disposal !== undefined) {
      this.disposal = this.disposal.then(dispose);
      return;
    }
    this.entries.push(dispose);
  }

  /** Releases everything in reverse order. Later calls return the same promise. */
  dispose(): Promise<void> {
    this.disposal ??= this.releaseAll();
    return this.disposal;
  }

  private async releaseAll(): Promise<void> {
    const failures: unknown[] = [];
    while (this.entries.length > 0) {
      const release = this.entries.pop()!;
      try {
        await release();
      } catch (failure) {
        failures.push(failure);
      }
    }
    if (failures.length > 0) {
      throw new DisposeError('Some resources could not be released.', {
        errors: failures,
      });
    }
  }
}
