/** Maps the messages between agents and entries to and from wire messages. */
import * as core from '../core/link_messages.js';
import {TaskEnd} from '../core/job.js';
import {StoreContact} from '../records/configuration_view.js';
import type {ProcessIdentity} from '../core/identity.js';
import * as wire from './generated/foxtailbay.js';

/** Reasons by their number on the wire; `indexOf` gives the number. */
const REASONS: ReadonlyArray<core.NotStartedReason> = [
  core.NotStartedReason.NONE,
  core.NotStartedReason.QUEUE_FULL,
  core.NotStartedReason.NO_TARGET,
  core.NotStartedReason.NO_PERMISSION,
  core.NotStartedReason.DATA_CENTRE_OUT,
  core.NotStartedReason.WITHDRAWN,
  core.NotStartedReason.EXPIRED,
  core.NotStartedReason.LEAVING,
  core.NotStartedReason.STALE_SEQUENCE,
  core.NotStartedReason.TARGET_UNREACHABLE,
];

/** Task ends by their number on the wire; an unspecified one is unknown. */
const ENDS: ReadonlyArray<TaskEnd> = [
  TaskEnd.UNKNOWN,
  TaskEnd.SUCCEEDED,
  TaskEnd.FAILED,
  TaskEnd.NOT_STARTED,
  TaskEnd.UNKNOWN,
];

/** Conditions by their number on the wire; an unspecified one is absent. */
const CONDITIONS: ReadonlyArray<core.TargetCondition> = [
  core.TargetCondition.ABSENT,
  core.TargetCondition.ABSENT,
  core.TargetCondition.PRESENT,
  core.TargetCondition.LEAVING,
];

const WIRE_ENDS: Readonly<Record<TaskEnd, wire.TaskOutcome>> = {
  [TaskEnd.SUCCEEDED]: wire.TaskOutcome.SUCCEEDED,
  [TaskEnd.FAILED]: wire.TaskOutcome.FAILED,
  [TaskEnd.NOT_STARTED]: wire.TaskOutcome.NOT_STARTED,
  [TaskEnd.UNKNOWN]: wire.TaskOutcome.UNKNOWN,
};

const WIRE_CONDITIONS: Readonly<
  Record<core.TargetCondition, wire.TargetCondition>
> = {
  [core.TargetCondition.ABSENT]: wire.TargetCondition.ABSENT,
  [core.TargetCondition.PRESENT]: wire.TargetCondition.PRESENT,
  [core.TargetCondition.LEAVING]: wire.TargetCondition.LEAVING,
};

function toWireIdentity(identity: ProcessIdentity): wire.ProcessIdentity {
  return {
    id: identity.id,
    incarnation: identity.incarnation,
    dataCentre: identity.dataCentre,
  };
}

function toWireReport(report: core.TaskReport): wire.TaskUpdate {
  return {
    sequence: report.sequence,
    outcome: WIRE_ENDS[report.end],
    reason: REASONS.indexOf(report.reason),
    result: report.result as Buffer,
    runMs: Math.round(report.runMs),
    queuedMs: Math.round(report.queuedMs),
    targetStatus: report.targetStatus,
  };
}

function fromWireReport(update: wire.TaskUpdate): core.TaskReport {
  return {
    sequence: update.sequence,
    end: ENDS[update.outcome] ?? TaskEnd.UNKNOWN,
    reason: REASONS[update.reason] ?? core.NotStartedReason.NONE,
    result: update.result,
    runMs: update.runMs,
    queuedMs: update.queuedMs,
    targetStatus: update.targetStatus,
  };
}

function toWireLoad(load: core.LoadReport): wire.Load {
  return {
    target: WIRE_CONDITIONS[load.target],
    permission: load.isPermitted
      ? wire.StartPermission.GRANTED
      : wire.StartPermission.WITHHELD,
    slots: load.slots,
    running: load.running,
    queued: load.queued,
    queueLimit: load.queueLimit,
    leaving: load.isLeaving,
    configurationRevision: load.configurationRevision,
    ownOutstanding: load.ownOutstanding,
    highestSequence: load.highestSequence,
    targetName: load.targetName,
    targetInstance: load.targetInstance,
  };
}

function fromWireLoad(load: wire.Load): core.LoadReport {
  return {
    target: CONDITIONS[load.target] ?? core.TargetCondition.ABSENT,
    isPermitted: load.permission === wire.StartPermission.GRANTED,
    slots: load.slots,
    running: load.running,
    queued: load.queued,
    queueLimit: load.queueLimit,
    isLeaving: load.leaving,
    configurationRevision: load.configurationRevision,
    ownOutstanding: load.ownOutstanding,
    highestSequence: load.highestSequence,
    targetName: load.targetName,
    targetInstance: load.targetInstance,
  };
}

