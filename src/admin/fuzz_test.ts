import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../base/mod.ts";
import { TEAMS_PREFIX } from "../config/mod.ts";
import { AGENT, FuzzHarness, NODES, TEAMS } from "./_fuzz_harness.ts";

const SEED = Number(process.env.CICADAHITCH_FUZZ_SEED ?? 20_260);
const RUNS = Number(process.env.CICADAHITCH_FUZZ_RUNS ?? 60);
const MAX_COMMANDS = 60;

const BRANCH = {
  format: 1,
  classes: { desk: { priority: "urgent", deadlineMs: 2000 } },
  workspaces: { salon: { defaultClass: "desk" } },
};

type Model = Record<string, never>;

const WRITE_KINDS = [
  "create",
  "create",
  "replace",
  "patch",
  "patch",
  "patch_matching",
  "delete",
  "roll_forward",
] as const;
const ADMIN_ADDRESS = fc.constantFrom("n0", "n1");
const NODE_ADDRESS = fc.constantFrom(...NODES);
const TEAM_NAME = fc.constantFrom(...TEAMS);
const SHORT_DELAY_MS = fc.integer({ min: 1, max: 60 });
const DISCONNECTION = fc.record({ at: NODE_ADDRESS, ms: SHORT_DELAY_MS });
const WRITE = fc.record({
  at: ADMIN_ADDRESS,
  team: TEAM_NAME,
  kind: fc.constantFrom(...WRITE_KINDS),
  deadlineMs: fc.integer({ min: 1, max: 1000 }),
  /** Whether the same request is sent to both servers. */
  twice: fc.boolean(),
});
type WriteStep = typeof WRITE extends fc.Arbitrary<infer T> ? T : never;

async function write(harness: FuzzHarness, step: WriteStep): Promise<void> {
  const writeId = harness.nextWriteId();
  const heldRevision = harness.node(step.at).branches.revisionOf(step.team);
  const needsIfMatch = ["replace", "delete", "patch_matching"].includes(
    step.kind,
  );
  const ifMatch = needsIfMatch ? heldRevision : undefined;
  const targets = step.twice ? ["n0", "n1"] : [step.at];
  const outcomes = await Promise.all(
    targets.map((at) => send(harness, at, step, { writeId, ifMatch })),
  );
  const accepted = outcomes.find(({ isOk }) => isOk);
  const isUnknown = outcomes.some((outcome) =>
    outcome.isErr && outcome.error.kind === "outcome_unknown"
  );
  for (const { isErr } of outcomes) {
    // If the request was sent twice, one copy may be accepted and the other rejected.
    if (isErr && (accepted || isUnknown)) continue;
    harness.reportedWrites.push({
      writeId,
      team: step.team,
      ifMatch,
      outcome: isErr ? "refused" : "accepted",
      revision: accepted?.isOk ? accepted.value.revision : 0n,
    });
  }
  if (!isUnknown || accepted) return;
  const { team } = step;
  const outcome = "unknown" as const;
  harness.reportedWrites.push({
    writeId,
    team,
    ifMatch,
    outcome,
    revision: 0n,
  });
}

function send(
  harness: FuzzHarness,
  at: string,
  { kind, team, deadlineMs }: WriteStep,
  { writeId, ifMatch }: { writeId: string; ifMatch: bigint | undefined },
) {
  const commands = harness.commands(at);
  const context = { writer: at, writeId, ifMatch };
  const path = "/classes/desk/deadlineMs";
  const edit = { kind: "set" as const, value: deadlineMs };
  switch (kind) {
    case "create":
      return commands.create(team, BRANCH, context);
    case "replace":
      return commands.replace(team, BRANCH, context);
    case "patch":
    case "patch_matching":
      return commands.patch(team, { path, edit }, context);
    case "delete":
      return commands.delete(team, context);
    case "roll_forward": {
      const earlier = harness.commits.find((commit) => commit.team === team);
      const version = earlier?.revision ?? 1n;
      return commands.rollForward(team, version, context);
    }
  }
}

