/** Parses and validates the jobs that callers submit. */
import type {TaskSpecification} from '../core/job.js';
import type {JobDraft} from './dispatcher_messages.js';

const DEFAULT_EXPECTED_MS = 300;
const MAX_DURATION_MS = 24 * 3_600_000;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const KNOWN_FIELDS = ['team', 'class', 'value', 'deadlineMs', 'tasks'];
const KNOWN_TASK_FIELDS = ['payload', 'expectedMs'];

/** Returned for an invalid body; the detail is a sentence for the caller. */
export class ValidationFailure {
  private constructor(readonly detail: string) {}

  /** Creates a failure with its detail. */
  static create(detail: string): ValidationFailure {
    return new ValidationFailure(detail);
  }
}

/** Parses a job from the JSON body of a request. */
export function parseJobDraft(
  body: Uint8Array,
  trace: string,
): JobDraft | ValidationFailure {
  const value = parseObject(body);
  if (value instanceof ValidationFailure) return value;
  const detail = findInvalidField(value);
  if (detail !== undefined) return ValidationFailure.create(detail);
  const tasks = value.tasks as Array<Record<string, unknown>>;
  return {
    team: value.team as string,
    taskClass: value.class as string | undefined,
    value: value.value as number | undefined,
    deadlineMs: value.deadlineMs as number | undefined,
    tasks: tasks.map(readTask),
    trace,
  };
}

/** Parses the team from the JSON body of a request for a session. */
export function parseSessionTeam(body: Uint8Array): string | ValidationFailure {
  const value = parseObject(body);
  if (value instanceof ValidationFailure) return value;
  if (isName(value.team)) return value.team;
  return ValidationFailure.create(describeField('team', NAME_RULE, value.team));
}

const NAME_RULE = '1 to 64 letters, digits, ".", "_" or "-"';

function parseObject(
  body: Uint8Array,
): Record<string, unknown> | ValidationFailure {
  if (body.length === 0) return ValidationFailure.create('The body is empty.');
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (failure) {
    const {message} = failure as SyntaxError;
    return ValidationFailure.create(`The body is not JSON: ${message}`);
  }
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    return value as Record<string, unknown>;
  }
  return ValidationFailure.create('The body is not a JSON object.');
}

function findInvalidField(value: Record<string, unknown>): string | undefined {
  const unknown = Object.keys(value).find(key => !KNOWN_FIELDS.includes(key));
  if (unknown !== undefined) {
    return `"${unknown}" is not a field of a job (${KNOWN_FIELDS.join(', ')}).`;
  }
  if (!isName(value.team)) return describeField('team', NAME_RULE, value.team);
  if (value.class !== undefined && !isName(value.class)) {
    return describeField('class', NAME_RULE, value.class);
  }
  if (value.value !== undefined && !isPositive(value.value)) {
    return describeField('value', 'a number above 0', value.value);
  }
  if (value.deadlineMs !== undefined && !isDuration(value.deadlineMs)) {
    return describeField('deadlineMs', DURATION_RULE, value.deadlineMs);
  }
  return findInvalidTask(value.tasks);
}

const DURATION_RULE = 'a number of milliseconds above 0, at most a day';

function findInvalidTask(tasks: unknown): string | undefined {
  if (!Array.isArray(tasks) || tasks.length === 0) {
    return describeField('tasks', 'a list of at least one task', tasks);
  }
  for (const [index, task] of tasks.entries()) {
    const detail = findInvalidTaskField(task);
    if (detail !== undefined) return `tasks[${index}]: ${detail}`;
  }
  return undefined;
}

function findInvalidTaskField(task: unknown): string | undefined {
  if (typeof task !== 'object' || task === null || Array.isArray(task)) {
    return 'a task is an object with "payload".';
  }
  const fields = task as Record<string, unknown>;
  const unknown = Object.keys(fields).find(
    key => !KNOWN_TASK_FIELDS.includes(key),
  );
  if (unknown !== undefined) {
    return `"${unknown}" is not a field of a task (${KNOWN_TASK_FIELDS.join(', ')}).`;
  }
  if (fields.payload === undefined) return '"payload" is missing.';
  if (fields.expectedMs !== undefined && !isDuration(fields.expectedMs)) {
    return describeField('expectedMs', DURATION_RULE, fields.expectedMs);
  }
  return undefined;
}

function readTask(task: Record<string, unknown>): TaskSpecification {
  const expectedMs = (task.expectedMs as number) ?? DEFAULT_EXPECTED_MS;
  return {payload: task.payload, expectedMs};
}

function describeField(name: string, rule: string, found: unknown): string {
  if (found === undefined) return `"${name}" is missing; it must be ${rule}.`;
  const text = JSON.stringify(found).slice(0, 60);
  return `"${name}" must be ${rule}; found ${text}.`;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && NAME_PATTERN.test(value);
}

function isPositive(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

function isDuration(value: unknown): value is number {
  return isPositive(value) && value <= MAX_DURATION_MS;
}