const EMPTY_LOAD: wire.Load = {
  target: wire.TargetCondition.ABSENT,
  permission: wire.StartPermission.WITHHELD,
  slots: 0,
  running: 0,
  queued: 0,
  queueLimit: 0,
  leaving: false,
  configurationRevision: 0,
  ownOutstanding: 0,
  highestSequence: 0,
  targetName: '',
  targetInstance: '',
};

function toWireHello(hello: core.AgentHello): wire.Hello {
  return {
    agent: toWireIdentity(hello.agent),
    knownEntryIncarnation: hello.knownEntryIncarnation,
    highestSequence: hello.highestSequence,
    streamNumber: hello.streamNumber,
    load: toWireLoad(hello.load),
    configurationRevision: hello.load.configurationRevision,
  };
}

function fromWireHello(hello: wire.Hello): core.AgentHello {
  return {
    agent: hello.agent ?? {id: '', incarnation: '', dataCentre: ''},
    streamNumber: hello.streamNumber,
    knownEntryIncarnation: hello.knownEntryIncarnation,
    highestSequence: hello.highestSequence,
    load: fromWireLoad(hello.load ?? EMPTY_LOAD),
  };
}

/** Converts an agent's frame to its wire message. */
export function encodeAgentFrame(frame: core.AgentFrame): wire.AgentFrame {
  return {
    hello: frame.hello && toWireHello(frame.hello),
    updates: frame.reports.map(toWireReport),
    load: frame.load && toWireLoad(frame.load),
    ping:
      frame.pingSentAtMs === undefined
        ? undefined
        : {sentAtMs: frame.pingSentAtMs},
  };
}

/** Converts a wire message to an agent's frame. */
export function decodeAgentFrame(frame: wire.AgentFrame): core.AgentFrame {
  return {
    hello: frame.hello && fromWireHello(frame.hello),
    reports: frame.updates.map(fromWireReport),
    load: frame.load && fromWireLoad(frame.load),
    pingSentAtMs: frame.ping?.sentAtMs,
  };
}

function toWireContact(contact: StoreContact): wire.StoreContact {
  return contact === StoreContact.CONFIRMED
    ? wire.StoreContact.CONFIRMED
    : wire.StoreContact.LOST;
}

function fromWireContact(contact: wire.StoreContact): StoreContact {
  return contact === wire.StoreContact.CONFIRMED
    ? StoreContact.CONFIRMED
    : StoreContact.LOST;
}

function toWirePong(pong: core.EntryPong): wire.Pong {
  return {
    pingSentAtMs: pong.pingSentAtMs,
    contact: toWireContact(pong.contact),
    confirmedAgeMs: pong.confirmedAgeMs,
    configurationRevision: pong.configurationRevision,
    leaving: pong.isLeaving,
  };
}

function fromWirePong(pong: wire.Pong): core.EntryPong {
  return {
    pingSentAtMs: pong.pingSentAtMs,
    contact: fromWireContact(pong.contact),
    confirmedAgeMs: pong.confirmedAgeMs,
    configurationRevision: pong.configurationRevision,
    isLeaving: pong.leaving,
  };
}

/** Converts the configuration for agents to its wire message. */
export function encodeConfiguration(
  configuration: core.AgentConfiguration,
): wire.Configuration {
  return {
    revision: configuration.revision,
    dataCentresOut: [...configuration.dataCentresOut],
    entries: configuration.entries.map(entry => ({...entry})),
  };
}

/** Converts a wire message to the configuration for agents. */
export function decodeConfiguration(
  configuration: wire.Configuration,
): core.AgentConfiguration {
  return {
    revision: configuration.revision,
    dataCentresOut: configuration.dataCentresOut,
    entries: configuration.entries,
  };
}

/** Converts an entry's frame to its wire message. */
export function encodeEntryFrame(frame: core.EntryFrame): wire.EntryFrame {
  return {
    welcome: frame.welcome && {entry: toWireIdentity(frame.welcome)},
    starts: frame.starts as wire.TaskStart[],
    withdrawn: frame.withdrawn as number[],
    acknowledged: frame.acknowledged as number[],
    pong: frame.pong && toWirePong(frame.pong),
    configuration:
      frame.configuration && encodeConfiguration(frame.configuration),
  };
}

/** Converts a wire message to an entry's frame. */
export function decodeEntryFrame(frame: wire.EntryFrame): core.EntryFrame {
  return {
    welcome: frame.welcome?.entry,
    starts: frame.starts,
    withdrawn: frame.withdrawn,
    acknowledged: frame.acknowledged,
    pong: frame.pong && fromWirePong(frame.pong),
    configuration:
      frame.configuration && decodeConfiguration(frame.configuration),
  };
}
