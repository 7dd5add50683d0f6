import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';

describe('docs/OPERATIONS.md', () => {
  it('lists exactly the events of the log in its table', () => {
    const page = readFileSync('docs/OPERATIONS.md', 'utf8');
    const [, table] = page.split('| event | told by | when |');
    const rows = table.split('\n\n')[0].split('\n').slice(2);
    const named = rows.flatMap(row =>
      [...(row.split('|')[1] ?? '').matchAll(/`([a-z-]+)`/g)].map(
        ([, event]) => event,
      ),
    );
    expect(named.sort()).to.deep.equal(Object.values(FleetEvent).sort());
  });
});
