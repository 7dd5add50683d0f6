import {connect} from 'node:net';
import {expect} from 'chai';
import {AdministrationProblem} from '../../src/lib/admin/administration_problem.js';
import {formatTestRecord} from '../fakes/test_records.js';
import {RecordKind} from '../../src/lib/records/record.js';
import {MemoryStore} from '../fakes/memory_store.js';
import {KEY, PREFIX, createAdministration} from './administration_fixture.js';
import type {AdministrationFixture} from './administration_fixture.js';

const TEAM_PATH = '/v1/records/team/vn';
const TEAM_KEY = `${PREFIX}records/team/vn`;

function buildTeam(weight: number) {
  const spec = {weight, slotsAtMost: 0, tasksPerSecondAtMost: 0};
  return {schemaVersion: 1, spec};
}

describe('AdministrationTask', () => {
  let store: MemoryStore;
  let first: AdministrationFixture;
  let second: AdministrationFixture;

  beforeEach(async () => {
    store = MemoryStore.create();
    first = await createAdministration(store.createClient());
    second = await createAdministration(store.createClient());
  });

  afterEach(async () => {
    await Promise.all([first.task.stop(), second.task.stop()]);
  });

  it('writes a record, returns its revision as the ETag and logs the operator', async () => {
    const headers = {'foxtailbay-operator': 'linh'};
    const put = await first.call('PUT', TEAM_PATH, {
      body: buildTeam(2),
      headers,
    });
    expect(put.status).to.equal(200);
    expect(put.headers.etag).to.equal('"1"');
    expect(put.body).to.include({revision: 1, isChanged: true});
    expect(first.actions[0]).to.include({by: 'linh', revision: 1});
    const got = await second.call('GET', TEAM_PATH);
    expect(got.headers.etag).to.equal('"1"');
    expect(got.body).to.deep.include({by: 'linh', spec: buildTeam(2).spec});
  });

  it('answers 202 with the missing processes until a majority has the change in force', async () => {
    first.isMajority = false;
    first.revisions.set('entry/entry-1', 0);
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(2)});
    expect(put.status).to.equal(202);
    expect(put.body.isAccepted).to.equal(false);
    expect(put.body.missing).to.include('entry/entry-1');
    first.revisions.set('entry/entry-1', 1);
    const status = await first.call('GET', '/v1/revisions/1');
    expect(status.body).to.deep.include({
      isAccepted: true,
      isEverywhere: false,
      inForce: ['entry/entry-1'],
      missing: ['agent/agent-1'],
    });
  });

  it('accepts one of two concurrent conditional writes and reports a conflict for the other', async () => {
    await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    const headers = {'if-match': '"1"'};
    const replies = await Promise.all([
      first.call('PUT', TEAM_PATH, {body: buildTeam(2), headers}),
      second.call('PUT', TEAM_PATH, {body: buildTeam(3), headers}),
    ]);
    const statuses = replies.map(reply => reply.status).sort();
    expect(statuses[0]).to.equal(200);
    expect(statuses[1]).to.be.oneOf([409, 412]);
    const winner = replies.find(reply => reply.status === 200);
    expect(store.read(TEAM_KEY)?.revision).to.equal(winner!.body.revision);
    expect(store.calls.write).to.be.at.most(3);
  });

  it('applies concurrent in and out requests for a data centre one after the other', async () => {
    const replies = await Promise.all([
      first.call('POST', '/v1/data-centres/vn-south-a/out'),
      second.call('POST', '/v1/data-centres/vn-south-a/in'),
    ]);
    expect(replies.map(reply => reply.status)).to.deep.equal([200, 200]);
    const last = replies[0].body.revision > replies[1].body.revision;
    const status = await first.call('GET', '/v1/data-centres/vn-south-a');
    expect(status.body.service).to.equal(last ? 'out' : 'in');
  });

  it('detects that a write took effect although its reply was lost', async () => {
    store.faults.lostReplies = 1;
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(2)});
    expect(put.status).to.equal(200);
    expect(put.body).to.include({revision: 1, isChanged: true});
    expect(store.calls.write).to.equal(1);
  });

  it('sends a change again that was lost before it took effect', async () => {
    await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    store.faults.lostWrites = 1;
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(2)});
    expect(put.status).to.equal(200);
    expect(store.revision).to.equal(2);
  });

  it('does not send the creation of a record again', async () => {
    store.faults.lostWrites = 1;
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(2)});
    expect(put.status).to.equal(504);
    expect(store.revision).to.equal(0);
  });

  it('finds its write in the history after a later write', async () => {
    await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    const headers = {'idempotency-key': 'write-two'};
    const body = buildTeam(2);
    await first.call('PUT', TEAM_PATH, {body, headers});
    await second.call('PUT', TEAM_PATH, {body: buildTeam(3)});
    const again = await first.call('PUT', TEAM_PATH, {body, headers});
    expect(again.status).to.equal(200);
    expect(again.body).to.include({revision: 2, isChanged: false});
    const other = await first.call('PUT', TEAM_PATH, {
      body: buildTeam(9),
      headers,
    });
    expect(other.status).to.equal(409);
    expect(store.revision).to.equal(3);
  });

  it('reports an unknown outcome when the write cannot be traced', async () => {
    store.faults.lostWrites = 100;
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(2)});
    expect(put.status).to.equal(504);
    expect(put.body.code).to.equal(AdministrationProblem.OUTCOME_UNKNOWN);
    expect(first.actions[0].problem).to.equal(
      AdministrationProblem.OUTCOME_UNKNOWN,
    );
  });

  it('keeps a bounded history from which a change can be rolled back', async () => {
    for (let weight = 1; weight <= 12; weight += 1) {
      await first.call('PUT', TEAM_PATH, {body: buildTeam(weight)});
    }
    const {body} = await first.call('GET', `${TEAM_PATH}/history`);
    expect(body.versions).to.have.length(9);
    expect(body.versions[1]).to.deep.include({revision: 11});
    expect(body.versions[1].spec.weight).to.equal(11);
    const {spec, schemaVersion} = body.versions[1];
    const back = await first.call('PUT', TEAM_PATH, {
      body: {schemaVersion, spec},
    });
    expect(back.status).to.equal(200);
  });

  it('deletes a record once and answers a second deletion with 404', async () => {
    await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    store.faults.lostReplies = 1;
    expect((await first.call('DELETE', TEAM_PATH)).status).to.equal(200);
    expect((await second.call('DELETE', TEAM_PATH)).status).to.equal(404);
    expect((await second.call('GET', TEAM_PATH)).status).to.equal(404);
  });

  it('lists records of older, current and newer schema versions together', async () => {
    const identity = {kind: RecordKind.TEAM, name: 'old'};
    store.put(
      `${PREFIX}records/team/old`,
      formatTestRecord(identity, {share: 1}, {schemaVersion: 0}),
    );
    store.put(
      `${PREFIX}records/team/next`,
      formatTestRecord({...identity, name: 'next'}, {}, {schemaVersion: 2}),
    );
    await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    const {body} = await first.call('GET', '/v1/records/team');
    const problems = Object.fromEntries(
      body.records.map((record: {name: string; problem?: {fault: string}}) => [
        record.name,
        record.problem?.fault ?? 'none',
      ]),
    );
    expect(problems).to.deep.equal({
      old: 'none',
      next: 'schema-newer',
      vn: 'none',
    });
  });

  const refusals: Array<[string, string, string, object, number, string]> = [
    ['a wrong key', 'GET', '/v1/status', {key: 'wrong'}, 401, 'unauthorized'],
    ['an unknown path', 'GET', '/v1/nothing', {}, 404, 'not-found'],
    ['an unknown kind', 'GET', '/v1/records/colour', {}, 404, 'not-found'],
    ['a wrong method', 'POST', TEAM_PATH, {}, 405, 'method-not-allowed'],
    [
      'a body that is not JSON',
      'PUT',
      TEAM_PATH,
      {body: '{'},
      400,
      'request-invalid',
    ],
    [
      'a record of a newer schema version',
      'PUT',
      TEAM_PATH,
      {body: {schemaVersion: 2, spec: {}}},
      422,
      'record-invalid',
    ],
    [
      'an oversized body',
      'PUT',
      TEAM_PATH,
      {body: 'x'.repeat(70_000)},
      413,
      'body-too-large',
    ],
    [
      'a revision that is not current',
      'PUT',
      TEAM_PATH,
      {body: buildTeam(1), headers: {'if-match': '"9"'}},
      412,
      'precondition-failed',
    ],
  ];
  for (const [what, method, path, options, status, code] of refusals) {
    it(`refuses ${what} with ${status} and changes nothing`, async () => {
      const reply = await first.call(method, path, options);
      expect(reply.status).to.equal(status);
      expect(reply.body.code).to.equal(code);
      expect(reply.headers['content-type']).to.equal(
        'application/problem+json',
      );
      expect(store.revision).to.equal(0);
    });
  }

  it('answers 503 without a change when the store is down', async () => {
    store.breakDown();
    const put = await first.call('PUT', TEAM_PATH, {body: buildTeam(1)});
    expect(put.status).to.equal(503);
    expect(put.body.code).to.equal(AdministrationProblem.STORE_UNAVAILABLE);
    expect(put.headers['retry-after']).to.equal('1');
  });

  it('refuses oversized headers and reports the status with counters', async () => {
    const headers = {'x-large': 'x'.repeat(20_000)};
    const large = await fetch(`http://127.0.0.1:${first.task.port}/v1/status`, {
      headers: {...headers, authorization: `Bearer ${KEY}`},
    });
    expect(large.status).to.equal(431);
    const status = await first.call('GET', '/v1/status');
    expect(status.body.counters).to.deep.equal({jobs: 7});
  });

  it('answers 408 to a body that does not arrive', async () => {
    const socket = connect(first.task.port, '127.0.0.1');
    socket.write(
      `PUT ${TEAM_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n` +
        `Authorization: Bearer ${KEY}\r\n\r\n{`,
    );
    let text = '';
    socket.on('data', chunk => (text += chunk.toString()));
    await new Promise<void>(resolve => socket.once('close', resolve));
    expect(text).to.contain('HTTP/1.1 408');
    expect(text).to.contain('request-timeout');
    expect(store.revision).to.equal(0);
  });

  it('stops while an idle connection is open', async () => {
    const socket = connect(first.task.port, '127.0.0.1');
    await new Promise<void>(resolve => socket.once('connect', resolve));
    const closed = new Promise<void>(resolve => socket.once('close', resolve));
    socket.resume();
    await first.task.stop();
    await closed;
  });
});
