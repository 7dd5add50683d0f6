import {expect} from 'chai';
import fc from 'fast-check';
import {Problem} from '../../src/lib/core/job.js';
import {AdmissionKind} from '../../src/lib/decisions/admission.js';
import {AgentLoadTable} from '../../src/lib/decisions/agent_load_table.js';
import {
  createPlacementPolicy,
  PlacementKind,
} from '../../src/lib/decisions/choose_agent.js';
import {rankByStretch} from '../../src/lib/decisions/rank_job.js';
import {
  PlanStepKind,
  WorkPlanner,
} from '../../src/lib/decisions/work_planner.js';
import type {PlanStep} from '../../src/lib/decisions/work_planner.js';
import {createRandom, SEED} from './seeded_random.js';

/** Time in milliseconds after which no ramp limits the agents. */
const START_MS = 10_000;

function createPlanner(agents: number): WorkPlanner {
  const table = AgentLoadTable.create({
    policy: createPlacementPolicy(PlacementKind.LEAST_LOADED),
    drawRandom: createRandom(SEED),
    dataCentre: 'here',
  });
  for (let index = 0; index < agents; index += 1) {
    table.addAgent(`a${index}`, 'here');
    const counts = {slots: 8, queueLimit: 4, running: 0, queued: 0};
    const report = {...counts, unreported: 0, isUsable: true};
    table.applyReport(`a${index}`, {...report, targetInstance: 'x'}, 0);
  }
  table.refreshAll(START_MS);
  const limits = {tasksPerJob: 580, waitingTasksAtMost: 1000, jobsAtMost: 100};
  return WorkPlanner.create({agents: table, rankJob: rankByStretch, limits});
}

function submit(
  planner: WorkPlanner,
  job: string,
  tasks: number,
  extra: {team?: string; deadlineMs?: number} = {},
  nowMs = START_MS,
) {
  const {team = 'team', deadlineMs = 60_000} = extra;
  const declaredMs = Array<number>(tasks).fill(100);
  const rest = {taskClass: 'default', value: 1, declaredMs};
  return planner.submit({job, team, deadlineMs, ...rest}, nowMs);
}

function listSteps(planner: WorkPlanner, nowMs = START_MS): PlanStep[] {
  const steps: PlanStep[] = [];
  for (;;) {
    const step = planner.takeStep(nowMs);
    if (step === undefined) return steps;
    steps.push(step);
  }
}

describe('WorkPlanner', () => {
  it('sends the tasks that fit and queues the rest', () => {
    const planner = createPlanner(2);
    submit(planner, 'job', 100);
    expect(listSteps(planner)).to.have.length(18);
    expect(planner.waiting).to.equal(82);
  });

  it('refuses a job at once if there is no target', () => {
    const {admission} = submit(createPlanner(0), 'job', 1);
    expect(admission).to.include({problem: Problem.NO_TARGETS});
  });

  it('limits a team to its slots and serves others meanwhile', () => {
    const planner = createPlanner(2);
    const limits = {weight: 1, slotsAtMost: 4, tasksPerSecondAtMost: 0};
    planner.applyTeams([{name: 'small', ...limits}], 2);
    submit(planner, 'one', 10, {team: 'small'});
    submit(planner, 'two', 3, {team: 'other'});
    const steps = listSteps(planner);
    const jobs = steps.map(step =>
      step.kind === PlanStepKind.SEND ? step.task.job : '',
    );
    expect(jobs.filter(job => job === 'one')).to.have.length(2);
    expect(jobs.filter(job => job === 'two')).to.have.length(3);
    const first = steps[jobs.indexOf('one')];
    if (first.kind !== PlanStepKind.SEND) return expect.fail();
    const end = {agent: first.agent, isSuccess: true, runMs: 100};
    planner.recordEnd(first.task, end, START_MS);
    expect(listSteps(planner)).to.have.length(1);
  });

  it('refuses a team beyond its rate, with a retry delay', () => {
    const planner = createPlanner(2);
    const limits = {weight: 1, slotsAtMost: 0, tasksPerSecondAtMost: 10};
    planner.applyTeams([{name: 'team', ...limits}], 1);
    expect(submit(planner, 'one', 20).admission.kind).to.equal(
      AdmissionKind.ADMIT,
    );
    const {admission} = submit(planner, 'two', 1);
    expect(admission).to.include({problem: Problem.QUOTA_EXCEEDED});
  });

  it('drops an unstarted job once its deadline is unreachable', () => {
    const planner = createPlanner(1);
    submit(planner, 'long', 200);
    listSteps(planner);
    submit(planner, 'short', 1, {team: 'other', deadlineMs: 200});
    const late = START_MS + 190;
    expect(listSteps(planner, late)).to.deep.include({
      kind: PlanStepKind.REFUSE,
      job: 'short',
    });
  });

  it('sends every task of every job once, whichever tasks are returned', () => {
    const property = fc.property(
      fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 12}),
      fc.infiniteStream(fc.boolean()),
      (sizes, isReturned) => {
        const planner = createPlanner(3);
        sizes.forEach((size, job) => submit(planner, `j${job}`, size));
        const ended = new Set<string>();
        let returns = 0;
        for (let turn = 0; planner.waiting > 0 && turn < 2000; turn += 1) {
          for (const step of listSteps(planner)) {
            if (step.kind !== PlanStepKind.SEND) return expect.fail();
            const {task, agent} = step;
            if (returns < 50 && isReturned.next().value) {
              returns += 1;
              planner.recordReturned(task, agent, START_MS);
              continue;
            }
            const name = `${task.job}/${task.index}`;
            expect(ended.has(name)).to.equal(false);
            ended.add(name);
            const end = {agent, isSuccess: true, runMs: 100};
            planner.recordEnd(task, end, START_MS);
          }
        }
        const total = sizes.reduce((sum, size) => sum + size, 0);
        expect(ended.size).to.equal(total);
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 50});
  });
});
