import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {waitUntil} from '../wait_until.js';
import {
  call,
  createJobBody,
  createJobPath,
  FleetFixture,
} from './fleet_fixture.js';
import type {Reply} from './fleet_fixture.js';

const TARGETS = ['t1', 't2', 't3', 't4'];
/** Long enough that no crash, noticed late by a busy process, may come after its end. */
const DEADLY_BODY = {...createJobBody(1, 400), spec: '400/1000/deadly'};

/** Longer than a target needs to start again. */
const DEADLINE_MS = 8000;

// Guards against a task that crashes each target on which it starts being
// repeated on one target after the other until its caller's deadline.
describe('A task that crashes each target on which it starts', function () {
  this.timeout(30_000);
  let fleet: FleetFixture;

  beforeEach(async () => {
    fleet = await FleetFixture.create();
  });

  afterEach(() => fleet.close());

  async function startFleet(entryNames: readonly string[]): Promise<string[]> {
    const callers: string[] = [];
    for (const name of entryNames) {
      callers.push((await fleet.startEntry(name)).callers);
    }
    for (const name of TARGETS) {
      const isDeadly = (payload: string) => payload.endsWith('/deadly');
      await fleet.startTarget(name, {isDeadly});
    }
    for (const entry of entryNames) {
      await waitUntil('the entry knows all targets', () => {
        const known = fleet.lines.filter(
          ({process, event}) =>
            process === entry && event === FleetEvent.AGENT_CONNECTED,
        );
        return known.length >= TARGETS.length;
      });
    }
    await waitUntil('all targets accept orders', () =>
      TARGETS.every(name => fleet.hasLogged(FleetEvent.TARGET_READY, name)),
    );
    return callers;
  }

  function submit(entry: string, path: string, body: unknown): Promise<Reply> {
    return call(entry, 'POST', path, body, DEADLINE_MS);
  }

  function listCrashes(): string[] {
    return fleet.targets.flatMap(({crashes}) => crashes);
  }

  it('is given up after two crashes, and its job is shown as failed', async () => {
    const [entry] = await startFleet(['entry-1']);
    const reply = await submit(entry, createJobPath(), DEADLY_BODY);
    expect(reply.body).to.deep.equal({
      state: 'failed',
      reason: 'targets-crashed',
    });
    expect(listCrashes()).to.have.lengthOf(2);
  });

  it('gets no run after three crashes, however short its runs are', async () => {
    const [entry] = await startFleet(['entry-1']);
    const body = {...createJobBody(1, 40), spec: '40/1000/deadly'};
    const path = createJobPath();
    const reply = await submit(entry, path, body);
    // A crash that is noticed late may come after the end of so short a run.
    expect(reply.body.reason).to.be.oneOf([
      'targets-crashed',
      'crashes-suspected',
    ]);
    const crashes = listCrashes().length;
    expect(crashes).to.be.within(2, 3);
    await submit(entry, path, body);
    expect(listCrashes()).to.have.lengthOf(crashes);
  });

  it('does not let the jobs beside it fail', async () => {
    const [entry] = await startFleet(['entry-1']);
    const neighbours = Array.from({length: 6}, () =>
      submit(entry, createJobPath(), createJobBody(2, 300)),
    );
    const deadly = submit(entry, createJobPath(), DEADLY_BODY);
    const replies = await Promise.all(neighbours);
    expect(replies.map(({body}) => body.state)).to.deep.equal(
      neighbours.map(() => 'completed'),
    );
    expect((await deadly).body.state).to.equal('failed');
    expect(listCrashes()).to.have.lengthOf(2);
  });

  it('is not started again for a caller that comes to another entry', async () => {
    const [first, second] = await startFleet(['entry-1', 'entry-2']);
    const path = createJobPath();
    await submit(first, path, DEADLY_BODY);
    const reply = await submit(second, path, DEADLY_BODY);
    expect(reply.body.reason).to.equal('targets-crashed');
    expect(listCrashes()).to.have.lengthOf(2);
  });
});
