import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import {
  requestWith,
  type SuspectEntry,
  SuspectSimulation,
  TICK_MS,
} from "./_suspect_simulation.ts";

/*
 * Simulates requests with one bad part, which crash the servers that run them, beside sound requests
 * with other parts, while datagrams are lost, entries are killed and the store is unavailable for some
 * time.
 */

const SEEDS = 40;
const STEPS = 1200;
/** The platform counts requests with the part that are sent later than this after the fifth crash. */
const STABLE_MS = 3000;
const MAX_LATE_SENDS = 3;
/** Share of sound requests that must be served, from twice that time on. */
const MIN_SERVED_SHARE = 0.5;
const BAD = "bad";
/** Parts of sound requests, and how often a request has them; one is rare. */
const SOUND_PARTS: [string, number][] = [["a", 0.6], ["b", 0.3], ["c", 0.02]];
/** Share of the requests with the bad part that also have the rare part. */
const BAD_WITH_RARE_SHARE = 0.9;

interface Counts {
  late: number;
  crashes: number;
  served: number;
  sound: number;
}

class PartRun {
  readonly counts: Counts = { late: 0, crashes: 0, served: 0, sound: 0 };
  readonly world: SuspectSimulation;
  readonly #random: () => number;
  #fifthAtMs = Infinity;

  constructor(random: () => number) {
    this.#random = random;
    const entryCount = 2 + Math.floor(random() * 5);
    this.world = SuspectSimulation.create({ entryCount, loss: 0.3, random });
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)]!;
  }

  /** A sound request at some entry. */
  sendSound(): void {
    const request = requestWith(...this.#soundParts());
    const { quarantine } = this.#pick(this.world.entries);
    const isCounted =
      this.world.clock.nowMs() >= this.#fifthAtMs + 2 * STABLE_MS;
    if (isCounted) this.counts.sound++;
    if (quarantine.verdict(request).kind !== "clear") return;
    if (isCounted) this.counts.served++;
    quarantine.parts.sending(request);
    quarantine.parts.answered(request);
  }

  /** A request with the part, which crashes a server that runs sound ones of other entries, too. */
  sendBad(): void {
    const { clock, entries } = this.world;
    const isBesideRare = this.#random() < BAD_WITH_RARE_SHARE;
    const request = requestWith(...isBesideRare ? ["a", "c", BAD] : ["a", BAD]);
    const entry = this.#pick(entries);
    if (entry.quarantine.verdict(request).kind !== "clear") return;
    entry.quarantine.parts.sending(request);
    const nowMs = clock.nowMs();
    const isStable = nowMs - entry.startedAtMs >= STABLE_MS;
    if (isStable && nowMs - this.#fifthAtMs >= STABLE_MS) this.counts.late++;
    const lost = new Map<SuspectEntry, string[]>(
      entries.map((one) => [one, this.#soundParts()]),
    );
    lost.set(entry, [...lost.get(entry)!, ...isBesideRare ? ["c"] : [], BAD]);
    this.world.crash(lost);
    if (++this.counts.crashes === 5) this.#fifthAtMs = nowMs;
  }

  #soundParts(): string[] {
    return SOUND_PARTS.filter(([, share]) => this.#random() < share)
      .map(([part]) => part);
  }
}

async function simulate(
  seed: number,
  { restartsAll }: { restartsAll: boolean },
): Promise<PartRun> {
  const random = seededRandom(seed);
  const run = new PartRun(random);
  const { world } = run;
  const startMs = world.clock.nowMs();
  const downFromMs = startMs + random() * 20_000;
  const downUntilMs = downFromMs + random() * 10_000;
  const restartAllAtMs = downUntilMs + 2000 + random() * 15_000;
  let isRestartDue = restartsAll;
  let nextBadMs = startMs + 5000;
  for (let i = 0; i < STEPS; i++) {
    await world.step();
    const nowMs = world.clock.nowMs();
    world.isStoreDown = nowMs >= downFromMs && nowMs < downUntilMs;
    if (isRestartDue && nowMs >= restartAllAtMs) {
      isRestartDue = false;
      world.entries.forEach((_, index) => world.restart(index));
    } else if (random() < TICK_MS / 8000) {
      world.restart(Math.floor(random() * world.entries.length));
    }
    run.sendSound();
    run.sendSound();
    if (nowMs < nextBadMs) continue;
    nextBadMs = nowMs + 50 + random() * 700;
    run.sendBad();
  }
  return run;
}

for (const isHerd of [false, true]) {
  const name = isHerd ? ", all entries killed at once" : "";
  test(`crashing part is stopped, and sound requests go on${name}`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { counts } = await simulate(seed, { restartsAll: isHerd });
      const { late, crashes, served, sound } = counts;
      assert.ok(crashes >= 5, `seed ${seed}: ${crashes} crashes`);
      assert.ok(late <= MAX_LATE_SENDS, `seed ${seed}: ${late} late`);
      assert.ok(sound >= 20, `seed ${seed}: ${sound} sound requests`);
      assert.ok(
        served >= MIN_SERVED_SHARE * sound,
        `seed ${seed}: ${served} of ${sound} served`,
      );
    }
  });
}
