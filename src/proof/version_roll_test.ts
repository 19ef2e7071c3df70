import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { SAMPLE_MODEL, SAMPLE_TEAM, sampleBranch } from "../cli/sample_team.ts";
import { encodeBranch, teamKey } from "../config/mod.ts";
import {
  answerTo,
  type CallResult,
  callStreaming,
  chatBody,
} from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";

const ENGINES = 2;
const CALLERS = 4;
const OLD_VERSION = "1";
const NEW_VERSION = "2";
const PLANNING = {
  planIntervalMs: 100,
  movesPerMinute: 1200,
  loadsPerMinute: 1200,
};

test("a change of weights cuts no stream, moves all traffic and unloads the old version", async (context) => {
  const fleet = await ProofFleet.create({
    engines: ENGINES,
    services: 0,
    planning: PLANNING,
    engine: {
      decodeMsPerToken: 2,
      models: [{
        model: SAMPLE_MODEL,
        adapter: "",
        weightsVersion: OLD_VERSION,
      }],
      modelLoadMs: 300,
    },
  });
  context.after(() => fleet.close());
  let isOver = false;
  const results: CallResult[] = [];
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let count = 0; !isOver; count++) {
      const body = chatBody(`caller ${caller} call ${count}`);
      const slot = fleet.entries[count % fleet.entries.length]!;
      const answer = await callStreaming(slot, body);
      assert.equal(answer.text, answerTo(body));
      results.push(answer);
    }
  });
  const served = Promise.all(callers);
  await until(() => results.length > CALLERS);
  await writeVersion(fleet, NEW_VERSION);
  await Promise.race([
    served,
    until(() =>
      loadedVersions(fleet).every((loaded) => loaded === NEW_VERSION)
    ),
  ]);
  const earlier = new Set(executionsOf(fleet));
  const newExecutions = () =>
    executionsOf(fleet).filter((each) => !earlier.has(each));
  await until(() => newExecutions().length > 2 * CALLERS);
  isOver = true;
  await served;
  assert.deepEqual([...new Set(results.map(({ kind }) => kind))], ["answer"]);
  assert.deepEqual(versionsOf(newExecutions()), [NEW_VERSION]);
  assert.deepEqual(versionsOf(executionsOf(fleet)), [OLD_VERSION, NEW_VERSION]);
});

/** Loaded weights versions of each engine; several versions are joined by commas. */
function loadedVersions(fleet: ProofFleet): string[] {
  return fleet.agentSlots.map(({ agent }) => {
    const { server } = agent.dumpState();
    assert(server.kind === "engine");
    return server.models.map(({ weightsVersion }) => weightsVersion).join();
  });
}

function executionsOf(fleet: ProofFleet) {
  return fleet.engines.flatMap(({ executions }) => executions);
}

function versionsOf(
  executions: { model: { weightsVersion: string } }[],
): string[] {
  const used = executions.map(({ model }) => model.weightsVersion);
  return [...new Set(used)].sort();
}

async function writeVersion(
  fleet: ProofFleet,
  weightsVersion: string,
): Promise<void> {
  const branch = sampleBranch();
  Object.assign(branch.models[SAMPLE_MODEL]!, {
    weightsVersion,
    minReplicas: ENGINES,
  });
  const value = encodeBranch(branch, { writer: "proof" });
  const key = teamKey(SAMPLE_TEAM);
  await fleet.kv.store.commit([], [{ kind: "put", key, value }]);
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await systemClock.sleep(10);
}
