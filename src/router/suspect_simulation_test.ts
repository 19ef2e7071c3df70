import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { SuspectSimulation, TICK_MS } from "./_suspect_simulation.ts";

/*
 * Simulates a request that crashes the servers that run it and is retried at any entry, while other
 * requests run beside it, datagrams are lost, entries are killed and the store is unavailable for
 * some time.
 */

const SEEDS = 60;
const STEPS = 1600;
/**
 * The platform counts sends that happen later than this after the third server end, by entries that
 * have been up for as long.
 */
const STABLE_MS = 3000;
const MAX_LATE_SENDS = 3;
const SUSPECT = "cause";

interface SimulationResult {
  lateSends: number;
  ends: number;
  writes: number;
  /** Other requests that are in quarantine at some entry at the end. */
  wronglyQuarantined: string[];
}

async function simulate(
  seed: number,
  { restartsAll }: { restartsAll: boolean },
): Promise<SimulationResult> {
  const random = seededRandom(seed);
  const entryCount = 2 + Math.floor(random() * 5);
  const world = SuspectSimulation.create({ entryCount, loss: 0.3, random });
  const { clock } = world;
  const startMs = clock.nowMs();
  const downFromMs = startMs + random() * 30_000;
  const downUntilMs = downFromMs + random() * 15_000;
  const restartAllAtMs = downUntilMs + 2000 + random() * 20_000;
  let isRestartDue = restartsAll;
  let nextMs = startMs;
  let thirdAtMs = Infinity;
  const result: SimulationResult = {
    lateSends: 0,
    ends: 0,
    writes: 0,
    wronglyQuarantined: [],
  };
  for (let i = 0; i < STEPS; i++) {
    await world.step();
    const nowMs = clock.nowMs();
    world.isStoreDown = nowMs >= downFromMs && nowMs < downUntilMs;
    if (isRestartDue && nowMs >= restartAllAtMs) {
      isRestartDue = false;
      world.entries.forEach((_, index) => world.restart(index));
    } else if (random() < TICK_MS / 8000) {
      world.restart(Math.floor(random() * entryCount));
    }
    if (nowMs < nextMs) continue;
    nextMs = nowMs + 100 + random() * 1400;
    const entry = world.entries[Math.floor(random() * entryCount)]!;
    const { kind } = entry.quarantine.table.verdict(SUSPECT);
    if (kind === "quarantined") continue;
    const beside = "abcd".split("").filter(() => random() < 0.3);
    world.end(entry, [SUSPECT, ...beside]);
    result.ends++;
    if (result.ends === 3) thirdAtMs = nowMs;
    const isUp = nowMs - entry.startedAtMs >= STABLE_MS;
    if (isUp && nowMs - thirdAtMs >= STABLE_MS) result.lateSends++;
  }
  result.writes = world.writes;
  result.wronglyQuarantined = "abcd".split("").filter((digest) =>
    world.entries.some(({ quarantine }) =>
      quarantine.table.verdict(digest).kind === "quarantined"
    )
  );
  return result;
}

for (const isHerd of [false, true]) {
  const name = isHerd ? ", all entries killed at once" : "";
  test(`request that ends servers is stopped${name}`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { lateSends: late, writes, wronglyQuarantined: condemned } =
        await simulate(seed, { restartsAll: isHerd });
      assert.deepEqual(condemned, [], `seed ${seed}`);
      assert.ok(late <= MAX_LATE_SENDS, `seed ${seed}: ${late} late`);
      assert.ok(writes <= 30, `seed ${seed}: ${writes} writes`);
    }
  });
}
