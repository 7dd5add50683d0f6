/** News of tasks from the agents that hold them. */

/** What happened to a task at an agent. */
export enum RunStatusChange {
  /** Its agent is out of reach. */
  AGENT_UNREACHABLE = 'away',
  /** Its agent is back and holds it. */
  STILL_HELD = 'back',
  /** It never began there, or is gone for certain. */
  NOT_HELD = 'returned',
}
