/** Announcements of the target stand-in to its local agent. */
import {Client} from 'undici';
import {startTimer} from '../src/lib/core/clock.js';
import {SendOutcome, sendOnce} from '../src/lib/core/send_once.js';
import type {OutgoingRequest} from '../src/lib/core/send_once.js';

/** Body of an announcement. */
export interface TargetAnnouncement {
  readonly address: string;
  readonly instance: string;
  readonly slots: number;
  readonly connections: number;
}

const ANNOUNCE_TIMEOUT_MS = 1000;
const HEADERS = {'content-type': 'application/json'};

/**
 * Sends announcements and the deregistration; returns status 0 if no reply
 * arrives.
 */
export class TargetAnnouncer {
  private constructor(
    private readonly client: Client,
    private readonly path: string,
  ) {}

  /**
   * Creates an announcer for the target `name`; `agent` is the agent's origin.
   */
  static create(agent: string, name: string): TargetAnnouncer {
    const client = new Client(agent, {
      pipelining: 1,
      connectTimeout: ANNOUNCE_TIMEOUT_MS,
    });
    const path = `/v1/targets/${encodeURIComponent(name)}`;
    return new TargetAnnouncer(client, path);
  }

  /**
   * Announces the target or renews its announcement; returns the HTTP status.
   */
  announce(announcement: TargetAnnouncement): Promise<number> {
    return this.send('PUT', announcement);
  }

  /**
   * Deregisters the target, which accepts no more tasks; returns the HTTP
   * status.
   */
  sendDeregistration(instance: string): Promise<number> {
    return this.send('DELETE', {instance});
  }

  /** Closes the connection to the agent. */
  close(): Promise<void> {
    return this.client.destroy();
  }

  private async send(
    method: OutgoingRequest['method'],
    body: object,
  ): Promise<number> {
    const request = {
      method,
      path: this.path,
      headers: HEADERS,
      body: JSON.stringify(body),
      timeoutMs: ANNOUNCE_TIMEOUT_MS,
    };
    const result = await sendOnce(this.client, request, startTimer);
    return result.outcome === SendOutcome.REPLIED ? result.status : 0;
  }
}
