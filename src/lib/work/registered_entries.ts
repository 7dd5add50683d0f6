/** Reads the registrations of entries in the platform's store. */
import type {PlatformStore} from '../store/platform_store.js';
import {parseEntryAddress} from '../records/build_view.js';
import {ENTRIES_FOLDER} from '../records/record.js';

/** Prefix of all keys that this software writes to the platform's store. */
export const OWN_PREFIX = 'foxtailbay/';

/** Prefix of the keys under which entries are registered. */
export const ENTRIES_PREFIX = OWN_PREFIX + ENTRIES_FOLDER;

/** Lists the addresses of the entries registered in the store. */
export async function listRegisteredEntries(
  store: Pick<PlatformStore, 'list'>,
): Promise<readonly string[]> {
  const {values} = await store.list(ENTRIES_PREFIX);
  return readAddresses(values.map(({value}) => value));
}

/** Parses the addresses in registrations; invalid registrations are skipped. */
export function readAddresses(texts: readonly string[]): readonly string[] {
  return texts.flatMap(text => {
    const entry = parseEntryAddress(text);
    return entry === undefined ? [] : [entry.address];
  });
}
