/** Interprets replies to queries about the fleet. */
import type {StatusReport} from '../../admin/status_report.js';
import type {DataCentreDocument} from '../administration_documents.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import {formatTable} from '../table.js';
import {createSuccess} from '../command_result.js';
import type {CommandResult} from '../command_result.js';
import {formatRevision} from './change_result.js';
import {Effect, interpretFailure} from './problem.js';

/** Interprets the reply to a query for the service state of a data centre. */
export function interpretDataCentre(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const document = reply.document as DataCentreDocument;
  const by = document.by === '' ? '' : ` by ${document.by}`;
  const text = `${document.name}: ${document.service}${by}, ${formatRevision(document)}`;
  return createSuccess(text, document);
}

/** Interprets an entry's status report as tables of processes and targets. */
export function interpretStatus(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const report = reply.document as StatusReport;
  const counters = Object.entries(report.counters).map(
    ([name, value]) => `  ${name}: ${value}`,
  );
  const text = [
    `entry ${report.entry}: revision ${report.configurationRevision}, store ${report.contact}`,
    '',
    formatProcessTable(report),
    '',
    formatTargetTable(report),
    ...(counters.length === 0 ? [] : ['', 'Counters', ...counters]),
  ];
  return createSuccess(text.join('\n'), report);
}

/** Interprets an entry's status report as a table of targets. */
export function interpretTargets(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const report = reply.document as StatusReport;
  return createSuccess(formatTargetTable(report), report.targets);
}

function formatProcessTable({processes}: StatusReport): string {
  const rows = processes.map(process => [
    process.role,
    process.id,
    process.dataCentre,
    String(process.configurationRevision),
    `${Math.round(process.heardAgeMs)} ms`,
    process.contact ?? '-',
  ]);
  const heading = ['ROLE', 'PROCESS', 'DATA CENTRE', 'REVISION', 'HEARD'];
  return formatTable([...heading, 'STORE'], rows);
}

function formatTargetTable({targets}: StatusReport): string {
  const rows = targets.map(target => [
    target.name,
    target.agent,
    target.dataCentre,
    target.condition,
    target.isPermitted ? 'yes' : 'no',
    `${target.running}/${target.slots}`,
    String(target.queued),
  ]);
  const heading = ['TARGET', 'AGENT', 'DATA CENTRE', 'CONDITION', 'PERMITTED'];
  return formatTable([...heading, 'RUNNING', 'QUEUED'], rows);
}
