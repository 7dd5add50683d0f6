import {request as createRequest} from 'node:http';
import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {StoreFault} from '../../stand_ins/fleet_store.js';
import {waitUntil} from '../wait_until.js';
import {
  call,
  createJobBody,
  createJobPath,
  FleetFixture,
} from './fleet_fixture.js';

describe("A fleet with the platform's protocol", function () {
  this.timeout(20_000);
  let fleet: FleetFixture;

  beforeEach(async () => {
    fleet = await FleetFixture.create();
  });

  afterEach(() => fleet.close());

  async function startSmallFleet() {
    const entry = await fleet.startEntry('entry-1');
    const first = await fleet.startTarget('t1');
    const second = await fleet.startTarget('t2');
    await waitUntil('both targets accept orders', () =>
      ['t1', 't2'].every(name =>
        fleet.hasLogged(FleetEvent.TARGET_READY, name),
      ),
    );
    await waitUntil('a job is served', async () => {
      const body = createJobBody(1, 1);
      const reply = await call(entry.callers, 'POST', createJobPath(), body);
      return reply.status === 200;
    });
    return {entry, first, second};
  }

  function countViolations(): number {
    return fleet.targets.reduce(
      (sum, {violations}) =>
        sum + violations.duplicates + violations.overCapacity,
      0,
    );
  }

  it('answers jobs once all their tasks are done, within the capacity', async () => {
    const {entry} = await startSmallFleet();
    const replies = await Promise.all(
      Array.from({length: 6}, () =>
        call(entry.callers, 'POST', createJobPath(), createJobBody(4, 40)),
      ),
    );
    for (const {status, body} of replies) {
      expect({status, ...body}).to.include({status: 200, state: 'completed'});
    }
    expect(countViolations()).to.equal(0);
  });

  it('repeats tasks whose orders got no answer, and runs none twice at a time', async () => {
    let orders = 0;
    // Every third order gets no answer, counted over both targets.
    const isAnswered = (path: string) =>
      path !== '/v1/run-start' || (orders += 1) % 3 !== 0;
    const entry = await fleet.startEntry('entry-1');
    await fleet.startTarget('t1', {isAnswered});
    await fleet.startTarget('t2', {isAnswered});
    await waitUntil('the targets accept orders', () =>
      ['t1', 't2'].every(name =>
        fleet.hasLogged(FleetEvent.TARGET_READY, name),
      ),
    );
    for (let job = 0; job < 8; job += 1) {
      const body = createJobBody(4, 30);
      const reply = await call(entry.callers, 'POST', createJobPath(), body);
      expect(reply.body.state).to.equal('completed');
    }
    expect(fleet.hasLogged(FleetEvent.ORDER_FAILED)).to.equal(true);
    expect(countViolations()).to.equal(0);
  });

  it('runs the tasks of a target that died somewhere else', async () => {
    const {entry, first, second} = await startSmallFleet();
    const answered = call(
      entry.callers,
      'POST',
      createJobPath(),
      createJobBody(6, 400),
    );
    await waitUntil(
      'both targets run tasks',
      () =>
        first.target.listRunning().length > 0 &&
        second.target.listRunning().length > 0,
    );
    await first.target.close();
    expect((await answered).body.state).to.equal('completed');
    expect(countViolations()).to.equal(0);
  });

  // Guards against tasks staying on a target that becomes ten times slower while
  // it runs them. They belong to at least three jobs, since the estimates of one
  // job prove nothing.
  it('moves tasks away from a target that has become slow', async () => {
    let factor = 1;
    const readRunMs = (payload: string) => Number(payload.split('/')[0]);
    const entry = await fleet.startEntry('entry-1');
    const slow = await fleet.startTarget('t1', {
      computeRunMs: payload => readRunMs(payload) * factor,
    });
    for (const name of ['t2', 't3', 't4']) await fleet.startTarget(name);
    const submitJobs = async () => {
      const replies = await Promise.all(
        Array.from({length: 16}, () =>
          call(entry.callers, 'POST', createJobPath(), createJobBody(1, 150)),
        ),
      );
      return replies.map(({status}) => status);
    };
    await waitUntil('all targets have run tasks', async () => {
      await submitJobs();
      return fleet.targets.every(({done}) => done.length >= 4);
    });
    factor = 10;
    const statuses = await submitJobs();
    expect(statuses).to.deep.equal(Array.from({length: 16}, () => 200));
    expect(slow.target.done.length).to.be.above(0);
    expect(slow.target.stopped.length).to.be.above(0);
    expect(countViolations()).to.equal(0);
  });

  it('starts nothing on a draining target', async () => {
    const {entry, first} = await startSmallFleet();
    first.target.state = 'draining';
    await waitUntil('the agent is notified', () =>
      fleet.hasLogged(FleetEvent.TARGET_DRAINING, 't1'),
    );
    const before = first.target.done.length;
    const body = createJobBody(8, 20);
    const reply = await call(entry.callers, 'POST', createJobPath(), body);
    expect(reply.body.state).to.equal('completed');
    expect(first.target.done.length).to.equal(before);
  });

  it('starts nothing in a data centre that is out of service, and uses it again later', async () => {
    const entry = await fleet.startEntry('entry-1');
    const a = await fleet.startTarget('t1', {}, 'zone-a');
    const b = await fleet.startTarget('t2', {}, 'zone-b');
    await waitUntil('the targets accept orders', () =>
      ['t1', 't2'].every(name =>
        fleet.hasLogged(FleetEvent.TARGET_READY, name),
      ),
    );
    fleet.store.put('op/evacuate/zone-b', '{}');
    await waitUntil('the entry applies the change', () =>
      fleet.lines.some(
        ({event, fields}) =>
          event === FleetEvent.CONFIGURATION_APPLIED &&
          (fields.dataCentresOut as string[]).includes('zone-b'),
      ),
    );
    const run = () =>
      call(entry.callers, 'POST', createJobPath(), createJobBody(6, 15));
    expect((await run()).body.state).to.equal('completed');
    expect(b.target.done).to.deep.equal([]);
    expect(a.target.done.length).to.be.above(0);
    fleet.store.remove('op/evacuate/zone-b');
    await waitUntil('the data centre gets work again', async () => {
      await run();
      return b.target.done.length > 0;
    });
  });

  it('serves through an outage of the store, and applies changes after it', async () => {
    const {entry} = await startSmallFleet();
    fleet.store.fault = StoreFault.UNRESPONSIVE;
    const body = createJobBody(2, 10);
    const reply = await call(entry.callers, 'POST', createJobPath(), body);
    expect(reply.body.state).to.equal('completed');
    fleet.store.fault = StoreFault.NONE;
    fleet.store.compact();
    const configuration = JSON.parse(fleet.store.get('op/config') ?? '');
    configuration.version = 9;
    configuration.routes[0].prefix = '/other/';
    fleet.store.put('op/config', JSON.stringify(configuration));
    await waitUntil('the change is in force', async () => {
      const rerouted = await call(entry.callers, 'GET', '/other/');
      return rerouted.status === 200;
    });
    expect((await call(entry.callers, 'GET', '/jobs/')).status).to.equal(404);
  });

  it('stops the tasks of a caller that has disconnected', async () => {
    const {entry, first, second} = await startSmallFleet();
    const request = createRequest(`http://${entry.callers}${createJobPath()}`, {
      method: 'POST',
      headers: {host: 'desk.example'},
    });
    request.on('error', () => undefined);
    request.end(JSON.stringify(createJobBody(2, 3000)));
    const listRunning = () => [
      ...first.target.listRunning(),
      ...second.target.listRunning(),
    ];
    await waitUntil('the tasks run', () => listRunning().length === 2);
    request.destroy();
    await waitUntil('nothing runs', () => listRunning().length === 0);
  });

  it('completes the jobs in progress before a planned stop', async () => {
    const {entry} = await startSmallFleet();
    const answered = call(
      entry.callers,
      'POST',
      createJobPath(),
      createJobBody(2, 500),
    );
    entry.server.requestStop();
    const {status, headers, body} = await answered;
    expect({status, ...body}).to.include({status: 200, state: 'completed'});
    expect(headers.connection).to.equal('close');
    const ready = await call(entry.ready, 'GET', '/v1/ready');
    expect(ready.status).to.equal(503);
    await entry.server.stopped;
  });

  it('answers every caller before a planned stop ends, even for unfinished jobs', async () => {
    const {entry} = await startSmallFleet();
    const answered = call(
      entry.callers,
      'POST',
      createJobPath(),
      createJobBody(2, 9000),
      9000,
    );
    await waitUntil('the tasks run', () =>
      fleet.targets.some(target => target.listRunning().length > 0),
    );
    entry.server.requestStop();
    const {status, body} = await answered;
    expect({status, ...body}).to.include({status: 504, reason: 'stopping'});
    await entry.server.stopped;
  });

  it('rejects unknown, invalid and unsupported jobs at once, with the reason', async () => {
    const {entry} = await startSmallFleet();
    const post = (body: unknown, path = createJobPath()) =>
      call(entry.callers, 'POST', path, body);
    expect((await post(createJobBody(1, 1), '/nowhere/1')).status).to.equal(
      404,
    );
    expect((await post(createJobBody(1, 1), '/jobs/xyz')).status).to.equal(400);
    expect((await post({spec: 1})).status).to.equal(400);
    const gang = {count: 2, cpu: 1, memMb: 1, estimateMs: 1, gang: true};
    const refused = await post(createJobBody(1, 1, {steps: [gang]}));
    expect(refused.status).to.equal(503);
    expect(refused.body.reason).to.equal('gang');
    expect(Number(refused.headers['retry-after'])).to.be.above(0);
    const huge = {count: 1, cpu: 1e6, memMb: 1, estimateMs: 1};
    await waitUntil('a job that fits no target fails', async () => {
      const reply = await post(createJobBody(1, 1, {steps: [huge]}));
      return reply.body.state === 'failed';
    });
  });
});
