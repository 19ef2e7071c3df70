import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { SuspectWorld, TICK_MS } from "./_suspect_world.ts";

/*
 * A request that ends the server that runs it comes again and again, at any entry, while others run
 * beside it, datagrams are lost, entries are killed and the store is away for a time.
 */

const SEEDS = 60;
const STEPS = 1600;
/** The platform counts sends later than this after the third end, by entries that are up so long. */
const STABLE_MS = 3000;
const MOST_LATE = 3;
const CAUSE = "cause";

interface Played {
  late: number;
  ends: number;
  writes: number;
  /** Others in quarantine at some entry at the end. */
  condemned: string[];
}

async function play(
  seed: number,
  { isHerd }: { isHerd: boolean },
): Promise<Played> {
  const random = seededRandom(seed);
  const entryCount = 2 + Math.floor(random() * 5);
  const world = SuspectWorld.create({ entryCount, loss: 0.3, random });
  const { clock } = world;
  const startMs = clock.nowMs();
  const awayFromMs = startMs + random() * 30_000;
  const awayUntilMs = awayFromMs + random() * 15_000;
  const herdAtMs = awayUntilMs + 2000 + random() * 20_000;
  let hasHerd = isHerd;
  let nextMs = startMs;
  let thirdAtMs = Infinity;
  const played: Played = { late: 0, ends: 0, writes: 0, condemned: [] };
  for (let i = 0; i < STEPS; i++) {
    await world.step();
    const nowMs = clock.nowMs();
    world.isStoreAway = nowMs >= awayFromMs && nowMs < awayUntilMs;
    if (hasHerd && nowMs >= herdAtMs) {
      hasHerd = false;
      world.entries.forEach((_, index) => world.restart(index));
    } else if (random() < TICK_MS / 8000) {
      world.restart(Math.floor(random() * entryCount));
    }
    if (nowMs < nextMs) continue;
    nextMs = nowMs + 100 + random() * 1400;
    const entry = world.entries[Math.floor(random() * entryCount)]!;
    const { kind } = entry.quarantine.table.verdict(CAUSE);
    if (kind === "quarantined") continue;
    const beside = "abcd".split("").filter(() => random() < 0.3);
    world.end(entry, [CAUSE, ...beside]);
    played.ends++;
    if (played.ends === 3) thirdAtMs = nowMs;
    const isUp = nowMs - entry.startedAtMs >= STABLE_MS;
    if (isUp && nowMs - thirdAtMs >= STABLE_MS) played.late++;
  }
  played.writes = world.writes;
  played.condemned = "abcd".split("").filter((digest) =>
    world.entries.some(({ quarantine }) =>
      quarantine.table.verdict(digest).kind === "quarantined"
    )
  );
  return played;
}

for (const isHerd of [false, true]) {
  const name = isHerd ? ", all entries killed at once" : "";
  test(`request that ends servers is stopped${name}`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { late, writes, condemned } = await play(seed, { isHerd });
      assert.deepEqual(condemned, [], `seed ${seed}`);
      assert.ok(late <= MOST_LATE, `seed ${seed}: ${late} late`);
      assert.ok(writes <= 30, `seed ${seed}: ${writes} writes`);
    }
  });
}
