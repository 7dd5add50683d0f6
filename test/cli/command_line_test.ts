import {expect} from 'chai';
import {ExitCode, chooseExitCode} from '../../src/lib/cli/exit_code.js';
import {createTerminal, Colour} from '../../src/lib/cli/terminal.js';
import {runFoxtailbay} from './fake_context.js';

describe('foxtailbay', () => {
  it('prints its version, and its help with the exit codes', async () => {
    const version = await runFoxtailbay(['--version']);
    expect(version).to.include({exitCode: ExitCode.OK, output: '1.2.3\n'});
    const help = await runFoxtailbay(['--help']);
    expect(help.exitCode).to.equal(ExitCode.OK);
    expect(help.output).to.contain('4  outcome unknown');
  });

  for (const words of [[], ['chat'], ['chart', 'draw'], ['session']]) {
    it(`rejects "${words.join(' ')}" as an invalid command line`, async () => {
      const run = await runFoxtailbay(words);
      expect(run.exitCode).to.equal(ExitCode.USAGE);
      expect(run.messages).not.to.equal('');
    });
  }

  it('draws charts from their files', async () => {
    const list = await runFoxtailbay(['chart', 'list', '--output', 'json']);
    const names = JSON.parse(list.output).map(
      (chart: {name: string}) => chart.name,
    );
    expect(names).to.include.members(['job', 'agent_task', 'process']);
    const text = await runFoxtailbay(['chart', 'draw', 'process']);
    expect(text.output).to.contain('* after notice / refuseWork --> draining');
    const diagram = await runFoxtailbay(
      'chart draw process --format mermaid'.split(' '),
    );
    expect(diagram.output).to.match(
      /^stateDiagram-v2\n {2}\[\*\] --> starting/,
    );
    expect(diagram.output).to.contain('stopped --> [*]');
  });

  it('suggests the chart with the nearest name', async () => {
    const run = await runFoxtailbay(['chart', 'draw', 'proces']);
    expect(run.exitCode).to.equal(ExitCode.USAGE);
    expect(run.messages).to.contain('Did you mean "process"?');
  });

  it('checks a settings file against the schema of the given kind', async () => {
    const good = await runFoxtailbay(
      'check-config examples/entry.yaml --kind entry'.split(' '),
    );
    expect(good.exitCode).to.equal(ExitCode.OK);
    const bad = await runFoxtailbay(
      'check-config examples/entry.yaml --kind agent --output json'.split(' '),
    );
    expect(bad.exitCode).to.equal(ExitCode.FAILED);
    expect(JSON.parse(bad.output).mistakes).to.have.length(8);
  });

  for (const shell of ['bash', 'zsh', 'fish']) {
    it(`completes commands and options in ${shell}`, async () => {
      const run = await runFoxtailbay(['completion', shell]);
      expect(run.output).to.contain('submit').and.contain('check-config');
      expect(run.output).to.contain('--progress');
    });
  }
});

describe('createTerminal', () => {
  function write(isTTY: boolean, environment: Record<string, string>): string {
    let text = '';
    const stream = {isTTY, write: (part: string) => (text += part)};
    const terminal = createTerminal({
      output: stream,
      messages: stream,
      environment,
    });
    terminal.showProgress('half');
    terminal.write(terminal.paint(Colour.RED, 'red'));
    return text;
  }

  it('uses colours and shows progress only on a terminal', () => {
    expect(write(true, {})).to.equal(
      '\r\u001b[Khalf\r\u001b[K\u001b[31mred\u001b[0m\n',
    );
    expect(write(false, {})).to.equal('red\n');
    expect(write(true, {NO_COLOR: '1'})).not.to.contain('[31m');
  });
});

describe('chooseExitCode', () => {
  it('chooses the most severe exit code', () => {
    const {OK, REFUSED, UNKNOWN} = ExitCode;
    expect(chooseExitCode([OK, UNKNOWN, REFUSED])).to.equal(UNKNOWN);
    expect(chooseExitCode([])).to.equal(OK);
  });
});
