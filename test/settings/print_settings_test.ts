import {expect} from 'chai';
import {ENTRY_SETTINGS_SCHEMA} from '../../src/lib/settings/entry_settings.js';
import {printSettings} from '../../src/lib/settings/print_settings.js';
import {readSettings} from '../../src/lib/settings/read_settings.js';

describe('printSettings', () => {
  it('prints defaults and hides secrets', () => {
    const settings = readSettings('examples/entry.yaml', ENTRY_SETTINGS_SCHEMA);
    const text = printSettings(settings, ENTRY_SETTINGS_SCHEMA);
    expect(text).to.contain('tasksPerJob: 5000');
    expect(text).to.contain('secret: (hidden)');
    expect(text).to.contain('key: (hidden)');
    expect(text).not.to.contain('only-for-trials');
  });
});
