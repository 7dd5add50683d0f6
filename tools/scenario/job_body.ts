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
export function createJobBody(name: string, shape: JobDefinition): JobBody {
  const taskIds = Array.from(
    {length: shape.tasks},
    (_, index) => `${name}/${index}`,
  );
  return {
    taskIds,
    body: {
      team: shape.team,
      deadlineMs: shape.deadlineMs,
      tasks: taskIds.map((id, index) => ({
        expectedMs: shape.ms,
        payload: createPayload(id, index, shape),
      })),
    },
  };
}

function createPayload(
  id: string,
  index: number,
  shape: JobDefinition,
): object {
  const deed = index < shape.failing ? TaskBehaviour.FAIL : shape.deed;
  switch (deed) {
    case TaskBehaviour.SLEEP:
      return {do: deed, id, ms: shape.ms, echo: id};
    case TaskBehaviour.ECHO:
      return {do: deed, id, value: {echo: id, filler: 'x'.repeat(shape.bytes)}};
    case TaskBehaviour.LARGE:
      return {do: deed, id, bytes: shape.bytes};
    case TaskBehaviour.FAIL:
    case TaskBehaviour.HANG:
      return {do: deed, id};
  }
}
