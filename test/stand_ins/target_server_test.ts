import {expect} from 'chai';
import {request} from 'undici';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {HttpListener, sendJson} from '../../stand_ins/http_listener.js';
import type {HttpExchange} from '../../stand_ins/http_listener.js';
import {RefusalReason, StartOutcome} from '../../stand_ins/target_record.js';
import {TargetServer} from '../../stand_ins/target_server.js';
import {TargetMode} from '../../stand_ins/target_work.js';
import {waitUntil} from '../wait_until.js';

const readHostMs = () => Number(process.hrtime.bigint()) / 1e6;

describe('TargetServer', () => {
  let cleanUp: DisposableStore;
  let target: TargetServer;
  let received: Array<{method: string; path: string; body: unknown}>;
  let announced: Promise<void>;

  async function run(
    index: number,
    payload: object,
    headers: Record<string, string> = {},
    signal?: AbortSignal,
  ) {
    // fetch() repeats a request that is answered 421; request() does not.
    const reply = await request(`${target.origin}/v1/tasks`, {
      method: 'POST',
      body: JSON.stringify(payload),
      headers: {
        'foxtailbay-job': 'job',
        'foxtailbay-task': String(index),
        'foxtailbay-instance': 'life-1',
        ...headers,
      },
      signal,
    });
    const body: unknown = await reply.body.json();
    const started = reply.headers['foxtailbay-started'];
    return {status: reply.statusCode, body, started};
  }

  function control(mode: TargetMode, factor = 1) {
    const body = JSON.stringify({mode, factor});
    return fetch(`${target.origin}/control`, {method: 'POST', body});
  }

  function readOutcomes() {
    return target.report().starts.map(start => start.outcome);
  }

  beforeEach(async () => {
    cleanUp = DisposableStore.create();
    received = [];
    let resolve: () => void;
    announced = new Promise(done => (resolve = done));
    const agent = await HttpListener.create(0, (exchange: HttpExchange) => {
      const {method, url, body} = exchange;
      received.push({method, path: url.pathname, body: JSON.parse(body)});
      sendJson(exchange.response, 200, {renewWithinMs: 3000});
      resolve();
    });
    cleanUp.add(() => agent.close());
    target = await TargetServer.create({
      name: 't1',
      instance: 'life-1',
      agent: agent.origin,
      port: 0,
      limits: {slots: 1, connections: 1},
      speed: 2,
      renewPeriodMs: 60_000,
      finishesAbandoned: false,
      readHostMs,
    });
    cleanUp.add(() => target.kill());
  });

  afterEach(() => cleanUp.dispose());

  it('announces itself and deregisters after its running task is answered', async () => {
    await announced;
    expect(received).to.deep.equal([
      {
        method: 'PUT',
        path: '/v1/targets/t1',
        body: {
          address: target.origin,
          instance: 'life-1',
          slots: 1,
          connections: 1,
        },
      },
    ]);
    const running = run(0, {do: 'sleep', ms: 100, echo: 'tea'});
    await waitUntil('it runs', () => target.report().running > 0);
    await target.stop();
    expect(await running).to.deep.include({
      status: 200,
      body: {echo: 'tea', ms: 50},
    });
    expect(received[1]).to.deep.include({method: 'DELETE'});
  });

  it('refuses a late task and one for another instance and reports them as not started', async () => {
    const past = {'foxtailbay-start-before': String(readHostMs() - 1)};
    const other = {'foxtailbay-instance': 'life-0'};
    expect(await run(0, {do: 'echo'}, past)).to.include({
      status: 409,
      started: 'no',
    });
    expect(await run(0, {do: 'echo'}, other)).to.include({
      status: 421,
      started: 'no',
    });
    const future = {'foxtailbay-start-before': String(readHostMs() + 60_000)};
    expect(await run(0, {do: 'echo', value: 1}, future)).to.deep.equal({
      status: 200,
      body: 1,
      started: undefined,
    });
    const {starts, refusals} = target.report();
    expect(starts).to.have.length(1);
    expect(refusals.map(refusal => refusal.reason)).to.deep.equal([
      RefusalReason.LATE,
      RefusalReason.OTHER_INSTANCE,
    ]);
  });

  it('counts violations of slots, of connections and by duplicate starts', async () => {
    await Promise.all([
      run(0, {do: 'sleep', ms: 200}),
      run(0, {do: 'sleep', ms: 200}),
    ]);
    expect(target.report().violations).to.deep.equal({
      slots: 1,
      connections: 1,
      duplicates: 1,
    });
  });

  it('fails all tasks, refuses them while leaving, and accepts them again', async () => {
    await control(TargetMode.FAIL_ALL);
    expect(await run(0, {do: 'echo'})).to.include({status: 500});
    await control(TargetMode.LEAVE);
    expect(await run(1, {do: 'echo'})).to.include({status: 503, started: 'no'});
    await control(TargetMode.NORMAL);
    expect(await run(2, {do: 'echo'})).to.include({status: 200});
    expect(readOutcomes()).to.deep.equal([
      StartOutcome.FAILED,
      StartOutcome.SUCCEEDED,
    ]);
  });

  it('records a hanging task as abandoned when its client disconnects', async () => {
    const client = new AbortController();
    const hanging = run(0, {do: 'hang'}, {}, client.signal).catch(() => 'cut');
    await waitUntil('it runs', () => target.report().running > 0);
    client.abort();
    expect(await hanging).to.equal('cut');
    await waitUntil('it ends', () => target.report().running === 0);
    expect(readOutcomes()).to.deep.equal([StartOutcome.ABANDONED]);
  });
});
