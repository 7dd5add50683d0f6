/** A thread that owns the relays of some agents. */
import {parentPort, workerData} from 'node:worker_threads';
import {AgentRelay} from './agent_relay.js';
import {RelayMessageKind} from './relay_messages.js';
import type {RelayMessage, RelayPlan} from './relay_messages.js';

const nameRelay = (agent: number, entry: number) => `${agent} ${entry}`;

const relays = new Map(
  (workerData as readonly RelayPlan[]).map(plan => [
    nameRelay(plan.agent, plan.entry),
    AgentRelay.create(plan),
  ]),
);

parentPort?.on('message', (message: RelayMessage) => {
  const relay = relays.get(nameRelay(message.agent, message.entry));
  switch (message.kind) {
    case RelayMessageKind.ENTRY_UP:
      return relay?.setEntryUp(message.isUp);
    case RelayMessageKind.RULES:
      return relay?.setRules(message.rules, message.isRefusing);
    case RelayMessageKind.RESET:
      return relay?.reset();
  }
});
