/** The agent sessions of an entry, indexed for the look-ups of each message. */
import type {EntryFrame} from '../../core/work_frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import type {AgentSession} from './agent_session.js';

/** Finds sessions in constant time, whatever the number of agents. */
export class SessionIndex {
  private readonly byId = new Map<string, AgentSession>();
  private readonly byStream = new Map<FrameStream<EntryFrame>, AgentSession>();
  private readonly byAgent = new Map<string, Set<AgentSession>>();

  private constructor() {}

  /** Creates an empty index. */
  static create(): SessionIndex {
    return new SessionIndex();
  }

  /** Number of all sessions, including disconnected ones. */
  get size(): number {
    return this.byId.size;
  }

  /** Lists all sessions, including disconnected ones. */
  list(): IterableIterator<AgentSession> {
    return this.byId.values();
  }

  /** Finds a session by the incarnation of its agent. */
  find(id: string): AgentSession | undefined {
    return this.byId.get(id);
  }

  /** Finds the session that uses a stream. */
  findByStream(stream: FrameStream<EntryFrame>): AgentSession | undefined {
    return this.byStream.get(stream);
  }

  /** Lists the sessions of all incarnations of one agent. */
  listOf(agent: string): readonly AgentSession[] {
    return [...(this.byAgent.get(agent) ?? [])];
  }

  /** Adds a session with the stream that it uses. */
  add(session: AgentSession, stream: FrameStream<EntryFrame>): void {
    const {agent} = session.hello;
    this.byId.set(session.id, session);
    this.byStream.set(stream, session);
    const incarnations = this.byAgent.get(agent) ?? new Set();
    this.byAgent.set(agent, incarnations.add(session));
  }

  /** Records that a session uses another stream. */
  replaceStream(
    session: AgentSession,
    former: FrameStream<EntryFrame>,
    stream: FrameStream<EntryFrame>,
  ): void {
    this.byStream.delete(former);
    this.byStream.set(stream, session);
  }

  /** Removes a session. */
  remove(session: AgentSession, stream: FrameStream<EntryFrame>): void {
    const {agent} = session.hello;
    this.byId.delete(session.id);
    this.byStream.delete(stream);
    const incarnations = this.byAgent.get(agent);
    incarnations?.delete(session);
    if (incarnations?.size === 0) this.byAgent.delete(agent);
  }
}
