/** Bodies of jobs whose tasks can be told apart wherever they start. */
import {Deed} from './step.js';
import type {JobShape} from './step.js';

/** A job as it is sent, with the ids by which its tasks are recognised. */
export interface JobBody {
  readonly taskIds: readonly string[];
  readonly body: object;
}

/** Names the n-th attempt at a job, so that its starts can be told apart. */
export function nameAttempt(job: string, attempt: number): string {
  return attempt === 0 ? job : `${job}~${attempt}`;
}

/** Returns the name of a task without the attempt under which it started. */
export function dropAttempt(taskId: string): string {
  return taskId.replace(/~\d+\//, '/');
}

/** Creates the body of a job; task ids are its name and the task's index. */
export function createJobBody(name: string, shape: JobShape): JobBody {
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

function createPayload(id: string, index: number, shape: JobShape): object {
  const deed = index < shape.failing ? Deed.FAIL : shape.deed;
  switch (deed) {
    case Deed.SLEEP:
      return {do: deed, id, ms: shape.ms, echo: id};
    case Deed.ECHO:
      return {do: deed, id, value: {echo: id, filler: 'x'.repeat(shape.bytes)}};
    case Deed.LARGE:
      return {do: deed, id, bytes: shape.bytes};
    case Deed.FAIL:
    case Deed.HANG:
      return {do: deed, id};
  }
}
