/** Client for the administration API of the entries. */
import type {RevisionStatus, StatusReport} from './status_report.js';
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {ADMINISTRATION_KEY} from './fleet_plan.js';
import type {CallHttp, HttpCall, HttpReply} from './http_call.js';

/** Dependencies of an `AdministrationClient`. */
export interface AdministrationOptions {
  readonly call: CallHttp;
  readonly readMs: ReadMonotonicMs;
  /** Returns the address of an entry's administration listener. */
  readonly findAddress: (entry: string) => string;
}

const CHANGE_TIMEOUT_MS = 20_000;

/** Calls the administration API with the operator key. */
export class AdministrationClient {
  private constructor(private readonly options: AdministrationOptions) {}

  /** Creates a client; connections are opened by `call`. */
  static create(options: AdministrationOptions): AdministrationClient {
    return new AdministrationClient(options);
  }

  /** Makes an authenticated call and returns the reply, whatever its status. */
  call(
    entry: string,
    method: HttpCall['method'],
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<HttpReply> {
    return this.options.call({
      method,
      url: `${this.options.findAddress(entry)}${path}`,
      headers: {authorization: `Bearer ${ADMINISTRATION_KEY}`, ...headers},
      body,
      timeoutMs: CHANGE_TIMEOUT_MS,
    });
  }

  /** Takes a data centre out of service or back in; returns the reply. */
  setService(
    entry: string,
    dataCentre: string,
    service: 'in' | 'out',
  ): Promise<HttpReply> {
    const path = `/v1/data-centres/${encodeURIComponent(dataCentre)}`;
    return this.call(entry, 'POST', `${path}/${service}`);
  }

  /** Reads whether a revision is accepted and in force in every process. */
  async readRevision(entry: string, revision: number): Promise<RevisionStatus> {
    const reply = await this.call(entry, 'GET', `/v1/revisions/${revision}`);
    return JSON.parse(reply.text) as RevisionStatus;
  }

  /** Reads the status report of an entry. */
  async readStatus(entry: string): Promise<StatusReport> {
    const reply = await this.call(entry, 'GET', '/v1/status');
    return JSON.parse(reply.text) as StatusReport;
  }
}
