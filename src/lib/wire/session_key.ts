/** Idempotency keys, which name the entry that opened their session. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {KeyError} from '../core/errors.js';

/** The payload of a session token. */
export interface SessionToken {
  /** `host:port` at which other entries reach the owner. */
  readonly ownerAddress: string;
  /**
   * The owner's incarnation. Only it, or the entry to which it has handed its
   * sessions over, runs jobs under the session's keys.
   */
  readonly ownerIncarnation: string;
  /** Number of the session within that incarnation. */
  readonly serial: number;
  readonly team: string;
}

/** A parsed key whose signature is valid. */
export interface SessionKey {
  readonly token: SessionToken;
  /** The name that the caller has given the job. */
  readonly name: string;
}

const SIGNATURE_BYTES = 12;
const MAX_KEY_CHARACTERS = 512;
const NAME_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const SEPARATOR = '\n';

/**
 * Mints a session token: the payload and its HMAC, in base64url. Callers cannot
 * forge a token, so a key never directs an entry to a foreign address.
 */
export function mintSession(token: SessionToken, secret: string): string {
  const fields = [
    token.ownerAddress,
    token.ownerIncarnation,
    String(token.serial),
    token.team,
  ];
  const payload = Buffer.from(fields.join(SEPARATOR)).toString('base64url');
  return `${payload}.${signPayload(payload, secret)}`;
}

/** Composes the key of a job from its session and its name. */
export function composeKey(session: string, name: string): string {
  return `${session}.${name}`;
}

/**
 * Parses a key and verifies its signature.
 *
 * @throws KeyError if it is not `<session>.<name>`, or was not minted with this
 *     secret.
 */
export function readSessionKey(key: string, secret: string): SessionKey {
  const parts = key.split('.');
  if (parts.length !== 3 || key.length > MAX_KEY_CHARACTERS) {
    throw new KeyError(
      'An idempotency key is "<session>.<name>"; open a session by POST /v1/sessions.',
    );
  }
  const [payload, signature, name] = parts;
  if (!isSignedBy(payload, signature, secret)) {
    throw new KeyError(
      'The session of this idempotency key is not one of ours.',
    );
  }
  if (!NAME_PATTERN.test(name)) {
    throw new KeyError(
      'The name in an idempotency key may hold 1 to 64 letters, digits, "_" and "-".',
    );
  }
  return {token: parsePayload(payload), name};
}

function signPayload(payload: string, secret: string): string {
  const hash = createHmac('sha256', secret).update(payload).digest();
  return hash.subarray(0, SIGNATURE_BYTES).toString('base64url');
}

function isSignedBy(
  payload: string,
  signature: string,
  secret: string,
): boolean {
  const expected = Buffer.from(signPayload(payload, secret));
  const found = Buffer.from(signature);
  return expected.length === found.length && timingSafeEqual(expected, found);
}

function parsePayload(payload: string): SessionToken {
  const fields = Buffer.from(payload, 'base64url').toString().split(SEPARATOR);
  const [ownerAddress, ownerIncarnation, serial, team] = fields;
  return {ownerAddress, ownerIncarnation, serial: Number(serial), team};
}