function step<T>(
  name: string,
  arbitrary: fc.Arbitrary<T>,
  body: (harness: FuzzHarness, value: T) => Promise<void> | void,
): fc.Arbitrary<fc.AsyncCommand<Model, FuzzHarness>> {
  return arbitrary.map((value) => ({
    check: () => true,
    run: async (_model, harness) => await body(harness, value),
    toString: () => `${name}(${JSON.stringify(value)})`,
  }));
}

const NO_VALUE = fc.constant(null);
/** Parameters of a linear congruential generator modulo 2^32. */
const LCG_MULTIPLIER = 1_664_525;
const LCG_INCREMENT = 1_013_904_223;

function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, LCG_MULTIPLIER) + LCG_INCREMENT) >>> 0;
    return state / 2 ** 32;
  };
}

const STEPS = [
  step("write", WRITE, write),
  step("write", WRITE, write),
  step("write", WRITE, write),
  step("write", WRITE, write),
  step(
    "race",
    fc.array(WRITE, { minLength: 2, maxLength: 3 }),
    (harness, all) => {
      for (const one of all) harness.runInBackground(write(harness, one));
    },
  ),
  step("loseAnswer", NO_VALUE, ({ store }) => {
    store.faults.loseNextAnswer = true;
  }),
  step("loseRequest", NO_VALUE, ({ store }) => {
    store.faults.loseNextRequest = true;
  }),
  step("lateEffect", SHORT_DELAY_MS, ({ store }, lateMs) => {
    store.faults.lateNextEffectMs = lateMs;
  }),
  step("outage", SHORT_DELAY_MS, (harness, ms) => {
    harness.store.faults.down = true;
    harness.runInBackground(
      systemClock.sleep(ms).then(() => {
        harness.store.faults.down = false;
      }),
    );
  }),
  step("slow", fc.constantFrom(0, 1, 5), ({ store }, slowMs) => {
    store.faults.slowMs = slowMs;
  }),
  step("cutPeer", DISCONNECTION, (harness, { at, ms }) => {
    const { fleet } = harness;
    fleet.isolated.add(at);
    harness.runInBackground(
      systemClock.sleep(ms).then(() => void fleet.isolated.delete(at)),
    );
  }),
  step("cutStore", DISCONNECTION, (harness, { at, ms }) => {
    const { store } = harness.node(at);
    store.open = false;
    harness.runInBackground(
      systemClock.sleep(ms).then(() => {
        store.open = true;
      }),
    );
  }),
  step("restart", NODE_ADDRESS, (harness, address) => harness.restart(address)),
  step("push", NODE_ADDRESS, async (harness, address) => {
    await harness.node(address).sync.pushToAgent(AGENT, [...TEAMS]);
  }),
  step("fetch", NODE_ADDRESS, async (harness, address) => {
    await harness.node(address).sync.fetchFromAgent(AGENT);
  }),
  step("compact", NO_VALUE, ({ store }) => {
    store.table.compact(store.table.revision);
  }),
  step("lagging", NODE_ADDRESS, async (harness, address) => {
    const old = await harness.store.list(TEAMS_PREFIX);
    const { store } = harness.node(address);
    const list = store.list.bind(store);
    store.list = (prefix) => {
      store.list = list;
      return prefix === TEAMS_PREFIX ? Promise.resolve(old) : list(prefix);
    };
  }),
  step("wait", fc.integer({ min: 1, max: 30 }), async (_harness, ms) => {
    await systemClock.sleep(ms);
  }),
];

test("accepted writes persist, refused writes have no effect, and no branch reverts", async () => {
  const counts = { accepted: 0, refused: 0, unknown: 0 };
  const property = fc.asyncProperty(
    fc.integer(),
    fc.commands(STEPS, { maxCommands: MAX_COMMANDS, size: "max" }),
    async (seed, commands) => {
      const harness = FuzzHarness.create(seededRandom(seed));
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: harness }), commands);
        await harness.convergeAndVerify();
      } finally {
        await harness.close();
      }
      for (const { outcome } of harness.reportedWrites) counts[outcome]++;
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  assert(counts.accepted > 0 && counts.refused > 0);
  console.log(JSON.stringify({ seed: SEED, runs: RUNS, ...counts }));
});
