/** Measures the cost of idle agent streams to one entry, for docs/CAPACITY.md. */
import {readFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  readMonotonicMs,
  repeatTimer,
  startTimer,
} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {TargetCondition} from '../../src/lib/core/link_messages.js';
import type {LoadReport} from '../../src/lib/core/link_messages.js';
import {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import {JobOrder} from '../../src/lib/decisions/rank_job.js';
import {openLinkStream} from '../../src/lib/wire/link_client.js';
import {Fleet, ProcessKind} from '../load/fleet.js';
import {LOOPBACK_HOST} from '../load/fleet_files.js';
import {readProcessUsage} from '../load/process_usage.js';

const SIZES = [10, 100, 300, 600];
const PING_PERIOD_MS = 500;
const MEASURED_MS = 8000;
const SETTLE_MS = 3000;
const KIBIBYTE = 1024;
const MEBIBYTE = KIBIBYTE * KIBIBYTE;

const LOAD: LoadReport = {
  target: TargetCondition.PRESENT,
  targetName: 'target',
  targetInstance: 'instance',
  isPermitted: true,
  isLeaving: false,
  slots: 8,
  running: 0,
  queued: 0,
  queueLimit: 4,
  configurationRevision: 1,
  ownOutstanding: 0,
  highestSequence: 0,
};

function openAgent(port: number, number: number, store: DisposableStore) {
  const stream = openLinkStream(`${LOOPBACK_HOST}:${port}`, {
    receive: () => undefined,
    fail: detail => process.emitWarning(detail),
  });
  const agent = {
    id: `agent-${number}`,
    incarnation: `incarnation-${number}`,
    dataCentre: 'vn-south-a',
  };
  const hello = {agent, streamNumber: 1, load: LOAD};
  const resumption = {knownEntryIncarnation: '', highestSequence: 0};
  stream.send({hello: {...hello, ...resumption}, reports: []});
  const ping = () =>
    stream.send({reports: [], load: LOAD, pingSentAtMs: readMonotonicMs()});
  store.add(() => stream.close());
  store.add(repeatTimer(startTimer, PING_PERIOD_MS, ping));
}

function countBytes(id: number): number {
  const text = readFileSync(`/proc/${id}/io`, 'utf8');
  const read = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(text)?.[1] ?? 0);
  return read('rchar') + read('wchar');
}

function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => void startTimer(delayMs, resolve));
}

async function measureStreams(size: number): Promise<string> {
  const store = DisposableStore.create();
  const fleet = await Fleet.create({
    settings: {
      dataCentres: ['vn-south-a'],
      entries: 1,
      targets: 0,
      slots: 8,
      connections: 64,
      slownessPercent: [100],
      agentQueueLimit: 4,
    },
    teams: [],
    policy: PlacementKind.LEAST_LOADED,
    order: JobOrder.STRETCH,
    agentOneWayMs: 0,
    folder: mkdtempSync(join(tmpdir(), 'foxtailbay-slopes-')),
  });
  store.add(() => fleet.stop());
  const {peers} = fleet.entryPorts[0];
  for (let number = 0; number < size; number += 1) {
    openAgent(peers, number, store);
  }
  await waitMs(SETTLE_MS);
  const [id] = fleet.listProcessIds(ProcessKind.ENTRY);
  const before = readProcessUsage(id)!;
  const bytesBefore = countBytes(id);
  await waitMs(MEASURED_MS);
  const after = readProcessUsage(id)!;
  const bytes = countBytes(id) - bytesBefore;
  await store.dispose();
  const corePercent =
    (100 * (after.processorMs - before.processorMs)) / MEASURED_MS;
  const cells = [
    size,
    (after.residentBytes / MEBIBYTE).toFixed(1),
    corePercent.toFixed(2),
    ((bytes / KIBIBYTE) * (1000 / MEASURED_MS)).toFixed(1),
  ];
  return `| ${cells.join(' | ')} |\n`;
}

process.stdout.write('| streams | resident MiB | % of a core | KiB/s |\n');
process.stdout.write('| --- | --- | --- | --- |\n');
for (const size of SIZES) process.stdout.write(await measureStreams(size));
