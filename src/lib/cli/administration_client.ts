/** Client of the administration API. */
import {Option} from 'commander';
import type {Command} from 'commander';
import {UsageError} from '../core/errors.js';
import type {RecordIdentity, ServiceState} from '../records/record.js';
import type {CommandContext} from './command_context.js';
import {createTimeoutOption, MS_PER_S} from './entry_options.js';
import {composeUrl, Method} from './http_exchange.js';
import type {HttpReply, HttpRequest} from './http_exchange.js';
import type {RecordDraft} from './record_file.js';

/** Options shared by all operator commands. */
export interface AdministrationOptions {
  /** Base URL of an entry's administration listener. */
  readonly administration: string;
  /** File that contains the key; if absent, the environment contains it. */
  readonly keyFile?: string;
  /** Wait limit in seconds. */
  readonly timeout: number;
}

/** The context, options and key that each call needs. */
export interface AdministrationClient {
  readonly context: CommandContext;
  readonly options: AdministrationOptions;
  readonly key: string;
}

/** A conditional write of one record, identifiable later by its write id. */
export interface RecordWrite {
  readonly draft: RecordDraft;
  /** Random; appears in the record's history once the write is applied. */
  readonly writeId: string;
  /** Revision of the record when it was read; undefined if it did not exist. */
  readonly seenRevision: number | undefined;
}

/** Environment variable that holds the administration key. */
export const KEY_VARIABLE = 'FOXTAILBAY_ADMINISTRATION_KEY';

const DEFAULT_ADMINISTRATION = 'http://127.0.0.1:7402';
const DEFAULT_TIMEOUT_S = 30;

/** Adds the options shared by all operator commands. */
export function addAdministrationOptions(command: Command): Command {
  return command
    .addOption(
      new Option('--administration <url>', 'base URL of the administration API')
        .env('FOXTAILBAY_ADMINISTRATION')
        .default(DEFAULT_ADMINISTRATION),
    )
    .option(
      '--key-file <file>',
      `file with the administration key (or ${KEY_VARIABLE})`,
    )
    .addOption(createTimeoutOption(DEFAULT_TIMEOUT_S));
}

/**
 * Creates a client from a command's options.
 *
 * @throws UsageError if no administration key is configured.
 */
export function createAdministrationClient(
  context: CommandContext,
  options: AdministrationOptions,
): AdministrationClient {
  const key =
    options.keyFile === undefined
      ? context.environment[KEY_VARIABLE]
      : context.readFile(options.keyFile).trim();
  if (key === undefined || key === '') {
    throw new UsageError(
      `The administration key is missing: set ${KEY_VARIABLE} or --key-file.`,
    );
  }
  return {context, options, key};
}

/** Lists the records of one kind, or of all kinds. */
export function listRecords(
  client: AdministrationClient,
  kind?: string,
): Promise<HttpReply> {
  return sendGet(client, ['records', ...(kind === undefined ? [] : [kind])]);
}

/** Requests the current version of one record. */
export function getRecord(
  client: AdministrationClient,
  {kind, name}: RecordIdentity,
): Promise<HttpReply> {
  return sendGet(client, ['records', kind, name]);
}

/** Requests the versions of one record, newest first. */
export function getHistory(
  client: AdministrationClient,
  {kind, name}: RecordIdentity,
): Promise<HttpReply> {
  return sendGet(client, ['records', kind, name, 'history']);
}

/** Writes a record on condition that it has not changed since it was read. */
export function putRecord(
  client: AdministrationClient,
  {draft, writeId, seenRevision}: RecordWrite,
): Promise<HttpReply> {
  const {kind, name, schemaVersion, spec} = draft;
  const precondition: Record<string, string> =
    seenRevision === undefined
      ? {'if-none-match': '*'}
      : {'if-match': `"${seenRevision}"`};
  return send(client, ['records', kind, name], {
    method: Method.PUT,
    headers: {...precondition, 'idempotency-key': writeId},
    body: {schemaVersion, kind, name, spec},
  });
}

/** Takes a data centre out of service or puts it back in. */
export function changeService(
  client: AdministrationClient,
  name: string,
  service: ServiceState,
): Promise<HttpReply> {
  return send(client, ['data-centres', name, service], {
    method: Method.POST,
    headers: {'idempotency-key': client.context.createId()},
  });
}

/** Requests the service state of a data centre and where it is in force. */
export function getDataCentre(
  client: AdministrationClient,
  name: string,
): Promise<HttpReply> {
  return sendGet(client, ['data-centres', name]);
}

/** Requests the entry's report on the fleet's processes and targets. */
export function getStatus(client: AdministrationClient): Promise<HttpReply> {
  return sendGet(client, ['status']);
}

/** Requests which processes have a revision in force. */
export function getRevision(
  client: AdministrationClient,
  revision: number,
): Promise<HttpReply> {
  return sendGet(client, ['revisions', String(revision)]);
}

function sendGet(
  client: AdministrationClient,
  path: readonly string[],
): Promise<HttpReply> {
  return send(client, path, {method: Method.GET});
}

function send(
  {context, options, key}: AdministrationClient,
  path: readonly string[],
  request: Pick<HttpRequest, 'method' | 'headers' | 'body'>,
): Promise<HttpReply> {
  return context.send({
    ...request,
    url: composeUrl(options.administration, 'v1', ...path),
    headers: {
      authorization: `Bearer ${key}`,
      'foxtailbay-operator': context.userName,
      ...request.headers,
    },
    timeoutMs: options.timeout * MS_PER_S,
  });
}
