/** The `cicadahitch agent` command. */
import { Agent } from "../agent/mod.ts";
import { type Daemon, type DaemonFailure, runDaemon } from "./daemon.ts";
import { readAgentOptions } from "./daemon_options.ts";
import type { InvalidSettings, SettingSources } from "./settings.ts";

/**
 * Runs an agent until it is shut down.
 *
 * @param sources Flags and environment variables.
 * @returns The failure, or `undefined` after a graceful shutdown.
 */
export async function serveAgent(
  sources: SettingSources,
): Promise<InvalidSettings | DaemonFailure | undefined> {
  const options = readAgentOptions(sources);
  if (options.isErr) return options.error;
  const start = async (): Promise<Daemon> => {
    const agent = await Agent.create(options.value);
    return {
      listening: { agent: agent.address },
      stop: () => agent.stop(),
    };
  };
  return await runDaemon(start, { role: "agent", log: options.value.log });
}
