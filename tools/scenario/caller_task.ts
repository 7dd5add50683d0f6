/** Simulated caller: opens sessions, submits jobs and reports answers. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {Task} from '../../src/lib/core/task.js';
import type {AnswerBody, ReceivedAnswer, Submission} from './evidence.js';
import {readReply} from './http_call.js';
import type {CallHttp, HttpCall, HttpReply} from './http_call.js';
import type {JobBody} from './job_body.js';

/** A submission to be made by the caller. */
export interface SubmissionRequest {
  readonly name: string;
  readonly group: string;
  readonly job: string;
  /** Caller-chosen name of the job, the second half of its key. */
  readonly keyName: string;
  readonly via: string;
  /** Process that mints the session; if empty, no key is sent. */
  readonly sessionFrom: string;
  readonly body: JobBody;
  readonly team: string;
  /** Key of an earlier submission to be reused. */
  readonly key?: string;
}

/** Dependencies of a `CallerTask`. */
export interface CallerOptions {
  readonly call: CallHttp;
  readonly readMs: ReadMonotonicMs;
  /** Returns the address at which an entry or balancer accepts callers. */
  readonly findAddress: (process: string) => string;
  /** Called with every submission that has ended, answered or not. */
  readonly report: (submission: Submission) => void;
}

interface SubmitMessage {
  readonly request: SubmissionRequest;
  readonly finish: (submission: Submission) => void;
}

const MAILBOX_CAPACITY = 10_000;
const SUBMISSION_TIMEOUT_MS = 60_000;

/**
 * Submits jobs under idempotency keys, as real callers do.
 *
 * Sessions are cached by the process that minted them and removed from the
 * cache when an answer has the code `session-ended`.
 */
export class CallerTask {
  private readonly task: Task<SubmitMessage>;
  private readonly sessions = new Map<string, Promise<string>>();
  private readonly keys = new Map<string, string>();

  private constructor(private readonly options: CallerOptions) {
    this.task = Task.create<SubmitMessage>({
      name: 'caller',
      capacity: MAILBOX_CAPACITY,
      handle: message => void this.execute(message),
      reportFailure: () => undefined,
    });
  }

  /** Creates a caller that has no sessions yet. */
  static create(options: CallerOptions): CallerTask {
    return new CallerTask(options);
  }

  /** Makes a submission and resolves with its result; never rejects. */
  submit(request: SubmissionRequest): Promise<Submission> {
    return new Promise(finish => this.task.post({request, finish}));
  }

  /** Returns the key of a submission, or an empty string if it has none yet. */
  findKey(name: string): string {
    return this.keys.get(name) ?? '';
  }

  /** Stops accepting requests. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private async execute(message: SubmitMessage): Promise<void> {
    const submission = await this.send(message.request);
    if (submission.answer?.body?.code === 'session-ended') {
      this.sessions.delete(message.request.sessionFrom);
    }
    this.options.report(submission);
    message.finish(submission);
  }

  private async send(request: SubmissionRequest): Promise<Submission> {
    const {call, readMs, findAddress} = this.options;
    let sentAtMs = readMs();
    let hasSent = false;
    try {
      const key = request.key ?? (await this.createKey(request));
      this.keys.set(request.name, key);
      sentAtMs = readMs();
      hasSent = true;
      const reply = await call({
        method: 'POST',
        url: `${findAddress(request.via)}/v1/jobs`,
        headers: key === '' ? {} : {'idempotency-key': key},
        body: request.body.body,
        timeoutMs: SUBMISSION_TIMEOUT_MS,
      });
      return this.createSubmission(request, sentAtMs, {
        answer: readAnswer(reply),
      });
    } catch (failure) {
      return this.createSubmission(request, sentAtMs, {
        failure: formatFailure(failure),
        isCut: hasSent && !isRefusedConnection(failure),
      });
    }
  }

  private createSubmission(
    request: SubmissionRequest,
    sentAtMs: number,
    result: {answer?: ReceivedAnswer; failure?: string; isCut?: boolean},
  ): Submission {
    return {
      name: request.name,
      group: request.group,
      job: request.job,
      via: request.via,
      taskIds: request.body.taskIds,
      sentAtMs,
      endedAtMs: this.options.readMs(),
      answer: result.answer,
      failure: result.failure ?? '',
      isCut: result.isCut ?? false,
    };
  }

  /** Creates the key for a request; opens a session if none is cached. */
  async createKey(request: SubmissionRequest): Promise<string> {
    if (request.sessionFrom === '') return '';
    const cached = this.sessions.get(request.sessionFrom);
    const session =
      cached ?? this.openSession(request.sessionFrom, request.team);
    this.sessions.set(request.sessionFrom, session);
    try {
      const name = request.keyName.replace(/[^A-Za-z0-9_-]/g, '-');
      return `${await session}.${name}`;
    } catch (failure) {
      this.sessions.delete(request.sessionFrom);
      throw failure;
    }
  }

  private async openSession(from: string, team: string): Promise<string> {
    const call: HttpCall = {
      method: 'POST',
      url: `${this.options.findAddress(from)}/v1/sessions`,
      body: {team},
    };
    const reply = await this.options.call(call);
    return readReply<{session: string}>(call, reply).session;
  }
}

/** Parses a reply; the body is undefined if it is truncated or not JSON. */
export function readAnswer(reply: HttpReply): ReceivedAnswer {
  try {
    return {status: reply.status, body: JSON.parse(reply.text) as AnswerBody};
  } catch {
    return {status: reply.status, body: undefined};
  }
}

/** Returns whether the connection was refused, so that nothing was sent. */
function isRefusedConnection(failure: unknown): boolean {
  return (failure as {code?: string}).code === 'ECONNREFUSED';
}

function formatFailure(failure: unknown): string {
  const {code, message} = failure as {code?: string; message?: string};
  return code ?? message ?? String(failure);
}
