/** Decoding of `POST /control` at the relay stand-in. */
import {parseObject} from './http_listener.js';

/** Direction of a byte stream. */
export enum Direction {
  /** From the client to the server behind the relay. */
  FORWARD = 'forward',
  BACKWARD = 'backward',
}

/** States of `charts/relay_direction.yaml`. */
export enum DirectionState {
  FLOWING = 'flowing',
  HELD = 'held',
  CLOSED = 'closed',
}

/** Events of `charts/relay_direction.yaml`. */
export enum DirectionEvent {
  HOLD = 'hold',
  CLOSE = 'close',
  RESTORE = 'restore',
}

/** Directions that a control request applies to. */
export enum ControlScope {
  FORWARD = 'forward',
  BACKWARD = 'backward',
  BOTH = 'both',
}

/** Request to change the relay; undefined fields leave theirs unchanged. */
export interface RelayControl {
  readonly direction: ControlScope;
  readonly action?: DirectionEvent;
  readonly delayMs?: number;
  /** Whether to reset the connections that are open now. */
  readonly reset: boolean;
}

/** Decodes a control request; returns undefined if it is invalid. */
export function decodeRelayControl(body: string): RelayControl | undefined {
  const input = parseObject(body);
  if (input === undefined) return undefined;
  const {direction = ControlScope.BOTH, action, delayMs, reset = false} = input;
  const scope = findMember(ControlScope, direction);
  const event = findMember(DirectionEvent, action);
  const isDelay = typeof delayMs === 'number' && delayMs >= 0;
  if (scope === undefined || typeof reset !== 'boolean') return undefined;
  if (action !== undefined && event === undefined) return undefined;
  if (delayMs !== undefined && !isDelay) return undefined;
  return {
    direction: scope,
    action: event,
    delayMs: isDelay ? delayMs : undefined,
    reset,
  };
}

/** Lists the directions in a scope. */
export function listDirections(scope: ControlScope): Direction[] {
  return Object.values(Direction).filter(
    direction =>
      scope === ControlScope.BOTH || String(direction) === String(scope),
  );
}

function findMember<T extends string>(
  members: Record<string, T>,
  value: unknown,
): T | undefined {
  return Object.values(members).find(member => member === value);
}
