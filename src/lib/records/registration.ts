/** Decides who may be registered under an entry's id. */
import type {StoredValue} from '../store/platform_store.js';
import type {EntryAddress} from './configuration_view.js';

/** The value under which an entry is registered in the store. */
export interface Registration extends EntryAddress {
  /** Lease to which the value is bound. */
  readonly lease: string;
}

/** What an entry may do about the registration of its id. */
export enum RegistrationChoice {
  /** The registration stands as it should. */
  KEEP = 'keep',
  /** The registration is absent or older: write it. */
  WRITE = 'write',
  /** A newer process has taken the id: leave it alone. */
  YIELD = 'yield',
}

/** Writes a registration as the store's text. */
export function formatRegistration(registration: Registration): string {
  const {id, incarnation, address, lease} = registration;
  return JSON.stringify({id, incarnation, address, lease});
}

/**
 * Decides what to do about the registration found in the store.
 *
 * A process that was never registered is newer than whoever is found; one that
 * was registered before and finds another there has been replaced.
 */
export function decideRegistration(
  found: StoredValue | undefined,
  own: Registration,
  hasRegistered: boolean,
): RegistrationChoice {
  if (found === undefined) return RegistrationChoice.WRITE;
  if (found.value === formatRegistration(own)) return RegistrationChoice.KEEP;
  if (readIncarnation(found.value) === own.incarnation) {
    return RegistrationChoice.WRITE;
  }
  return hasRegistered ? RegistrationChoice.YIELD : RegistrationChoice.WRITE;
}

function readIncarnation(text: string): string | undefined {
  try {
    return (JSON.parse(text) as Partial<Registration> | null)?.incarnation;
  } catch {
    return undefined;
  }
}
