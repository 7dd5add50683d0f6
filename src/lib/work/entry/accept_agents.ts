/** Connects the streams of agents to the scheduler. */
import {PostOutcome} from '../../core/task.js';
import {AgentFrameKind} from '../../core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {AcceptFrameStream} from '../link/frame_stream.js';
import type {Scheduler} from './scheduler.js';
import {SchedulerMessageKind} from './scheduler_messages.js';

/** Returns a function that greets an agent and posts what its stream delivers. */
export function createAgentAcceptor(
  scheduler: Scheduler,
): AcceptFrameStream<EntryFrame, AgentFrame> {
  return stream => {
    scheduler.sendHello(stream);
    return {
      receive: frames => {
        const kind = SchedulerMessageKind.AGENT_FRAMES;
        const outcome = scheduler.post({kind, stream, frames});
        // Without these frames, the entry would not know how its runs ended; the
        // agent's next hello tells it.
        if (outcome === PostOutcome.FULL) stream.close();
      },
      fail: detail =>
        scheduler.post({
          kind: SchedulerMessageKind.AGENT_STREAM_ENDED,
          stream,
          detail,
        }),
    };
  };
}

/** Returns whether a frame is a hello with all fields that are used of it. */
export function isAgentHello(frame: AgentFrame): boolean {
  if (frame.kind !== AgentFrameKind.HELLO) return false;
  const {agent, life, dataCentre, held, ends, through} = frame;
  const isNamed = [agent, life, dataCentre].every(
    text => typeof text === 'string',
  );
  const hasLists = Array.isArray(held) && Array.isArray(ends);
  return isNamed && hasLists && typeof through === 'number';
}
