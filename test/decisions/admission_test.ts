import {expect} from 'chai';
import {Problem} from '../../src/lib/core/job.js';
import {
  AdmissionKind,
  decideAdmission,
  isInfeasible,
  dropCheapJobs,
} from '../../src/lib/decisions/admission.js';
import type {
  AdmissionRequest,
  AdmissionState,
} from '../../src/lib/decisions/admission.js';
import {FairQueue} from '../../src/lib/decisions/fair_queue.js';

const REQUEST: AdmissionRequest = {
  tasks: 10,
  workMs: 3000,
  longestMs: 300,
  deadlineMs: 5000,
  density: 1,
  workAheadMs: 0,
};

const STATE: AdmissionState = {
  slots: 80,
  workPerMs: 80,
  waitingTasks: 0,
  waitingTasksAtMost: 1000,
  jobs: 0,
  jobsAtMost: 100,
  tasksPerJob: 580,
  cheapest: undefined,
};

function decide(
  request: Partial<AdmissionRequest>,
  state: Partial<AdmissionState> = {},
) {
  return decideAdmission({...REQUEST, ...request}, {...STATE, ...state});
}

describe('decideAdmission', () => {
  it('admits a job that can meet its deadline', () => {
    expect(decide({}).kind).to.equal(AdmissionKind.ADMIT);
  });

  const refusals: ReadonlyArray<
    [
      string,
      Partial<AdmissionRequest>,
      Partial<AdmissionState>,
      Problem,
      boolean,
    ]
  > = [
    ['too many tasks', {tasks: 581}, {}, Problem.CANNOT_RUN, false],
    ['no targets', {}, {slots: 0}, Problem.NO_TARGETS, true],
    [
      'a task too long',
      {longestMs: 1e6},
      {},
      Problem.DEADLINE_UNREACHABLE,
      false,
    ],
    // More targets may be in service when its caller comes again.
    ['too much work', {workMs: 1e6}, {}, Problem.DEADLINE_UNREACHABLE, true],
    ['backlog', {workAheadMs: 4e5}, {}, Problem.DEADLINE_UNREACHABLE, true],
    ['a full queue', {}, {waitingTasks: 995}, Problem.OVERLOADED, true],
    ['too many jobs', {}, {jobs: 100}, Problem.OVERLOADED, true],
  ];
  for (const [name, request, state, problem, canRetry] of refusals) {
    it(`refuses at once for ${name}`, () => {
      const answer = decide(request, state);
      expect(answer).to.include({kind: AdmissionKind.REFUSE, problem});
      expect('retryAfterMs' in answer).to.equal(canRetry);
    });
  }

  it('sheds cheaper jobs only for a job that is worth more', () => {
    const cheapest = {job: 'cheap', tasks: 20, density: 0.1};
    const full = {waitingTasks: 995, cheapest};
    const answer = {kind: AdmissionKind.SHED_THEN_ADMIT, tasksToShed: 5};
    expect(decide({}, full)).to.deep.equal(answer);
    expect(decide({density: 0.1}, full).kind).to.equal(AdmissionKind.REFUSE);
  });
});

describe('dropCheapJobs', () => {
  it('removes the cheapest unstarted jobs and no more than needed', () => {
    const queue = FairQueue.create();
    [5, 1, 3].forEach((value, rank) => {
      const tasks = [{index: 0, expectedMs: 10}];
      queue.add({
        job: `worth${value}`,
        team: 't',
        rank,
        startByMs: rank,
        value,
        tasks,
      });
    });
    expect(dropCheapJobs(queue, 10, 2)).to.deep.equal(['worth1', 'worth3']);
    expect(dropCheapJobs(queue, 0.1, 2)).to.deep.equal([]);
    expect(queue.size).to.equal(1);
  });
});

describe('isInfeasible', () => {
  it('reports a job once less than half of its ideal time is left', () => {
    expect(isInfeasible(0, 1000, 1500)).to.equal(false);
    expect(isInfeasible(500, 1000, 1500)).to.equal(true);
  });
});
