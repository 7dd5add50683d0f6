/** Sends frames as lines to a peer, and holds those that it has not read yet. */
import type {Socket} from 'node:net';

/**
 * Length in characters from which a line gets no further frame. Longer ones would hold
 * the text of many frames at once, and a peer refuses a line that is too long.
 */
const LINE_CHARACTERS = 64 * 1024;

/**
 * Writes frames to a socket while its peer reads. The others wait as frames, not as
 * text: the orders of one job share its payload.
 */
export class LineSender<Out> {
  private waiting: Out[] = [];
  private head = 0;
  private isBlocked = false;

  private constructor(private readonly socket: Socket) {
    socket.on('drain', () => {
      this.isBlocked = false;
      this.flush();
    });
  }

  /** Creates a sender for which nothing waits. */
  static create<Out>(socket: Socket): LineSender<Out> {
    return new LineSender<Out>(socket);
  }

  /** Number of frames that wait until the peer reads. */
  get backlog(): number {
    return this.waiting.length - this.head;
  }

  /** Writes frames, or queues them behind those that wait. */
  send(frames: readonly Out[]): void {
    if (frames.length === 0) {
      if (!this.isBlocked) this.isBlocked = !this.socket.write('[]\n');
      return;
    }
    for (const frame of frames) this.waiting.push(frame);
    this.flush();
  }

  /** Drops the frames that wait. */
  clear(): void {
    this.waiting = [];
    this.head = 0;
  }

  private flush(): void {
    while (!this.isBlocked && this.backlog > 0) {
      this.isBlocked = !this.socket.write(this.takeLine());
    }
    if (this.backlog === 0) this.clear();
  }

  private takeLine(): string {
    const texts: string[] = [];
    let characters = 0;
    while (this.backlog > 0 && characters < LINE_CHARACTERS) {
      const text = JSON.stringify(this.waiting[this.head]);
      this.head += 1;
      texts.push(text);
      characters += text.length;
    }
    return `[${texts.join(',')}]\n`;
  }
}
