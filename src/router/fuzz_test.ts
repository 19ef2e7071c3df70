import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "../base/random.ts";
import {
  type ClientResponse,
  completeStreamBody,
  CONFIG,
  MODEL_REQUEST_HEADERS,
  PLAIN_ANSWER_BODY,
  sendClientRequest,
  StandinBackendServer,
} from "../standin/mod.ts";
import { openWorld, until, type World } from "./_world.ts";

/** Seeds of the runs without restarts; `FUZZ_SEEDS=a,b` replaces them. */
const SEEDS = (process.env["FUZZ_SEEDS"] ?? "1,2,3,4").split(",").map(Number);
/** Seeds of the runs in which servers also restart; `FUZZ_RESTART_SEEDS=a,b` replaces them. */
const RESTART_SEEDS = (process.env["FUZZ_RESTART_SEEDS"] ?? "1,2").split(",")
  .map(Number);
/** Fraction of the steps that restart a server, in runs with restarts. */
const RESTART_SHARE = 0.08;
/** Fraction of the restarts that are not registered in the store before the run's end. */
const UNREGISTERED_SHARE = 0.3;
const STEPS = 60;
const EVENTS = 12;
const STEP_MS = 15;
/** Statuses which guarantee that the request did not run. */
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
  answer: Promise<ClientResponse | undefined>;
}

interface Restart {
  worker: StandinBackendServer;
  atMs: number;
}

/** A world and its backend servers. */
interface Setup {
  world: World;
  workers: StandinBackendServer[];
}

/** Applies random steps to a world: requests, faults, new weights and configurations, lost links. */
class Fuzz {
  readonly #world: World;
  readonly #workers: StandinBackendServer[];
  readonly #random: () => number;
  readonly sent: Sent[] = [];
  readonly restarts: Restart[] = [];
  #configVersion = 1;
  #weightsVersion = 1;

  readonly #restarts: boolean;

  constructor(
    { world, workers }: Setup,
    { random, restarts }: { random: () => number; restarts: boolean },
  ) {
    this.#world = world;
    this.#workers = workers;
    this.#random = random;
    this.#restarts = restarts;
  }

  /** Latest wanted version of the weights. */
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
    if (roll < 0.85) return this.#injectFault();
    if (roll < 0.9) {
      const version = ++this.#weightsVersion;
      return await store.put("op/version/m", { model: "m", version });
    }
    if (roll < 0.95) {
      const version = ++this.#configVersion;
      return await store.putConfig({ ...CONFIG, version });
    }
    const { link } = this.#pick(entries);
    if (this.#random() < 0.5) link.down();
    else link.up();
  }

  /** Clears pending faults, restores links and registers all servers, so that no request must wait. */
  async clearFaults(): Promise<void> {
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
    this.restarts.push({ worker, atMs: performance.now() });
    await worker.restart();
    if (isHeardOf) await this.#register(worker);
  }

  #register(worker: StandinBackendServer): Promise<void> {
    const entry = worker.entry(worker.model ? "engines" : "plain");
    return this.#world.store.put(`servers/${worker.id}`, entry);
  }

  #send(): void {
    const path = this.#pick(PATHS);
    const id = `r${this.sent.length}`;
    const part = Math.floor(this.#random() * 3);
    const answer = sendClientRequest(
      this.#pick(this.#world.entries),
      `${path}${id}`,
      {
        ...(path === "/stream/" || path === "/once/"
          ? MODEL_REQUEST_HEADERS
          : {}),
        "prompt-prefix": `a${part}:1000,${id}:200`,
        "attempt-id": id,
        "deadline-ms": "1500",
      },
    ).catch(() => undefined);
    this.sent.push({ id, path, answer });
  }

  #injectFault(): void {
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

