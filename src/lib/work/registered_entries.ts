/** The entries that are registered in the store. */
import type {PlatformStore} from '../store/platform_store.js';
import {parseEntryAddress} from '../records/build_view.js';
import {ENTRIES_FOLDER} from '../records/record.js';

/** Prefix of our own keys in the store. */
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

/** Reads addresses out of registrations; what cannot be read names none. */
export function readAddresses(texts: readonly string[]): readonly string[] {
  return texts.flatMap(text => {
    const entry = parseEntryAddress(text);
    return entry === undefined ? [] : [entry.address];
  });
}
