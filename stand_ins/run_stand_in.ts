/** Start and stop that the stand-ins' programs share. */

/** A server that can be stopped. */
export interface Stoppable {
  readonly port: number;
  readonly stop: () => Promise<void>;
}

/** Prints the ready line and stops the server on the first signal. */
export async function runStandIn<T extends Stoppable>(
  create: () => Promise<T>,
  describe: (server: T) => object = () => ({}),
): Promise<void> {
  const server = await create();
  let stopping: Promise<void> | undefined;
  const stop = () => {
    // A second signal finds the first stop under way and changes nothing.
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

/** Reads a number from a command-line option. */
export function parseNumber(text: string): number {
  return Number(text);
}
