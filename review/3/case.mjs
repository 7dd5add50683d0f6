/**
 * A heartbeat of another writer reaches an agent: its service is not named in the
 * configuration, so it names no runner to use; the others hold.
 */
import {runCase} from '../stand_ins/run_case.mjs';
import {findOverlaps, sendHeartbeat} from '../stand_ins/runner.mjs';
import {call, createId, sleep} from '../stand_ins/system.mjs';

await runCase(
  import.meta.filename,
  {entries: 1, runners: [{}, {}, {}]},
  async ({system, runners, record, hasTrouble}) => {
    const id = createId();
    const body = JSON.stringify({
      spec: JSON.stringify({ms: 3000}),
      steps: [{count: 6, cpu: 1000, memMb: 64, estimateMs: 3000}],
      bestEffort: true,
    });
    record(`POST ${id} sent`);
    const posted = call({
      host: system.entryHost(1),
      port: system.ports.front,
      method: 'POST',
      path: `/jobs/${id}`,
      headers: {host: 'desk.example', 'deadline-ms': '15000'},
      body,
    }).then(({status, text}) =>
      record(`POST ${id} answered ${status} ${text}`),
    );
    await sleep(1000);
    if (hasTrouble) {
      const runner = runners.find(({runs}) => runs.size > 0);
      const heartbeat = {
        service: 'unknown',
        address: `${runner.options.host}:${system.ports.app}`,
        zone: 'zone-a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldRemainingMs: 0,
        capacity: {cpu: 16_000, memMb: 32_768, gpus: 0},
        labels: [],
        clockMs: 5000,
        sequence: 4,
        born: Date.now(),
      };
      const {control} = runner.options;
      const status = await sendHeartbeat(
        control,
        'i-other',
        JSON.stringify(heartbeat),
      );
      record(`heartbeat of another writer to ${control}: ${status}`);
    }
    await posted;
    return findOverlaps(runners).map(
      ({a, b, from, to}) =>
        `TWICE: ${a.task} run ${a.run} on ${a.runner} and run ${b.run} on ${b.runner} for ${Math.round(to - from)} ms`,
    );
  },
);