/** Counts the servers that restarted after a request had arrived there, and before it arrived elsewhere. */
function countEnded(
  id: string,
  { workers, restarts }: {
    workers: StandinBackendServer[];
    restarts: readonly Restart[];
  },
): number {
  const arrivalsAt = ({ arrivals }: StandinBackendServer) =>
    arrivals.filter(({ requestId }) => requestId === id)
      .map(({ atMs }) => atMs);
  const lastMs = Math.max(...workers.flatMap(arrivalsAt));
  return workers.flatMap((worker) =>
    arrivalsAt(worker).filter((arrivedMs, i, all) =>
      restarts.some((restart) =>
        restart.worker === worker && restart.atMs > arrivedMs &&
        restart.atMs < Math.min(lastMs, all[i + 1] ?? Infinity)
      )
    )
  ).length;
}

/** Checks one answer against the runs that the servers recorded. */
function checkAnswer(
  { id, path }: Sent,
  asked: ClientResponse | undefined,
  { workers, restarts }: {
    workers: StandinBackendServer[];
    restarts: readonly Restart[];
  },
): void {
  const runs = workers.flatMap(({ runs }) => runs).filter((run) =>
    run.headers["attempt-id"] === id
  );
  // A run that continues from a copied cache is part of the same run.
  const own = runs.filter(({ headers }) => headers["kv-from"] === undefined);
  if (path === "/book/" || path === "/once/") {
    assert.ok(own.length <= 1, `${id} ran ${own.length} times`);
  }
  // At most two servers run a request, one after the other; a server that ended doesn't count.
  const endedCount = countEnded(id, { workers, restarts });
  assert.ok(own.length <= 2 + endedCount, `${id} ran ${own.length} times`);
  assert.ok(asked, `${id} got no answer`);
  if (NOT_RUN.has(asked.status)) {
    assert.equal(runs.length, 0, `${id} ran and got ${asked.status}`);
  }
  if (asked.status !== 200) return;
  assert.ok(asked.headers["server-seal"], `${id} is not signed`);
  assert.equal(asked.headers["attempt-id"], id);
  if (path === "/book/" || path === "/look/") {
    assert.equal(asked.body, PLAIN_ANSWER_BODY);
    assert.ok(asked.isComplete);
    return;
  }
  if (asked.isComplete) assert.equal(asked.body, completeStreamBody(EVENTS));
  else assert.ok(completeStreamBody(EVENTS).startsWith(asked.body));
}

/** Checks that fencing tokens never decrease at a server, and that each has a single holder. */
function checkOrders(workers: StandinBackendServer[]): void {
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

async function openSetup(t: TestContext): Promise<Setup> {
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

/** Runs random steps, and checks the answers to the requests, and the orders. */
async function runSteps(fuzz: Fuzz, { world, workers }: Setup): Promise<void> {
  for (let i = 0; i < STEPS; i++) {
    await fuzz.step();
    await sleep(STEP_MS);
  }
  for (const sent of fuzz.sent) {
    const { restarts } = fuzz;
    checkAnswer(sent, await sent.answer, { workers, restarts });
  }
  await fuzz.clearFaults();
  checkOrders(workers);
  // After the faults are cleared, every entry serves again.
  for (const entry of world.entries) {
    await until(async () =>
      (await sendClientRequest(entry, "/look/end")).status === 200
    );
  }
}

for (const seed of SEEDS) {
  test(`random steps violate no guarantee, seed ${seed}`, async (t) => {
    const setup = await openSetup(t);
    const random = seededRandom(seed);
    await runSteps(new Fuzz(setup, { random, restarts: false }), setup);
  });
}

for (const seed of RESTART_SEEDS) {
  test(`restarts of servers violate no guarantee, seed ${seed}`, async (t) => {
    const setup = await openSetup(t);
    const random = seededRandom(seed);
    const fuzz = new Fuzz(setup, { random, restarts: true });
    await runSteps(fuzz, setup);
    const engines = setup.workers.filter(({ model }) => model);
    await until(() =>
      engines.every(({ version }) => version === fuzz.weightsVersion)
    );
  });
}
