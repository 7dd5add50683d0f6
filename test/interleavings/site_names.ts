/** The names and addresses of the processes of a virtual site. */

/** Addresses of the entries. */
export const ENTRIES = ['entry-0:1', 'entry-1:1'];
/** Further addresses of the same entries, in the same order. */
export const OTHER_ADDRESSES = ['entry-0.alias:1', 'entry-1.alias:1'];
/** Names of the agents. */
export const AGENTS = ['agent-0', 'agent-1', 'agent-2', 'agent-3'];
