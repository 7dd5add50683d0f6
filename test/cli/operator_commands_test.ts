import {expect} from 'chai';
import {ExitCode} from '../../src/lib/cli/exit_code.js';
import {createHttpClient} from '../../src/lib/cli/http_client.js';
import type {HttpClient} from '../../src/lib/cli/http_client.js';
import {Method, ReplyKind} from '../../src/lib/cli/http_exchange.js';
import type {SendRequest} from '../../src/lib/cli/http_exchange.js';
import {createAdministration, KEY} from '../admin/administration_fixture.js';
import type {AdministrationFixture} from '../admin/administration_fixture.js';
import {MemoryStore} from '../fakes/memory_store.js';
import {createFailure, runFoxtailbay} from './fake_context.js';

function composeTeam(weight: number): string {
  const spec = {weight, slotsAtMost: 0, tasksPerSecondAtMost: 0};
  return JSON.stringify({kind: 'team', name: 'search', spec});
}

const FILES = {'one.yaml': composeTeam(1), 'two.yaml': composeTeam(2)};

describe('foxtailbay with a real administration listener', () => {
  let store: MemoryStore;
  let fixture: AdministrationFixture;
  let client: HttpClient;
  let runs = 0;

  beforeEach(async () => {
    store = MemoryStore.create();
    fixture = await createAdministration(store.createClient());
    client = createHttpClient();
  });

  afterEach(async () => {
    await client.close();
    await fixture.task.stop();
  });

  function run(words: string, send: SendRequest = client.send, key = KEY) {
    runs += 1;
    const url = `http://127.0.0.1:${fixture.task.port}`;
    return runFoxtailbay([...words.split(' '), '--administration', url], {
      files: FILES,
      environment: {FOXTAILBAY_ADMINISTRATION_KEY: key},
      createdId: `run-${runs}`,
      send,
    });
  }

  /** Creates a send function that passes writes to `handle` and sends reads. */
  function createInterception(handle: SendRequest): SendRequest {
    return request =>
      request.method === Method.PUT ? handle(request) : client.send(request);
  }

  it('applies, shows and lists records', async () => {
    const applied = await run('records apply one.yaml');
    expect(applied.exitCode).to.equal(ExitCode.OK);
    expect((await run('records diff one.yaml')).output).to.contain(
      'no difference',
    );
    expect((await run('records diff two.yaml')).output).to.contain(
      '~ spec.weight: 1 -> 2',
    );
    const list = await run('records list');
    expect(list.output).to.match(/team\s+search\s+1\s+1\s+ngoc\s+in force/);
    const history = await run('records history team search');
    expect(history.output).to.match(/1\s+1\s+ngoc\s+\{"weight":1/);
  });

  it('refuses a write if another operator wrote the record first', async () => {
    const race = createInterception(async request => {
      await run('records apply two.yaml');
      return client.send(request);
    });
    const slower = await run('records apply one.yaml', race);
    expect(slower.exitCode).to.equal(ExitCode.REFUSED);
    const current = await run('records diff two.yaml');
    expect(current.output).to.contain('no difference');
  });

  it('finds a change whose reply was lost in the history and writes it once', async () => {
    const losing = createInterception(async request => {
      await client.send(request);
      return createFailure(ReplyKind.LOST);
    });
    const {exitCode, output} = await run('records apply one.yaml', losing);
    expect(exitCode).to.equal(ExitCode.OK);
    expect(output).to.contain('the history shows the change');
    expect(store.revision).to.equal(1);
  });

  it('reports an unknown outcome for a change that may still arrive', async () => {
    await run('records apply one.yaml');
    const losing = createInterception(async () =>
      createFailure(ReplyKind.LOST),
    );
    const {exitCode} = await run('records apply two.yaml', losing);
    expect(exitCode).to.equal(ExitCode.UNKNOWN);
    expect(store.revision).to.equal(1);
  });

  it('waits until a data centre out of service is in force at the last process', async () => {
    let polls = 0;
    const {exitCode, output} = await run(
      'datacentre out vn-south-a --wait',
      async request => {
        if (request.url.includes('/revisions/')) polls += 1;
        if (polls === 3) fixture.revisions.set('agent/agent-1', 1);
        return client.send(request);
      },
    );
    expect(exitCode).to.equal(ExitCode.OK);
    expect(polls).to.equal(3);
    expect(output).to.contain('missing at agent/agent-1');
    expect(output).to.contain('Now revision 1 in force everywhere');
    const status = await run('datacentre status vn-south-a');
    expect(status.output).to.contain('vn-south-a: out by ngoc');
  });

  it('refuses a wrong key, and reports that the store is unavailable', async () => {
    const wrong = await run('status', client.send, 'another key of sixteen');
    expect(wrong.exitCode).to.equal(ExitCode.REFUSED);
    store.faults.isDown = true;
    const down = await run('records list');
    expect(down.exitCode).to.equal(ExitCode.REFUSED);
    expect(down.messages).to.contain('store-unavailable');
  });
});
