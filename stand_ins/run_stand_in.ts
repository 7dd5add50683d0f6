/** Start-up and shutdown shared by the stand-in programs. */

/** A listening server that can be stopped. */
export interface Stoppable {
  readonly port: number;
  readonly stop: () => Promise<void>;
}

/**
 * Creates the server, prints the ready line and stops the server on SIGTERM or
 * SIGINT.
 */
export async function runStandIn<T extends Stoppable>(
  create: () => Promise<T>,
  describe: (server: T) => object = () => ({}),
): Promise<void> {
  const server = await create();
  let stopping: Promise<void> | undefined;
  const stop = () => {
    // Further signals have no effect while the server is stopping.
    stopping ??= server.stop().catch((failure: unknown) => {
      process.exitCode = 1;
      process.stderr.write(`${String(failure)}\n`);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const line = {event: 'ready', port: server.port, ...describe(server)};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Parses a numeric command line option. */
export function parseNumber(text: string): number {
  return Number(text);
}
