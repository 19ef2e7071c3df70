import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../base/mod.ts";
import { TEAMS_PREFIX } from "../config/mod.ts";
import { AGENT, FuzzWorld, NODES, TEAMS } from "./_fuzz_world.ts";

const SEED = Number(process.env.CICADAHITCH_FUZZ_SEED ?? 20_260);
const RUNS = Number(process.env.CICADAHITCH_FUZZ_RUNS ?? 60);
const MAX_COMMANDS = 60;

const BRANCH = {
  format: 1,
  classes: { desk: { priority: "urgent", deadlineMs: 2000 } },
  workspaces: { salon: { defaultClass: "desk" } },
};

type Model = Record<string, never>;

const WRITES = [
  "create",
  "create",
  "replace",
  "patch",
  "patch",
  "patch_matching",
  "delete",
  "roll_forward",
] as const;
const ADMIN = fc.constantFrom("n0", "n1");
const NODE = fc.constantFrom(...NODES);
const TEAM = fc.constantFrom(...TEAMS);
const BRIEF = fc.integer({ min: 1, max: 60 });
const CUT = fc.record({ at: NODE, ms: BRIEF });
const WRITE = fc.record({
  at: ADMIN,
  team: TEAM,
  kind: fc.constantFrom(...WRITES),
  deadlineMs: fc.integer({ min: 1, max: 1000 }),
  /** Sends the same request to the other server as well. */
  twice: fc.boolean(),
});
type WriteStep = typeof WRITE extends fc.Arbitrary<infer T> ? T : never;

async function write(world: FuzzWorld, step: WriteStep): Promise<void> {
  const writeId = world.nextWriteId();
  const held = world.node(step.at).branches.revisionOf(step.team);
  const matching = ["replace", "delete", "patch_matching"].includes(step.kind);
  const ifMatch = matching ? held : undefined;
  const targets = step.twice ? ["n0", "n1"] : [step.at];
  const outcomes = await Promise.all(
    targets.map((at) => send(world, at, step, { writeId, ifMatch })),
  );
  const accepted = outcomes.find(({ isOk }) => isOk);
  const isUnknown = outcomes.some((outcome) =>
    outcome.isErr && outcome.error.kind === "outcome_unknown"
  );
  for (const { isErr } of outcomes) {
    // Of a request that was sent twice, one may be accepted and the other refused for its fault.
    if (isErr && (accepted || isUnknown)) continue;
    world.told.push({
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
  world.told.push({ writeId, team, ifMatch, outcome, revision: 0n });
}

function send(
  world: FuzzWorld,
  at: string,
  { kind, team, deadlineMs }: WriteStep,
  { writeId, ifMatch }: { writeId: string; ifMatch: bigint | undefined },
) {
  const commands = world.commands(at);
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
      const earlier = world.taken.find((taken) => taken.team === team);
      const version = earlier?.revision ?? 1n;
      return commands.rollForward(team, version, context);
    }
  }
}

function step<T>(
  name: string,
  arbitrary: fc.Arbitrary<T>,
  body: (world: FuzzWorld, value: T) => Promise<void> | void,
): fc.Arbitrary<fc.AsyncCommand<Model, FuzzWorld>> {
  return arbitrary.map((value) => ({
    check: () => true,
    run: async (_model, world) => await body(world, value),
    toString: () => `${name}(${JSON.stringify(value)})`,
  }));
}

const NONE = fc.constant(null);
/** Steps of a linear congruential generator modulo 2^32. */
const MULTIPLIER = 1_664_525;
const INCREMENT = 1_013_904_223;

function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, MULTIPLIER) + INCREMENT) >>> 0;
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
    (world, all) => {
      for (const one of all) world.beside(write(world, one));
    },
  ),
  step("loseAnswer", NONE, ({ store }) => {
    store.faults.loseNextAnswer = true;
  }),
  step("loseRequest", NONE, ({ store }) => {
    store.faults.loseNextRequest = true;
  }),
  step("lateEffect", BRIEF, ({ store }, lateMs) => {
    store.faults.lateNextEffectMs = lateMs;
  }),
  step("outage", BRIEF, (world, ms) => {
    world.store.faults.down = true;
    world.beside(
      systemClock.sleep(ms).then(() => {
        world.store.faults.down = false;
      }),
    );
  }),
  step("slow", fc.constantFrom(0, 1, 5), ({ store }, slowMs) => {
    store.faults.slowMs = slowMs;
  }),
  step("cutPeer", CUT, (world, { at, ms }) => {
    const { fleet } = world;
    fleet.isolated.add(at);
    world.beside(
      systemClock.sleep(ms).then(() => void fleet.isolated.delete(at)),
    );
  }),
  step("cutStore", CUT, (world, { at, ms }) => {
    const { store } = world.node(at);
    store.open = false;
    world.beside(
      systemClock.sleep(ms).then(() => {
        store.open = true;
      }),
    );
  }),
  step("restart", NODE, (world, address) => world.restart(address)),
  step("push", NODE, async (world, address) => {
    await world.node(address).sync.pushToAgent(AGENT, [...TEAMS]);
  }),
  step("fetch", NODE, async (world, address) => {
    await world.node(address).sync.fetchFromAgent(AGENT);
  }),
  step("compact", NONE, ({ store }) => {
    store.table.compact(store.table.revision);
  }),
  step("lagging", NODE, async (world, address) => {
    const old = await world.store.list(TEAMS_PREFIX);
    const { store } = world.node(address);
    const list = store.list.bind(store);
    store.list = (prefix) => {
      store.list = list;
      return prefix === TEAMS_PREFIX ? Promise.resolve(old) : list(prefix);
    };
  }),
  step("wait", fc.integer({ min: 1, max: 30 }), async (_world, ms) => {
    await systemClock.sleep(ms);
  }),
];

test("accepted is kept, refused never was, nothing reverts", async () => {
  const counts = { accepted: 0, refused: 0, unknown: 0 };
  const property = fc.asyncProperty(
    fc.integer(),
    fc.commands(STEPS, { maxCommands: MAX_COMMANDS, size: "max" }),
    async (seed, commands) => {
      const world = FuzzWorld.create(seededRandom(seed));
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
        await world.settle();
      } finally {
        await world.close();
      }
      for (const { outcome } of world.told) counts[outcome]++;
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  assert(counts.accepted > 0 && counts.refused > 0);
  console.log(JSON.stringify({ seed: SEED, runs: RUNS, ...counts }));
});
