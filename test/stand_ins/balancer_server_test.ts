import {expect} from 'chai';
import {Client} from 'undici';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {BalancerServer} from '../../stand_ins/balancer_server.js';
import {HttpListener, sendJson} from '../../stand_ins/http_listener.js';
import {waitUntil} from '../wait_until.js';

interface FakeEntry {
  readonly name: string;
  readonly listener: HttpListener;
  isReady: boolean;
}

describe('BalancerServer', () => {
  let cleanUp: DisposableStore;
  let entries: FakeEntry[];
  let balancer: BalancerServer;

  async function createEntry(name: string): Promise<FakeEntry> {
    const entry = {
      name,
      isReady: true,
      listener: await HttpListener.create(0, ({url, response}) => {
        const isCheck = url.pathname === '/readyz';
        const status = isCheck && !entry.isReady ? 503 : 200;
        sendJson(response, status, {name});
      }),
    };
    cleanUp.add(() => entry.listener.close());
    return entry;
  }

  function openCaller(): Client {
    const client = new Client(`http://127.0.0.1:${balancer.port}`);
    cleanUp.add(() => client.destroy());
    return client;
  }

  async function ask(client: Client): Promise<string> {
    const reply = await client.request({method: 'GET', path: '/'});
    return ((await reply.body.json()) as {name: string}).name;
  }

  beforeEach(async () => {
    cleanUp = DisposableStore.create();
    entries = [await createEntry('a'), await createEntry('b')];
    balancer = await BalancerServer.create({
      port: 0,
      entries: entries.map(({listener}) => ({
        host: '127.0.0.1',
        port: listener.port,
      })),
      checkPeriodMs: 10,
    });
    cleanUp.add(() => balancer.stop());
    await waitUntil('both entries are ready', () => balancer.readyCount === 2);
  });

  afterEach(() => cleanUp.dispose());

  it('distributes connections over the ready entries in turn', async () => {
    const names = [];
    for (let i = 0; i < 4; i += 1) names.push(await ask(openCaller()));
    expect(names.sort()).to.deep.equal(['a', 'a', 'b', 'b']);
  });

  it('sends no new connections to an entry that is not ready and keeps its open ones', async () => {
    const callers = [openCaller(), openCaller()];
    const before = [await ask(callers[0]), await ask(callers[1])];
    entries[0].isReady = false;
    await waitUntil('one entry is left', () => balancer.readyCount === 1);
    expect(await ask(openCaller())).to.equal('b');
    expect(await ask(openCaller())).to.equal('b');
    expect([await ask(callers[0]), await ask(callers[1])]).to.deep.equal(
      before,
    );
    entries[0].isReady = true;
    await waitUntil(
      'both entries are ready again',
      () => balancer.readyCount === 2,
    );
  });

  it('connects to the next entry when one refuses the connection', async () => {
    await entries[0].listener.close();
    expect(await ask(openCaller())).to.equal('b');
    expect(await ask(openCaller())).to.equal('b');
  });
});
