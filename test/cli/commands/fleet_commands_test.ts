import {expect} from 'chai';
import {ExitCode} from '../../../src/lib/cli/exit_code.js';
import {ReplyKind} from '../../../src/lib/cli/http_exchange.js';
import {createResponse, createFailure, runFoxtailbay} from '../fake_context.js';
import type {Replies} from '../fake_context.js';

function createChangeResponse(isEverywhere: boolean) {
  return createResponse(200, {
    kind: 'data-centre',
    name: 'vn-south-a',
    isChanged: true,
    revision: 9,
    missing: isEverywhere ? [] : ['agent/agent-2'],
    isAccepted: true,
    isEverywhere,
  });
}

function run(words: string, replies: Replies = {}) {
  return runFoxtailbay(words.split(' '), {
    replies,
    environment: {FOXTAILBAY_ADMINISTRATION_KEY: 'the-administration-key'},
  });
}

describe('foxtailbay datacentre', () => {
  it('takes a data centre out of service and waits until this is in force', async () => {
    const {exitCode, output} = await run('datacentre out vn-south-a --wait', {
      'POST /v1/data-centres/vn-south-a/out': createChangeResponse(false),
      'GET /v1/revisions/9': [
        createChangeResponse(false),
        createChangeResponse(true),
      ],
    });
    expect(exitCode).to.equal(ExitCode.OK);
    expect(output).to.contain('vn-south-a out: changed, revision 9 accepted');
    expect(output).to.contain('in force everywhere');
  });

  it('prints how to check the current state if the reply is lost', async () => {
    const {exitCode, messages} = await run('datacentre in a', {
      'POST /v1/data-centres/a/in': createFailure(ReplyKind.LOST),
    });
    expect(exitCode).to.equal(ExitCode.UNKNOWN);
    expect(messages).to.contain('foxtailbay datacentre status a');
  });

  it('shows whether a data centre is in service', async () => {
    const {output} = await run('datacentre status a', {
      'GET /v1/data-centres/a': createResponse(200, {
        name: 'a',
        service: 'out',
        by: 'an',
        revision: 4,
        missing: ['agent/b'],
        isAccepted: true,
        isEverywhere: false,
      }),
    });
    expect(output).to.equal(
      'a: out by an, revision 4 accepted; missing at agent/b\n',
    );
  });
});

describe('foxtailbay status', () => {
  const report = {
    entry: 'entry-1',
    configurationRevision: 4,
    contact: 'confirmed',
    processes: [
      {
        id: 'agent-1',
        role: 'agent',
        dataCentre: 'a',
        configurationRevision: 3,
        heardAgeMs: 12.4,
      },
    ],
    targets: [
      {
        name: 'runner',
        agent: 'agent-1',
        dataCentre: 'a',
        condition: 'present',
        isPermitted: true,
        slots: 8,
        running: 3,
        queued: 1,
      },
    ],
    counters: {jobs: 2},
  };
  const replies = {'GET /v1/status': createResponse(200, report)};

  it('prints processes and targets as tables', async () => {
    const {output} = await run('status', replies);
    expect(output).to.contain('entry entry-1: revision 4, store confirmed');
    expect(output).to.match(/agent\s+agent-1\s+a\s+3\s+12 ms\s+-/);
    expect(output).to.match(/runner\s+agent-1\s+a\s+present\s+yes\s+3\/8\s+1/);
  });

  it('prints the complete report as JSON', async () => {
    const status = await run('status --output json', replies);
    expect(JSON.parse(status.output)).to.deep.equal(report);
    const targets = await run('targets --output json', replies);
    expect(JSON.parse(targets.output)).to.deep.equal(report.targets);
  });
});
