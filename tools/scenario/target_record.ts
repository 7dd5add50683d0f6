/** Reads the starts and refusals that a stand-in target has recorded. */
import type {RecordReport} from '../../stand_ins/target_record.js';
import type {RecordedRefusal, RecordedStart} from './evidence.js';
import type {ProcessPlan} from './fleet_plan.js';
import {readReply} from './http_call.js';
import type {CallHttp, HttpCall} from './http_call.js';

/** Part of the record of a target that becomes evidence. */
export interface TargetRecord {
  readonly starts: readonly RecordedStart[];
  readonly refusals: readonly RecordedRefusal[];
  /** How often the target had more tasks or connections than it allows. */
  readonly violations: number;
}

/** Reads the record of a target from its start. */
export async function readTargetRecord(
  callHttp: CallHttp,
  address: string,
  plan: ProcessPlan,
): Promise<TargetRecord> {
  const call: HttpCall = {method: 'GET', url: `${address}/record?after=0`};
  const body = readReply<RecordReport>(call, await callHttp(call));
  const starts = body.starts.map(start => ({
    taskId: String(start.id),
    target: plan.name,
    dataCentre: plan.dataCentre,
    instance: start.instance,
    startedAtMs: start.startMs,
  }));
  const refusals = body.refusals.map(refusal => ({
    target: plan.name,
    atMs: refusal.atMs,
  }));
  const {slots, connections} = body.violations;
  return {starts, refusals, violations: slots + connections};
}
