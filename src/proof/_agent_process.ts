/** Runs an agent of a fleet as a separate process, so that tests can send it signals. */
import { Child } from "../e2e/_child.ts";
import type { AgentSlot, ProofFleet } from "./_fleet.ts";

/**
 * Kills an agent of this process and starts a child process in its place.
 *
 * @param fleet Fleet of the agent.
 * @param agentSlot Slot of the agent.
 * @returns The child process, which listens at the same address.
 */
export async function moveAgentToProcess(
  { kv }: ProofFleet,
  agentSlot: AgentSlot,
): Promise<Child> {
  await agentSlot.agent.kill();
  const { id, pool, address, server } = agentSlot;
  const child = Child.create({
    program: "cli/main",
    args: [
      "agent",
      ...["--instance-id", id, "--zone", "a", "--pool", pool],
      ...["--listen-address", address],
      ...[`--${server.kind}-url`, server.standin.url],
      ...["--store-address", kv.address],
    ],
  });
  await child.started();
  return child;
}
