/** The operators' calls to the administration API. */
import type {RevisionStatus, StatusReport} from './status_report.js';
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {ADMINISTRATION_KEY} from './fleet_plan.js';
import type {CallHttp, HttpCall, HttpReply} from './http_call.js';

/** What the client needs. */
export interface AdministrationOptions {
  readonly call: CallHttp;
  readonly readMs: ReadMonotonicMs;
  /** Returns the address of an entry's administration listener. */
  readonly findAddress: (entry: string) => string;
}

const CHANGE_TIMEOUT_MS = 20_000;

/** Speaks to the administration APIs of the entries. */
export class AdministrationClient {
  private constructor(private readonly options: AdministrationOptions) {}

  /** Creates a client. */
  static create(options: AdministrationOptions): AdministrationClient {
    return new AdministrationClient(options);
  }

  /** Makes a call with the operators' key. */
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

  /** Takes a data centre out or in; returns the reply. */
  setService(
    entry: string,
    dataCentre: string,
    service: 'in' | 'out',
  ): Promise<HttpReply> {
    const path = `/v1/data-centres/${encodeURIComponent(dataCentre)}`;
    return this.call(entry, 'POST', `${path}/${service}`);
  }

  /** Reads who has a revision in force. */
  async readRevision(entry: string, revision: number): Promise<RevisionStatus> {
    const reply = await this.call(entry, 'GET', `/v1/revisions/${revision}`);
    return JSON.parse(reply.text) as RevisionStatus;
  }

  /** Reads what an entry reports of itself and its agents. */
  async readStatus(entry: string): Promise<StatusReport> {
    const reply = await this.call(entry, 'GET', '/v1/status');
    return JSON.parse(reply.text) as StatusReport;
  }
}
