/** Builds job bodies whose tasks carry unique ids in their payloads. */
import {TaskBehaviour} from './step.js';
import type {JobDefinition} from './step.js';

/** Request body of a job, with the ids of its tasks. */
export interface JobBody {
  readonly taskIds: readonly string[];
  readonly body: object;
}

/** Names the n-th attempt at a job, so that starts can be attributed to attempts. */
export function nameAttempt(job: string, attempt: number): string {
  return attempt === 0 ? job : `${job}~${attempt}`;
}

/** Returns a task id without the number of the attempt. */
export function dropAttempt(taskId: string): string {
  return taskId.replace(/~\d+\//, '/');
}

/** Creates the body of a job; a task id is the job name and the task index. */
export function createJobBody(
  name: string,
  definition: JobDefinition,
): JobBody {
  const taskIds = Array.from(
    {length: definition.tasks},
    (_, index) => `${name}/${index}`,
  );
  return {
    taskIds,
    body: {
      team: definition.team,
      deadlineMs: definition.deadlineMs,
      tasks: taskIds.map((id, index) => ({
        expectedMs: definition.ms,
        payload: createPayload(id, index, definition),
      })),
    },
  };
}

function createPayload(
  id: string,
  index: number,
  definition: JobDefinition,
): object {
  const behaviour =
    index < definition.failing ? TaskBehaviour.FAIL : definition.deed;
  switch (behaviour) {
    case TaskBehaviour.SLEEP:
      return {do: behaviour, id, ms: definition.ms, echo: id};
    case TaskBehaviour.ECHO:
      return {
        do: behaviour,
        id,
        value: {echo: id, filler: 'x'.repeat(definition.bytes)},
      };
    case TaskBehaviour.LARGE:
      return {do: behaviour, id, bytes: definition.bytes};
    case TaskBehaviour.FAIL:
    case TaskBehaviour.HANG:
      return {do: behaviour, id};
  }
}
