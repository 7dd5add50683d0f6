import {expect} from 'chai';
import {readMonotonicMs, startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {createIncarnation} from '../../src/lib/core/identity.js';
import {ConfigurationTask} from '../../src/lib/entry/configuration_task.js';
import {HttpPlatformStore} from '../../src/lib/store/http_platform_store.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../../src/lib/records/configuration_view.js';
import {PlatformStoreServer} from '../../stand_ins/platform_store_server.js';
import {LostReplies, StoreMode} from '../../stand_ins/store_control.js';
import type {StoreControl} from '../../stand_ins/store_control.js';
import {PREFIX, createAdministration} from '../admin/administration_fixture.js';
import type {AdministrationFixture} from '../admin/administration_fixture.js';
import {waitUntil} from '../wait_until.js';

const OUT_PATH = '/v1/data-centres/vn-south-a/out';
const IN_PATH = '/v1/data-centres/vn-south-a/in';

describe('ConfigurationTask over HTTP, with the stand-in of the store', () => {
  let cleanUp: DisposableStore;
  let server: PlatformStoreServer;
  let administration: AdministrationFixture;
  let view: ConfigurationView | undefined;
  let evidence: ConfigurationEvidence | undefined;

  beforeEach(async () => {
    cleanUp = DisposableStore.create();
    view = undefined;
    evidence = undefined;
    server = await PlatformStoreServer.create({
      port: 0,
      limits: {writesPerSecond: 500, readsPerSecond: 2000},
      historyLimit: 100,
      leasesExpireInOutage: false,
      readMonotonicMs,
      createLeaseId: createIncarnation,
    });
    cleanUp.add(() => server.stop());
    administration = await createAdministration(createClient());
    cleanUp.add(() => administration.task.stop());
    const task = createTask();
    cleanUp.add(() => task.stop());
    await waitUntil('the entry is registered', () =>
      (view?.entries ?? []).some(entry => entry.id === 'entry-1'),
    );
  });

  afterEach(() => cleanUp.dispose());

  function createClient(): HttpPlatformStore {
    const address = server.origin;
    return HttpPlatformStore.create({address, callTimeoutMs: 300});
  }

  function createTask(): ConfigurationTask {
    return ConfigurationTask.create({
      store: createClient(),
      identity: {id: 'entry-1', incarnation: 'x', dataCentre: 'vn-south-a'},
      address: '127.0.0.1:1',
      prefix: PREFIX,
      watchWaitMs: 100,
      callTimeoutMs: 300,
      leaseMs: 1500,
      publishView: newer => (view = newer),
      publishEvidence: newer => (evidence = newer),
      reportRecord: () => undefined,
      reportRegistration: () => undefined,
      reportFailure: () => undefined,
      readMonotonicMs,
      startTimer,
      drawRandom: Math.random,
    });
  }

  async function control(change: StoreControl): Promise<void> {
    const body = JSON.stringify(change);
    await fetch(`${server.origin}/control`, {method: 'POST', body});
  }

  async function waitForContact(contact: StoreContact): Promise<void> {
    await waitUntil(
      `contact is ${contact}`,
      () => evidence?.contact === contact,
    );
  }

  async function waitForOut(names: readonly string[]): Promise<void> {
    await waitUntil(
      `the data centres out are ${names.join(', ')}`,
      () => view?.dataCentresOut.join() === names.join(),
    );
  }

  it('applies a change although the reply to its write was lost', async () => {
    await control({loseReplies: LostReplies.NEXT_WRITE});
    const reply = await administration.call('POST', OUT_PATH);
    expect(reply.status).to.equal(200);
    await waitForOut(['vn-south-a']);
    expect(view!.revision).to.be.at.least(reply.body.revision);
  });

  for (const mode of [StoreMode.DOWN, StoreMode.HANG]) {
    it(`keeps the view while the store is ${mode} and catches up afterwards`, async () => {
      await administration.call('POST', OUT_PATH);
      await waitForOut(['vn-south-a']);
      await control({mode});
      await waitForContact(StoreContact.LOST);
      expect(view!.dataCentresOut).to.deep.equal(['vn-south-a']);
      const refused = await administration.call('POST', IN_PATH);
      expect(refused.status).to.equal(503);
      await control({mode: StoreMode.UP});
      await waitForContact(StoreContact.CONFIRMED);
      const back = await administration.call('POST', IN_PATH);
      expect(back.status).to.equal(200);
      await waitForOut([]);
    });
  }

  it('keeps the newer view when the store answers with stale data', async () => {
    const staleRevision = view!.revision;
    await administration.call('POST', OUT_PATH);
    await waitForOut(['vn-south-a']);
    await control({staleRevision});
    await waitForContact(StoreContact.LOST);
    expect(view!.dataCentresOut).to.deep.equal(['vn-south-a']);
    await control({staleRevision: null});
    await waitForContact(StoreContact.CONFIRMED);
    expect(view!.dataCentresOut).to.deep.equal(['vn-south-a']);
  });

  it('lists again after the store has compacted its changes', async () => {
    await control({mode: StoreMode.DOWN});
    await waitForContact(StoreContact.LOST);
    await control({mode: StoreMode.UP});
    await administration.call('POST', OUT_PATH);
    await control({compact: true});
    await waitForOut(['vn-south-a']);
    await waitForContact(StoreContact.CONFIRMED);
  });
});
