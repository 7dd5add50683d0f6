/** Turns callers' requests into messages for the owner of their key. */
import {createHash} from 'node:crypto';
import {KeyError} from '../core/errors.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Outcome, Problem} from '../core/job.js';
import {PostOutcome} from '../core/task.js';
import type {Post} from '../core/task.js';
import {composeKey, mintSession, readSessionKey} from '../wire/session_key.js';
import type {SessionKey} from '../wire/session_key.js';
import {encodeJson, encodeProblem, encodeReply} from './answer_encoding.js';
import type {EncodedAnswer} from './answer_encoding.js';
import {DispatcherMessageKind, ReplyKind} from './dispatcher_messages.js';
import type {
  DispatcherMessage,
  DispatcherReply,
  LocalKey,
} from './dispatcher_messages.js';
import {HolderKind} from './holder.js';
import type {AwaitHolder, FindHolder} from './holder.js';
import {
  ValidationFailure,
  parseJobDraft,
  parseSessionTeam,
} from './job_draft.js';

/** Kinds of request under a key. */
export enum RequestKind {
  SUBMIT = 'submit',
  LOOK_UP = 'look-up',
  CANCEL = 'cancel',
}

/** A request under a key, or a submission under none. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly key: string | undefined;
  readonly body: Uint8Array;
  readonly trace: string;
  /** True if the caller does not wait for the job's answer. */
  readonly isDetached: boolean;
}

/** Receives the encoded answer to a request. */
export type Answer = (answer: EncodedAnswer) => void;

/** Forwards a request to the owner of its key, unless too many are pending. */
export type ForwardRequest = (
  ownerAddress: string,
  request: CallerRequest,
  answer: Answer,
) => PostOutcome;

/** Dependencies of the request router. */
export interface RequestRouterOptions {
  readonly identity: ProcessIdentity;
  /** `host:port` at which other entries reach this one. */
  readonly address: string;
  readonly secret: string;
  readonly sessionLifetimeMs: number;
  readonly postToDispatcher: Post<DispatcherMessage>;
  readonly forward: ForwardRequest;
  /** Finds the holder of the sessions of an ended entry incarnation. */
  readonly findHolder: FindHolder;
  /** Calls `resume` at last when no peer can announce any more that it holds them. */
  readonly awaitHolder: AwaitHolder;
}

/** Sender of a request. */
export enum RequestOrigin {
  CALLER = 'caller',
  /** Another entry; such a request is not forwarded again. */
  PEER = 'peer',
}

/** Suggested delay in milliseconds before a retry at an overloaded entry. */
const OVERLOAD_RETRY_MS = 1000;

const STATUS_ACCEPTED = 202;
const STATUS_OK = 200;

/**
 * Routes a request to the dispatcher of this entry if it owns or holds the key,
 * and to the entry that does otherwise. Holds no state.
 */
export class RequestRouter {
  private constructor(private readonly options: RequestRouterOptions) {}

  /** Creates a router. */
  static create(options: RequestRouterOptions): RequestRouter {
    return new RequestRouter(options);
  }

  /** Opens a session for the team named in the body. */
  openSession(body: Uint8Array, answer: Answer): void {
    const team = parseSessionTeam(body);
    if (team instanceof ValidationFailure) {
      return answer(refuseInvalid(team.detail));
    }
    this.post(answer, undefined, {
      kind: DispatcherMessageKind.OPEN_SESSION,
      team,
      reply: reply => answer(this.encodeSession(reply)),
    });
  }

  /** Answers a request here or forwards it to the owner of its key. */
  handle(request: CallerRequest, origin: RequestOrigin, answer: Answer): void {
    if (request.key === undefined && request.isDetached) {
      const detail = 'A job that nobody waits for needs an Idempotency-Key.';
      return answer(refuseInvalid(detail));
    }
    if (request.key === undefined) {
      return this.handleLocally(request, undefined, answer);
    }
    const key = this.readKey(request.key, answer);
    if (key === undefined) return;
    const resume = () => this.handleKeyed(request, key, origin, answer);
    if (!this.isHolderUnknown(key)) return resume();
    const {awaitHolder} = this.options;
    const outcome = awaitHolder(key.token.ownerIncarnation, resume);
    if (outcome !== PostOutcome.QUEUED) answer(refuseOverloaded(request.key));
  }

  /** Whether the session is of this entry's earlier life, and its holder unknown. */
  private isHolderUnknown({token}: SessionKey): boolean {
    const {identity, address, findHolder} = this.options;
    return (
      token.ownerAddress === address &&
      token.ownerIncarnation !== identity.incarnation &&
      findHolder(token.ownerIncarnation).kind === HolderKind.NONE
    );
  }

