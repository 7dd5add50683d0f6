import {expect} from 'chai';
import {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import {ErrorCode, SettingsError} from '../../src/lib/core/errors.js';
import {AGENT_SETTINGS_SCHEMA} from '../../src/lib/settings/agent_settings.js';
import {ENTRY_SETTINGS_SCHEMA} from '../../src/lib/settings/entry_settings.js';
import {
  checkSettings,
  readSettings,
} from '../../src/lib/settings/read_settings.js';
import type {SettingsSchema} from '../../src/lib/settings/settings_schema.js';
import {SettingsSource} from '../../src/lib/settings/settings_source.js';

const ENTRY_TEXT = `schemaVersion: 1
process: {id: entry-1, dataCentre: vn-south-a}
listen:
  callers: {host: 127.0.0.1, port: 7400}
  peers: {host: 127.0.0.1, port: 7401}
  administration: {host: 127.0.0.1, port: 7402}
store: {address: 'http://127.0.0.1:7300'}
sessions: {secret: sixteen-characters}
administration: {key: sixteen-characters}
`;

const AGENT_TEXT = `schemaVersion: 1
process: {id: agent-1, dataCentre: vn-south-a}
listen: {targets: {host: 127.0.0.1, port: 7500}}
entries: ['127.0.0.1:7401']
`;

function checkText<T>(text: string, schema: SettingsSchema<T>): T {
  return checkSettings(SettingsSource.createFromText('a.yaml', text), schema);
}

function catchMessage<T>(text: string, schema: SettingsSchema<T>): string {
  try {
    checkText(text, schema);
  } catch (failure) {
    expect(failure).to.be.instanceOf(SettingsError);
    return (failure as Error).message;
  }
  return expect.fail('the settings were accepted');
}

describe('readSettings', () => {
  it('fills in the defaults of an entry', () => {
    const settings = checkText(ENTRY_TEXT, ENTRY_SETTINGS_SCHEMA);
    expect(settings.advertise.peers).to.equal('127.0.0.1:7401');
    expect(settings.store.prefix).to.equal('/foxtailbay/');
    expect(settings.limits.tasksPerJob).to.equal(5000);
    expect(settings.placement.policy).to.equal(PlacementKind.LEAST_LOADED);
    expect(settings.metrics).to.equal(undefined);
  });

  it('fills in the defaults of an agent', () => {
    const settings = checkText(AGENT_TEXT, AGENT_SETTINGS_SCHEMA);
    expect(settings.target).to.deep.equal({leaseMs: 3000, queueLimit: 4});
    expect(settings.permission.freshMs).to.equal(4000);
  });

  it('fills in the defaults of an empty section and rejects a section that is null', () => {
    const settings = checkText(
      `${AGENT_TEXT}metrics: {}\n`,
      AGENT_SETTINGS_SCHEMA,
    );
    expect(settings.metrics).to.deep.equal({host: '127.0.0.1', port: 8125});
    expect(
      catchMessage(`${AGENT_TEXT}target:\n`, AGENT_SETTINGS_SCHEMA),
    ).to.contain('target: found null; allowed: a section with leaseMs');
  });

  it('accepts the example files', () => {
    readSettings('examples/entry.yaml', ENTRY_SETTINGS_SCHEMA);
    readSettings('examples/agent.yaml', AGENT_SETTINGS_SCHEMA);
  });

  it('reports all violations at once, each with its position', () => {
    const text = ENTRY_TEXT.replace('port: 7400', 'port: many')
      .replace('store: {address:', 'store: {adress:')
      .replace('secret: sixteen-characters', 'secret: short-one');
    expect(
      catchMessage(text, ENTRY_SETTINGS_SCHEMA).split('\n'),
    ).to.have.members([
      'Settings file a.yaml has 4 mistakes:',
      'a.yaml:4:36: listen.callers.port: found "many"; allowed: an integer from 0 to 65535',
      'a.yaml:7:9: store.adress: found unknown key "adress"; allowed: address, prefix, callTimeoutMs, watchWaitMs, leaseMs; did you mean "address"?',
      'a.yaml:7:8: store.address: found nothing; allowed: text that matches ^https?://[^\\s/]+/?$',
      'a.yaml:8:20: sessions.secret: found a value that is not shown; allowed: text of at least 16 characters',
    ]);
  });

  it('never shows an invalid secret', () => {
    const text = ENTRY_TEXT.replace('key: sixteen-characters', 'key: [hush]');
    expect(catchMessage(text, ENTRY_SETTINGS_SCHEMA)).not.to.contain('hush');
  });

  it('rejects a file of another schema version', () => {
    const text = AGENT_TEXT.replace('schemaVersion: 1', 'schemaVersion: 2');
    expect(catchMessage(text, AGENT_SETTINGS_SCHEMA)).to.contain(
      'a.yaml:1:16: schemaVersion: found 2; allowed: 1',
    );
  });

  it('rejects settings that contradict each other', () => {
    const text = `${AGENT_TEXT}permission: {freshMs: 500, pingPeriodMs: 400}\n`;
    expect(catchMessage(text, AGENT_SETTINGS_SCHEMA)).to.contain(
      'a.yaml:5:42: permission.pingPeriodMs: found 400; allowed: at most half of permission.freshMs (500)',
    );
  });

  it('rejects two listeners on one port', () => {
    const text = ENTRY_TEXT.replace('port: 7402', 'port: 7400');
    expect(catchMessage(text, ENTRY_SETTINGS_SCHEMA)).to.contain(
      'found 7400, the same as listen.callers; allowed: a port of its own',
    );
  });

  it('reports the position of an invalid list item', () => {
    const text = AGENT_TEXT.replace("['127.0.0.1:7401']", '[a:1, 5]');
    expect(catchMessage(text, AGENT_SETTINGS_SCHEMA)).to.contain(
      'a.yaml:4:16: entries.1: found 5; allowed: text that matches',
    );
  });

  it('reports the position of a YAML syntax error and of a duplicate key', () => {
    expect(catchMessage('a: [1\n', AGENT_SETTINGS_SCHEMA)).to.match(
      /a\.yaml:2:1: /,
    );
    expect(
      catchMessage(`${AGENT_TEXT}log: {}\nlog: {}\n`, AGENT_SETTINGS_SCHEMA),
    ).to.match(/a\.yaml:6:1: Map keys must be unique/);
  });

  for (const [name, text] of [
    ['an empty file', ''],
    ['a list', '- 1\n'],
    ['a number', '7\n'],
  ]) {
    it(`rejects ${name}`, () => {
      expect(catchMessage(text, AGENT_SETTINGS_SCHEMA)).to.match(
        /a\.yaml:1:1: \(file\): found .*; allowed: a section with schemaVersion/,
      );
    });
  }

  it('distinguishes an unreadable file from an invalid one', () => {
    expect(() => readSettings('no-such.yaml', AGENT_SETTINGS_SCHEMA))
      .to.throw(SettingsError, 'no-such.yaml cannot be read')
      .with.property('code', ErrorCode.SETTINGS_UNREADABLE);
  });
});
