/** Changes to runs that follow from the connection to their agent. */

/** What an entry has learned about a run at an agent. */
export enum RunStatusChange {
  /** Its agent is unreachable; the run may still be in progress. */
  AGENT_UNREACHABLE = 'away',
  /** Its agent has reconnected and still holds it. */
  STILL_HELD = 'back',
  /** It never started there, or is certainly over. */
  NOT_HELD = 'returned',
}
