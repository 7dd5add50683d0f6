/** A caller of the system: opens sessions, submits jobs, records answers. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {Task} from '../../src/lib/core/task.js';
import type {AnswerBody, ReceivedAnswer, Submission} from './evidence.js';
import {readReply} from './http_call.js';
import type {CallHttp, HttpCall, HttpReply} from './http_call.js';
import type {JobBody} from './job_body.js';

/** One submission that a caller is asked to make. */
export interface SubmissionOrder {
  readonly name: string;
  readonly group: string;
  readonly job: string;
  /** The caller's own name for the job, the second half of its key. */
  readonly keyName: string;
  readonly via: string;
  /** Name of the process that mints the session; empty: no key is sent. */
  readonly sessionFrom: string;
  readonly body: JobBody;
  readonly team: string;
  /** Key of an earlier submission that is to be used again. */
  readonly key?: string;
}

/** What a caller needs. */
export interface CallerOptions {
  readonly call: CallHttp;
  readonly readMs: ReadMonotonicMs;
  /** Returns the address of the callers' listener of an entry or balancer. */
  readonly findAddress: (process: string) => string;
  /** Is told of every answer. */
  readonly report: (submission: Submission) => void;
}

interface OrderMessage {
  readonly order: SubmissionOrder;
  readonly finish: (submission: Submission) => void;
}

const MAILBOX_CAPACITY = 10_000;
const SUBMISSION_TIMEOUT_MS = 60_000;

/**
 * Submits jobs as callers do.
 *
 * Sessions are kept by the process that minted them and dropped when an answer
 * says that they have ended.
 */
export class CallerTask {
  private readonly task: Task<OrderMessage>;
  private readonly sessions = new Map<string, Promise<string>>();
  private readonly keys = new Map<string, string>();

  private constructor(private readonly options: CallerOptions) {
    this.task = Task.create<OrderMessage>({
      name: 'caller',
      capacity: MAILBOX_CAPACITY,
      handle: message => void this.execute(message),
      reportFailure: () => undefined,
    });
  }

  /** Creates a caller. */
  static create(options: CallerOptions): CallerTask {
    return new CallerTask(options);
  }

  /** Makes a submission and resolves with what came of it; never rejects. */
  submit(order: SubmissionOrder): Promise<Submission> {
    return new Promise(finish => this.task.post({order, finish}));
  }

  /** Returns the key under which a submission was made. */
  findKey(name: string): string {
    return this.keys.get(name) ?? '';
  }

  /** Stops taking orders. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private async execute(message: OrderMessage): Promise<void> {
    const submission = await this.send(message.order);
    if (submission.answer?.body?.code === 'session-ended') {
      this.sessions.delete(message.order.sessionFrom);
    }
    this.options.report(submission);
    message.finish(submission);
  }

  private async send(order: SubmissionOrder): Promise<Submission> {
    const {call, readMs, findAddress} = this.options;
    let sentAtMs = readMs();
    let hasSent = false;
    try {
      const key = order.key ?? (await this.createKey(order));
      this.keys.set(order.name, key);
      sentAtMs = readMs();
      hasSent = true;
      const reply = await call({
        method: 'POST',
        url: `${findAddress(order.via)}/v1/jobs`,
        headers: key === '' ? {} : {'idempotency-key': key},
        body: order.body.body,
        timeoutMs: SUBMISSION_TIMEOUT_MS,
      });
      return this.createSubmission(order, sentAtMs, {
        answer: readAnswer(reply),
      });
    } catch (failure) {
      return this.createSubmission(order, sentAtMs, {
        failure: formatFailure(failure),
        isCut: hasSent && !isRefusedConnection(failure),
      });
    }
  }

  private createSubmission(
    order: SubmissionOrder,
    sentAtMs: number,
    end: {answer?: ReceivedAnswer; failure?: string; isCut?: boolean},
  ): Submission {
    return {
      name: order.name,
      group: order.group,
      job: order.job,
      via: order.via,
      taskIds: order.body.taskIds,
      sentAtMs,
      endedAtMs: this.options.readMs(),
      answer: end.answer,
      failure: end.failure ?? '',
      isCut: end.isCut ?? false,
    };
  }

  /** Creates the key of an order, in a new session if there is none yet. */
  async createKey(order: SubmissionOrder): Promise<string> {
    if (order.sessionFrom === '') return '';
    const known = this.sessions.get(order.sessionFrom);
    const session = known ?? this.openSession(order.sessionFrom, order.team);
    this.sessions.set(order.sessionFrom, session);
    try {
      const name = order.keyName.replace(/[^A-Za-z0-9_-]/g, '-');
      return `${await session}.${name}`;
    } catch (failure) {
      this.sessions.delete(order.sessionFrom);
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

/** Reads an answer; a body that is not whole JSON gives none. */
export function readAnswer(reply: HttpReply): ReceivedAnswer {
  try {
    return {status: reply.status, body: JSON.parse(reply.text) as AnswerBody};
  } catch {
    return {status: reply.status, body: undefined};
  }
}

/** Tells whether nobody listened at the address, so that nothing was sent. */
function isRefusedConnection(failure: unknown): boolean {
  return (failure as {code?: string}).code === 'ECONNREFUSED';
}

function formatFailure(failure: unknown): string {
  const {code, message} = failure as {code?: string; message?: string};
  return code ?? message ?? String(failure);
}
