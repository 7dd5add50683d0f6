/** State charts of jobs, tasks and agent sessions at an entry. */
import {Chart} from '../../core/chart.js';
import {readChart} from '../../core/chart_file.js';

/** States of `charts/work_task.yaml`. */
export enum TaskState {
  BLOCKED = 'blocked',
  WAITING = 'waiting',
  PLACED = 'placed',
  UNCERTAIN = 'unproven',
  DONE = 'done',
  FAILED = 'failed',
  DROPPED = 'dropped',
}

/** Events of `charts/work_task.yaml`. */
export enum TaskEvent {
  UNBLOCK = 'unblock',
  PLACE = 'place',
  DONE = 'done',
  FAILED = 'failed',
  REQUEUE = 'returned',
  AGENT_DISCONNECTED = 'agentAway',
  AGENT_RECONNECTED = 'agentBack',
  DROP = 'drop',
}

/** Actions of `charts/work_task.yaml`. */
export enum TaskAction {
  SEND_STOP = 'sendStop',
}

/** Guard of `charts/work_task.yaml`: the task may be run once more. */
export const HAS_ATTEMPTS = 'hasAttempts';

/** State chart of a task. */
export const TASK_CHART = Chart.create<TaskState, TaskEvent>(
  readChart('work_task'),
  {
    states: TaskState,
    events: TaskEvent,
    guards: [HAS_ATTEMPTS],
    actions: Object.values(TaskAction),
  },
);

/** States of `charts/work_job.yaml`. */
export enum JobState {
  WAITING = 'waiting',
  RUNNING = 'running',
  COMPLETED = 'completed',
  FAILED = 'failed',
  REFUSED = 'refused',
  ABANDONED = 'abandoned',
  CANCELLED = 'cancelled',
}

/** Events of `charts/work_job.yaml`. */
export enum JobEvent {
  PLACE = 'place',
  RETURNED = 'returned',
  COMPLETE = 'complete',
  REFUSE = 'refuse',
  FAIL = 'fail',
  ABANDON = 'abandon',
  CANCEL = 'cancel',
}

/** State chart of a job. */
export const JOB_CHART = Chart.create<JobState, JobEvent>(
  readChart('work_job'),
  {states: JobState, events: JobEvent},
);

/** States of `charts/work_agent.yaml`. */
export enum AgentState {
  CONNECTED = 'present',
  DISCONNECTED = 'away',
  EXPIRED = 'lapsed',
  ENDED = 'gone',
}

/** Events of `charts/work_agent.yaml`. */
export enum AgentEvent {
  DISCONNECT = 'disconnect',
  RECONNECT = 'reconnect',
  RUNS_EXPIRED = 'proven',
  REPLACED = 'replaced',
  REMOVE = 'forgotten',
}

/** Actions of `charts/work_agent.yaml`. */
export enum AgentAction {
  MARK_RUNS_UNCERTAIN = 'doubtRuns',
  REQUEUE_RUNS = 'returnRuns',
}

/** State chart of an agent session. */
export const AGENT_CHART = Chart.create<AgentState, AgentEvent>(
  readChart('work_agent'),
  {
    states: AgentState,
    events: AgentEvent,
    actions: Object.values(AgentAction),
  },
);
