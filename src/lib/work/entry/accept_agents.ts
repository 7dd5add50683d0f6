/** Connects the streams of agents to the scheduler. */
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
      receive: frames =>
        scheduler.post({
          kind: SchedulerMessageKind.AGENT_FRAMES,
          stream,
          frames,
        }),
      fail: detail =>
        scheduler.post({
          kind: SchedulerMessageKind.AGENT_STREAM_ENDED,
          stream,
          detail,
        }),
    };
  };
}
