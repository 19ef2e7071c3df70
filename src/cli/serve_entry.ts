/** The `cicadahitch entry` command. */
import { Entry } from "../entry/mod.ts";
import { type Daemon, type DaemonFailure, runDaemon } from "./daemon.ts";
import { readEntryOptions } from "./daemon_options.ts";
import type { InvalidSettings, SettingSources } from "./settings.ts";

/**
 * Runs an entry until it is shut down.
 *
 * @param sources Flags and environment variables.
 * @returns The failure, or `undefined` after a graceful shutdown.
 */
export async function serveEntry(
  sources: SettingSources,
): Promise<InvalidSettings | DaemonFailure | undefined> {
  const options = readEntryOptions(sources);
  if (options.isErr) return options.error;
  const start = async (): Promise<Daemon> => {
    const entry = await Entry.create(options.value);
    return {
      listening: {
        http: entry.httpAddress,
        admin: entry.adminAddress,
        peer: entry.peerAddress,
      },
      stop: () => entry.stop(),
    };
  };
  return await runDaemon(start, { role: "entry", log: options.value.log });
}
