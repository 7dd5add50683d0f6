/** News of tasks from the agents that hold them. */

/** What happened to a task at an agent. */
export enum TaskNews {
  /** Its agent is out of reach. */
  AWAY = 'away',
  /** Its agent is back and holds it. */
  BACK = 'back',
  /** It never began there, or is gone for certain. */
  RETURNED = 'returned',
}
