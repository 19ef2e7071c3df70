/** Fuzzing property: runs generated commands against a new fleet and checks the results. */
import fc from "fast-check";
import { type CommandCounts, commandRuns } from "./_commands.ts";
import { World } from "./_world.ts";

/**
 * @param counts Updated with each executed command.
 * @returns Property that no sequence of commands violates an invariant.
 */
export function fleetProperty(counts: CommandCounts) {
  return fc.asyncProperty(commandRuns(counts), async (commands) => {
    const world = await World.create();
    try {
      const start = () => ({ model: {}, real: world });
      await fc.asyncModelRun(start, commands);
      const violations = await world.settleAndCheck();
      if (violations.length > 0) throw new Error(violations.join("\n"));
    } finally {
      await world.fleet.close();
    }
  });
}
