import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
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
/** Seeds of the runs in which servers start again, too. */
const RESTART_SEEDS = (process.env["FUZZ_RESTART_SEEDS"] ?? "1,2").split(",")
  .map(Number);
/** Steps of these runs that start a server again. */
const RESTART_SHARE = 0.08;
/** Restarts that the store doesn't hear of before the end. */
const UNREGISTERED_SHARE = 0.3;
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

/** A world and its servers. */
interface Place {
  world: World;
  workers: StandinPlatformWorker[];
}

/** One world under a series of random steps. */
class Fuzz {
  readonly #world: World;
  readonly #workers: StandinPlatformWorker[];
  readonly #random: () => number;
  readonly sent: Sent[] = [];
  #configVersion = 1;
  #weightsVersion = 1;

  readonly #restarts: boolean;

  constructor(
    { world, workers }: Place,
    { random, restarts }: { random: () => number; restarts: boolean },
  ) {
    this.#world = world;
    this.#workers = workers;
    this.#random = random;
    this.#restarts = restarts;
  }

  /** Version of the weights that was named last. */
  get weightsVersion(): number {
    return this.#weightsVersion;
  }

  async step(): Promise<void> {
    const { store, entries } = this.#world;
    if (this.#restarts && this.#random() < RESTART_SHARE) {
      return await this.#restart();
    }
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
  async heal(): Promise<void> {
    for (const { link } of this.#world.entries) link.up();
    for (const { faults } of this.#workers) {
      for (const fault of FAULTS) faults[fault] = 0;
      faults.cutAfterEvents = undefined;
    }
    for (const worker of this.#workers) await this.#register(worker);
  }

  async #restart(): Promise<void> {
    const worker = this.#pick(this.#workers);
    const isHeardOf = this.#random() >= UNREGISTERED_SHARE;
    await worker.restart();
    if (isHeardOf) await this.#register(worker);
  }

  #register(worker: StandinPlatformWorker): Promise<void> {
    const entry = worker.entry(worker.model ? "engines" : "plain");
    return this.#world.store.put(`servers/${worker.id}`, entry);
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

async function openPlace(t: TestContext): Promise<Place> {
  const world = await openWorld(t, { entryCount: 3, orderTurnMs: 50 });
  const engine = { model: "m", events: EVENTS, eventMs: 5 };
  const workers = [
    await world.worker("i-1", engine),
    await world.worker("i-2", engine),
    await world.worker("i-3", engine),
    await world.worker("i-4"),
    await world.worker("i-5"),
  ];
  return { world, workers };
}

/** Takes random steps, and checks what became of the requests and orders. */
async function play(fuzz: Fuzz, { world, workers }: Place): Promise<void> {
  for (let i = 0; i < STEPS; i++) {
    await fuzz.step();
    await sleep(STEP_MS);
  }
  for (const sent of fuzz.sent) {
    checkAnswer(sent, await sent.answer, workers);
  }
  await fuzz.heal();
  checkOrders(workers);
  // What was spoilt is served again.
  for (const entry of world.entries) {
    await until(async () => (await ask(entry, "/look/end")).status === 200);
  }
}

for (const seed of SEEDS) {
  test(`random steps keep the promises, seed ${seed}`, async (t) => {
    const place = await openPlace(t);
    const random = seededRandom(seed);
    await play(new Fuzz(place, { random, restarts: false }), place);
  });
}

for (const seed of RESTART_SEEDS) {
  test(`restarts of servers keep the promises, seed ${seed}`, async (t) => {
    const place = await openPlace(t);
    const random = seededRandom(seed);
    const fuzz = new Fuzz(place, { random, restarts: true });
    await play(fuzz, place);
    const engines = place.workers.filter(({ model }) => model);
    await until(() =>
      engines.every(({ version }) => version === fuzz.weightsVersion)
    );
  });
}