  private handleKeyed(
    request: CallerRequest,
    key: SessionKey,
    origin: RequestOrigin,
    answer: Answer,
  ): void {
    const {ownerAddress, ownerIncarnation, serial, team} = key.token;
    const holder = this.options.findHolder(ownerIncarnation);
    const isOwn = ownerIncarnation === this.options.identity.incarnation;
    if (isOwn || holder.kind === HolderKind.SELF) {
      const localKey = {owner: ownerIncarnation, serial, name: key.name, team};
      return this.handleLocally(request, localKey, answer);
    }
    const address =
      holder.kind === HolderKind.PEER ? holder.address : ownerAddress;
    const isOwnAddress = address === this.options.address;
    if (isOwnAddress || origin === RequestOrigin.PEER) {
      return answer(refuseEndedOwner(request.key ?? ''));
    }
    const outcome = this.options.forward(address, request, answer);
    if (outcome !== PostOutcome.QUEUED) answer(refuseOverloaded(request.key));
  }

  private handleLocally(
    request: CallerRequest,
    key: LocalKey | undefined,
    answer: Answer,
  ): void {
    const answerReply = (reply: DispatcherReply) =>
      answer(this.encodeReplyTo(request, reply));
    if (request.kind === RequestKind.SUBMIT) {
      return this.submit(request, key, answer, answerReply);
    }
    this.post(answer, request.key, {
      kind:
        request.kind === RequestKind.LOOK_UP
          ? DispatcherMessageKind.LOOK_UP
          : DispatcherMessageKind.CANCEL,
      key: key!,
      reply: answerReply,
    });
  }

  private submit(
    request: CallerRequest,
    key: LocalKey | undefined,
    answer: Answer,
    answerReply: (reply: DispatcherReply) => void,
  ): void {
    const draft = parseJobDraft(request.body, request.trace);
    if (draft instanceof ValidationFailure) {
      return answer(refuseInvalid(draft.detail));
    }
    if (key !== undefined && key.team !== draft.team) {
      const detail = `The session of this key belongs to team "${key.team}".`;
      return answer(refuseInvalid(detail));
    }
    const {isDetached} = request;
    const digest = key === undefined ? '' : computeDigest(request.body);
    this.post(answer, request.key, {
      kind: DispatcherMessageKind.SUBMIT,
      key,
      digest,
      draft,
      isDetached,
      reply: answerReply,
    });
  }

  private encodeReplyTo(
    {kind, key}: CallerRequest,
    reply: DispatcherReply,
  ): EncodedAnswer {
    if (reply.kind === ReplyKind.SESSION) return this.encodeSession(reply);
    const isSubmission = kind === RequestKind.SUBMIT;
    return encodeReply(reply, key, isSubmission ? STATUS_ACCEPTED : STATUS_OK);
  }

  private encodeSession(reply: DispatcherReply): EncodedAnswer {
    if (reply.kind !== ReplyKind.SESSION) {
      return encodeReply(reply, undefined, STATUS_OK);
    }
    const session = mintSession(
      {
        ownerAddress: this.options.address,
        ownerIncarnation: this.options.identity.incarnation,
        serial: reply.serial,
        team: reply.team,
      },
      this.options.secret,
    );
    const expiresInMs = this.options.sessionLifetimeMs;
    const exampleKey = composeKey(session, 'job-1');
    return encodeJson(201, {session, expiresInMs, exampleKey});
  }

  private readKey(text: string, answer: Answer): SessionKey | undefined {
    try {
      return readSessionKey(text, this.options.secret);
    } catch (failure) {
      if (!(failure instanceof KeyError)) throw failure;
      answer(
        encodeProblem({
          problem: Problem.KEY_INVALID,
          outcome: Outcome.DID_NOT_RUN,
          detail: failure.message,
        }),
      );
      return undefined;
    }
  }

  private post(
    answer: Answer,
    key: string | undefined,
    message: DispatcherMessage,
  ): void {
    const outcome = this.options.postToDispatcher(message);
    if (outcome !== PostOutcome.QUEUED) answer(refuseOverloaded(key));
  }
}

// This request started nothing, but only the key table, which was not consulted,
// knows whether a job has run under its key.
function refuseOverloaded(key: string | undefined): EncodedAnswer {
  return encodeProblem({
    problem: Problem.OVERLOADED,
    outcome: key === undefined ? Outcome.DID_NOT_RUN : Outcome.UNKNOWN,
    detail: 'The entry takes no more requests at present.',
    key,
    retryAfterMs: OVERLOAD_RETRY_MS,
  });
}

function computeDigest(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('base64url').slice(0, 22);
}

function refuseInvalid(detail: string): EncodedAnswer {
  const outcome = Outcome.DID_NOT_RUN;
  return encodeProblem({problem: Problem.REQUEST_INVALID, outcome, detail});
}

function refuseEndedOwner(key: string): EncodedAnswer {
  return encodeProblem({
    problem: Problem.SESSION_ENDED,
    outcome: Outcome.UNKNOWN,
    detail:
      'The entry that owned this session has ended. This submission started ' +
      'nothing; an earlier one under the same key may have run. Open a new ' +
      'session for new jobs.',
    key,
  });
}
