import {expect} from 'chai';
import {repeatTimer, startTimer} from '../../src/lib/core/clock.js';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {openLineStream} from '../../src/lib/work/link/line_stream.js';
import {RUN_EXPIRY_MS} from '../../src/lib/work/entry/run_expiry.js';
import type {FleetTarget} from '../../stand_ins/fleet_target.js';
import {ControlScope, DirectionEvent} from '../../stand_ins/relay_control.js';
import {RelayServer} from '../../stand_ins/relay_server.js';
import {waitUntil} from '../wait_until.js';
import {
  call,
  createJobBody,
  createJobPath,
  FleetFixture,
} from './fleet_fixture.js';

/** Run time of the task, longer than an entry waits for a silent agent. */
const RUN_MS = 3 * RUN_EXPIRY_MS;

const RESET_PERIOD_MS = 200;

interface RelayedTarget {
  readonly target: FleetTarget;
  readonly relay: RelayServer;
}

// Guards against two runs of one task: an agent whose messages get lost takes a link
// that opens for contact, and goes on with runs that its entry places elsewhere.
describe('Agents whose links open but carry messages one way only', function () {
  this.timeout(30_000);
  let fleet: FleetFixture;
  let relays: RelayServer[];

  beforeEach(async () => {
    fleet = await FleetFixture.create();
    relays = [];
  });

  afterEach(async () => {
    await fleet.close();
    await Promise.all(relays.map(relay => relay.stop()));
  });

  /** Starts an agent that reaches the entry through a relay of its own. */
  async function startRelayed(
    name: string,
    links: string,
  ): Promise<RelayedTarget> {
    const [host, port] = links.split(':');
    const to = {host, port: Number(port)};
    const relay = await RelayServer.create({
      port: 0,
      controlPort: 0,
      to,
      delayMs: 0,
    });
    relays.push(relay);
    const {target} = await fleet.startTarget(
      name,
      {},
      'zone-a',
      (_address, listener) =>
        openLineStream(`127.0.0.1:${relay.port}`, listener),
    );
    return {target, relay};
  }

  async function control(
    {controlPort}: RelayServer,
    settings: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    const body = {direction: ControlScope.FORWARD, ...settings};
    await call(`127.0.0.1:${controlPort}`, 'POST', '/control', body);
  }

  for (const isReset of [false, true]) {
    const detail = isReset ? 'reset again and again' : 'closed by the entry';
    it(`run no task beside its next run, with links ${detail}`, async () => {
      const entry = await fleet.startEntry('entry-1');
      const nodes = [
        await startRelayed('t1', entry.links),
        await startRelayed('t2', entry.links),
      ];
      await waitUntil('a job is served', async () => {
        const body = createJobBody(1, 1);
        const reply = await call(entry.callers, 'POST', createJobPath(), body);
        return reply.status === 200;
      });
      const isRunning = ({target}: RelayedTarget) =>
        target.listRunning().length > 0;
      const submission = call(
        entry.callers,
        'POST',
        createJobPath(),
        createJobBody(1, RUN_MS),
        4 * RUN_MS,
      );
      await waitUntil('the task runs', () => nodes.some(isRunning));
      const [cut] = nodes.filter(isRunning);
      const [other] = nodes.filter(node => node !== cut);
      await control(cut.relay, {action: DirectionEvent.HOLD});
      const stopResets = repeatTimer(startTimer, RESET_PERIOD_MS, () => {
        if (isReset) void control(cut.relay, {reset: true});
      });
      await waitUntil('it runs on the other target', () => isRunning(other));
      stopResets();
      const isTwice = isRunning(cut);
      await control(cut.relay, {action: DirectionEvent.RESTORE});
      await submission;
      expect(isTwice, 'it still runs on the first target').to.equal(false);
      expect(fleet.hasLogged(FleetEvent.RUNS_OVER, 'entry-1')).to.equal(true);
    });
  }
});
