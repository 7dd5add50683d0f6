import {expect} from 'chai';
import {getChart, listChartNames} from '../../src/lib/cli/chart_files.js';
import {listTransitions} from '../../src/lib/core/chart_file.js';
import {composeChartsPage} from '../../tools/docs_charts.js';
import {listAnchors, listLinks} from '../../tools/docs_links.js';
import {formatMarkdownTable} from '../../tools/docs_markdown.js';
import {readFirstColumn} from '../../tools/docs_names.js';
import {composeSettingsPage} from '../../tools/docs_settings.js';

describe('Generated pages', () => {
  it('show every chart with all its states and transitions', () => {
    const page = composeChartsPage();
    for (const name of listChartNames()) {
      const section = page.split(`\n## ${name}\n`)[1].split('\n## ')[0];
      for (const [state, body] of Object.entries(getChart(name).states)) {
        expect(section).to.contain(`| \`${state}\` |`);
        for (const [, transitions] of listTransitions(body)) {
          for (const {target = state} of transitions) {
            expect(section).to.contain(`  ${state} --> ${target}: `);
          }
        }
      }
    }
  });

  it('list every setting with its default and allowed values', () => {
    const page = composeSettingsPage();
    expect(page).to.contain(
      '| `target.queueLimit` | `4` | an integer from 0 |',
    );
    expect(page).to.contain('| `sessions.secret` | required |');
  });

  it('escape characters that would break a table', () => {
    expect(formatMarkdownTable(['a'], [['x|y\nz']])).to.equal(
      '| a |\n| --- |\n| x\\|y z |',
    );
  });
});

describe('The page check', () => {
  it('lists links within the project, but none in code', () => {
    const text =
      '[a](b.md#c) [d](https://e) `[f](g)`\n```\n[h](i)\n```\n[j](#k)';
    expect(listLinks(text)).to.deep.equal(['b.md#c', '#k']);
  });

  it('lists the anchors of headings', () => {
    expect(
      listAnchors("# Problems of the callers' API\n## `a` b"),
    ).to.deep.equal(['problems-of-the-callers-api', 'a-b']);
  });

  it('reads the first column of one section only', () => {
    const page = '# P\n\n## A\n| `x` | 1 |\n| y | 2 |\n\n## B\n| `z` | 3 |\n';
    expect(readFirstColumn(page, 'A')).to.deep.equal(['x']);
    expect(readFirstColumn(page, 'C')).to.deep.equal([]);
  });
});
