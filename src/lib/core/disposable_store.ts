/** A stack of release functions for acquired resources. */
import {DisposeError} from './errors.js';

/** Releases one resource; may be asynchronous. */
export type Dispose = () => void | Promise<void>;

/**
 * Collects release functions and calls each once, in reverse order.
 *
 * A release that fails does not prevent the others from running; the failures
 * are thrown together as one `DisposeError` at the end.
 */
export class DisposableStore {
  private readonly entries: Dispose[] = [];
  private disposal: Promise<void> | undefined;

  private constructor() {}

  /** Creates an empty store. */
  static create(): DisposableStore {
    return new DisposableStore();
  }

  /** Whether disposal has begun. */
  get isDisposed(): boolean {
    return this.disposal !== undefined;
  }

  /**
   * Adds a release function. If disposal has already begun, the function runs
   * after it, so that a late acquisition does not leak; it does not run if the
   * disposal, or a function added to it earlier, has failed.
   */
  add(dispose: Dispose): void {
    if (this.disposal !== undefined) {
      this.disposal = this.disposal.then(dispose);
      return;
    }
    this.entries.push(dispose);
  }

  /**
   * Releases all resources in reverse order. A later call releases nothing again:
   * its promise also covers the functions that were added since.
   */
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
