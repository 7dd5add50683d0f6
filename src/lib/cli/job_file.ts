/** Job files: the body of a submission, in JSON or YAML. */
import {parse} from 'yaml';
import {UsageError} from '../core/errors.js';

/** The body of a submission as far as the command line looks into it. */
export interface JobFile {
  readonly team: string;
  readonly tasks: readonly unknown[];
  readonly deadlineMs?: number;
}

/**
 * Parses a job file. The entry checks the rest of it.
 *
 * @throws UsageError if it has no team or no tasks.
 */
export function parseJobFile(path: string, text: string): JobFile {
  const body = parseText(path, text) as Partial<JobFile> | null;
  if (typeof body?.team !== 'string' || !Array.isArray(body.tasks)) {
    throw new UsageError(
      `Job file ${path} needs "team" (text) and "tasks" (a list).`,
    );
  }
  return body as JobFile;
}

function parseText(path: string, text: string): unknown {
  try {
    return parse(text);
  } catch (cause) {
    throw new UsageError(`Job file ${path} is neither JSON nor YAML.`, {cause});
  }
}
