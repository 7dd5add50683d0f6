/** Decides which process may hold the registration of an entry's id. */
import type {StoredValue} from '../store/platform_store.js';
import type {EntryAddress} from './configuration_view.js';

/** The value that an entry registers in the store. */
export interface Registration extends EntryAddress {
  /** Lease to which the value is bound. */
  readonly lease: string;
}

/** What an entry does about the registration of its id. */
export enum RegistrationAction {
  /** The registration is up to date. */
  KEEP = 'keep',
  /** The registration is absent or outdated: write it. */
  WRITE = 'write',
  /** A newer process has registered the id: leave its registration in place. */
  YIELD = 'yield',
}

/** Encodes a registration as JSON for the store. */
export function formatRegistration(registration: Registration): string {
  const {id, incarnation, address, lease} = registration;
  return JSON.stringify({id, incarnation, address, lease});
}

/**
 * Decides what to do about the registration found in the store.
 *
 * A process that has not registered yet is newer than the registered one. A
 * process that has registered and finds another incarnation has been replaced.
 */
export function decideRegistration(
  found: StoredValue | undefined,
  own: Registration,
  hasRegistered: boolean,
): RegistrationAction {
  if (found === undefined) return RegistrationAction.WRITE;
  if (found.value === formatRegistration(own)) return RegistrationAction.KEEP;
  if (readIncarnation(found.value) === own.incarnation) {
    return RegistrationAction.WRITE;
  }
  return hasRegistered ? RegistrationAction.YIELD : RegistrationAction.WRITE;
}

function readIncarnation(text: string): string | undefined {
  try {
    return (JSON.parse(text) as Partial<Registration> | null)?.incarnation;
  } catch {
    return undefined;
  }
}
