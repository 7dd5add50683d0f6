import {expect} from 'chai';
import {Outcome, Problem, TaskEnd} from '../../src/lib/core/job.js';
import {
  EntryTaskState,
  JobAction,
  JobEvent,
  JobState,
} from '../../src/lib/decisions/job_charts.js';
import {TaskEndEffect, JobRun} from '../../src/lib/decisions/job_run.js';

interface Trial {
  readonly run: JobRun;
  readonly actions: string[];
}

/** Creates a job whose owner withdraws and abandons tasks as the entry does. */
function createTrial(tasks: number): Trial {
  const actions: string[] = [];
  const run: JobRun = JobRun.create(
    'j',
    {
      team: 't',
      taskClass: 'c',
      value: 1,
      deadlineMs: 1000,
      tasks: Array.from({length: tasks}, () => ({payload: 1, expectedMs: 50})),
      trace: '',
    },
    {
      startNamedTimer: () => () => undefined,
      fire: () => undefined,
      perform: action => {
        actions.push(action);
        if (action === JobAction.ABANDON_TASKS) run.endUnknown();
        if (action !== JobAction.WITHDRAW_TASKS) return;
        for (const index of run.listTasks(EntryTaskState.WAITING)) {
          run.drop(index);
        }
      },
    },
  );
  return {run, actions};
}

function createEnding(end: TaskEnd, text = '"r"') {
  return {end, result: Buffer.from(text), targetStatus: 200};
}

describe('JobRun', () => {
  it('completes with every result in task order', () => {
    const {run, actions} = createTrial(2);
    for (const index of [0, 1]) run.recordSent(index);
    run.recordEnd(1, createEnding(TaskEnd.SUCCEEDED, '"b"'));
    run.recordEnd(0, createEnding(TaskEnd.SUCCEEDED, '"a"'));
    expect(run.state).to.equal(JobState.COMPLETE);
    expect(actions).to.deep.equal([JobAction.ANSWER]);
    const texts = run.describeAnswer().results.map(each => each.toString());
    expect(texts).to.deep.equal(['"a"', '"b"']);
  });

  it('requeues a task that was proven not started', () => {
    const {run} = createTrial(1);
    run.recordSent(0);
    const effect = run.recordEnd(0, createEnding(TaskEnd.NOT_STARTED));
    expect(effect).to.equal(TaskEndEffect.REQUEUE);
    expect(run.listTasks(EntryTaskState.WAITING)).to.deep.equal([0]);
  });

  it('fails without results if one task fails, once the others have ended', () => {
    const {run, actions} = createTrial(3);
    run.recordSent(0);
    run.recordSent(1);
    run.recordEnd(0, createEnding(TaskEnd.FAILED, 'no band'));
    expect(run.isOver).to.equal(false);
    run.recordEnd(1, createEnding(TaskEnd.SUCCEEDED));
    expect(actions).to.deep.equal([JobAction.WITHDRAW_TASKS, JobAction.ANSWER]);
    const answer = run.describeAnswer();
    expect(answer.outcome).to.equal(Outcome.FAILED);
    expect(answer.problem).to.equal(Problem.TASK_FAILED);
    expect(answer.results).to.deep.equal([]);
    expect(answer.faults.map(fault => fault.end)).to.deep.equal([
      TaskEnd.FAILED,
      TaskEnd.NOT_STARTED,
    ]);
  });

  it('reports that a job did not run only if no task started', () => {
    const {run} = createTrial(2);
    run.cancel(Problem.CANCELLED);
    expect(run.describeAnswer().outcome).to.equal(Outcome.DID_NOT_RUN);
  });

  it('reports an unknown outcome if a task is lost', () => {
    const {run} = createTrial(2);
    run.recordSent(0);
    run.recordEnd(0, createEnding(TaskEnd.UNKNOWN));
    expect(run.describeAnswer().outcome).to.equal(Outcome.UNKNOWN);
  });

  it('completes if all tasks succeeded although the deadline passed', () => {
    const {run} = createTrial(1);
    run.recordSent(0);
    run.handleTimer(JobEvent.DEADLINE);
    run.recordEnd(0, createEnding(TaskEnd.SUCCEEDED));
    expect(run.describeAnswer().outcome).to.equal(Outcome.COMPLETE);
  });

  it('reports an unknown outcome if a started task does not end in time', () => {
    const {run, actions} = createTrial(1);
    run.recordSent(0);
    run.handleTimer(JobEvent.DEADLINE);
    run.handleTimer(JobEvent.SETTLE);
    expect(actions).to.include(JobAction.ABANDON_TASKS);
    expect(run.describeAnswer().outcome).to.equal(Outcome.UNKNOWN);
  });

  it('ignores the end of a task that has already ended', () => {
    const {run} = createTrial(2);
    run.recordSent(0);
    run.recordSent(1);
    run.recordEnd(0, createEnding(TaskEnd.SUCCEEDED));
    run.recordEnd(0, createEnding(TaskEnd.FAILED));
    expect(run.state).to.equal(JobState.RUNNING);
    expect(run.done).to.equal(1);
  });
});
