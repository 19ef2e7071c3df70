import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "../base/random.ts";
import {
  ask,
  type Asked,
  CONFIG,
  PLAIN_BODY,
  PROMPT,
  StandinPlatformWorker,
  streamOf,
} from "../standin/mod.ts";
import { openWorld, until, type World } from "./_world.ts";

/** Seeds that are always run; `FUZZ_SEEDS=a,b` runs others. */
const SEEDS = (process.env["FUZZ_SEEDS"] ?? "1,2,3,4").split(",").map(Number);
const STEPS = 60;
const EVENTS = 12;
const STEP_MS = 15;
/** Statuses that promise that a request did not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

const PATHS = ["/stream/", "/once/", "/book/", "/look/"] as const;
const FAULTS = [
  "refuse",
  "loseAnswer",
  "fail",
  "unframed",
  "foreign",
  "hang",
  "moveFull",
] as const;

interface Sent {
  id: string;
  path: typeof PATHS[number];
  answer: Promise<Asked | undefined>;
}

/** One world under a series of random steps. */
class Fuzz {
  readonly #world: World;
  readonly #workers: StandinPlatformWorker[];
  readonly #random: () => number;
  readonly sent: Sent[] = [];
  #configVersion = 1;
  #weightsVersion = 1;

  constructor(
    world: World,
    workers: StandinPlatformWorker[],
    random: () => number,
  ) {
    this.#world = world;
    this.#workers = workers;
    this.#random = random;
  }

  async step(): Promise<void> {
    const { store, entries } = this.#world;
    const roll = this.#random();
    if (roll < 0.7) return this.#send();
    if (roll < 0.85) return this.#spoil();
    if (roll < 0.9) {
      const version = ++this.#weightsVersion;
      return await store.put("op/version/m", { model: "m", version });
    }
    if (roll < 0.95) {
      const version = ++this.#configVersion;
      return await store.configure({ ...CONFIG, version });
    }
    const { link } = this.#pick(entries);
    if (this.#random() < 0.5) link.down();
    else link.up();
  }

  /** Faults that are still to come, and links that are down, would keep requests waiting. */
  heal(): void {
    for (const { link } of this.#world.entries) link.up();
    for (const { faults } of this.#workers) {
      for (const fault of FAULTS) faults[fault] = 0;
      faults.cutAfterEvents = undefined;
    }
  }

  #send(): void {
    const path = this.#pick(PATHS);
    const id = `r${this.sent.length}`;
    const part = Math.floor(this.#random() * 3);
    const answer = ask(this.#pick(this.#world.entries), `${path}${id}`, {
      ...(path === "/stream/" || path === "/once/" ? PROMPT : {}),
      "prompt-prefix": `a${part}:1000,${id}:200`,
      "attempt-id": id,
      "deadline-ms": "1500",
    }).catch(() => undefined);
    this.sent.push({ id, path, answer });
  }

  #spoil(): void {
    const { faults } = this.#pick(this.#workers);
    if (this.#random() < 0.3) {
      faults.cutAfterEvents = Math.floor(this.#random() * EVENTS);
    } else {
      faults[this.#pick(FAULTS)] += 1 + Math.floor(this.#random() * 2);
    }
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)]!;
  }
}

/** Checks one answer against what the servers ran. */
function checkAnswer(
  { id, path }: Sent,
  asked: Asked | undefined,
  workers: StandinPlatformWorker[],
): void {
  const runs = workers.flatMap(({ runs }) => runs).filter((run) =>
    run.headers["attempt-id"] === id
  );
  // A run that goes on from a copy of its memory is the same one.
  const own = runs.filter(({ headers }) => headers["kv-from"] === undefined);
  if (path === "/book/" || path === "/once/") {
    assert.ok(own.length <= 1, `${id} ran ${own.length} times`);
  }
  // Two servers each, and the second only after the first.
  assert.ok(own.length <= 2, `${id} ran ${own.length} times`);
  assert.ok(asked, `${id} got no answer`);
  if (NOT_RUN.has(asked.status)) {
    assert.equal(runs.length, 0, `${id} ran and got ${asked.status}`);
  }
  if (asked.status !== 200) return;
  assert.ok(asked.headers["server-seal"], `${id} is not signed`);
  assert.equal(asked.headers["attempt-id"], id);
  if (path === "/book/" || path === "/look/") {
    assert.equal(asked.body, PLAIN_BODY);
    assert.ok(asked.isWhole);
    return;
  }
  if (asked.isWhole) assert.equal(asked.body, streamOf(EVENTS));
  else assert.ok(streamOf(EVENTS).startsWith(asked.body));
}

/** Numbers never fall at one server, and each belongs to one holder. */
function checkOrders(workers: StandinPlatformWorker[]): void {
  const holders = new Map<number, string>();
  for (const { orders } of workers) {
    let highest = 0;
    for (const { fencingToken, holder } of orders) {
      assert.ok(fencingToken >= highest);
      highest = fencingToken;
      assert.equal(holders.get(fencingToken) ?? holder, holder);
      holders.set(fencingToken, holder);
    }
  }
}

for (const seed of SEEDS) {
  test(`random steps keep the promises, seed ${seed}`, async (t) => {
    const world = await openWorld(t, { entryCount: 3, orderTurnMs: 50 });
    const engine = { model: "m", events: EVENTS, eventMs: 5 };
    const workers = [
      await world.worker("i-1", engine),
      await world.worker("i-2", engine),
      await world.worker("i-3", engine),
      await world.worker("i-4"),
      await world.worker("i-5"),
    ];
    const fuzz = new Fuzz(world, workers, seededRandom(seed));
    for (let i = 0; i < STEPS; i++) {
      await fuzz.step();
      await sleep(STEP_MS);
    }
    for (const sent of fuzz.sent) {
      checkAnswer(sent, await sent.answer, workers);
    }
    fuzz.heal();
    checkOrders(workers);
    // What was spoilt is served again.
    for (const entry of world.entries) {
      await until(async () => (await ask(entry, "/look/end")).status === 200);
    }
  });
}
