import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import type {
  KeyValueEntry,
  Listing,
  StoreFailure,
  WatchStep,
} from "../store/mod.ts";
import { recordedLog, TestClock } from "./_kit.ts";
import { gatherMs, StoreFollower } from "./follower.ts";
import { StoreMirror } from "./mirror.ts";

const HEARTBEAT_MS = 1200;
const CALL_MS = 900;
const WAIT_MS = 1300;
/** Pause after changes. */
const GATHER_MS = 120;
/** The most that chance makes of a pause. */
const WORST_CHANCE = 1.15;
const KEYS = ["a", "b", "c"];

/** What becomes of one call to the store. */
type Outcome =
  | { kind: "listed"; listing: Listing }
  | Watched
  | Failed;

interface Watched {
  kind: "watched";
  steps: WatchStep[];
  /** Time until the next call is answered. */
  waitMs: number;
}

interface Failed {
  kind: "failed";
  failure: StoreFailure;
  afterMs: number;
}

const SILENT: Failed = {
  kind: "failed",
  failure: { kind: "unavailable", message: "No answer" },
  afterMs: CALL_MS,
};
const REFUSED: Failed = { ...SILENT, afterMs: 0 };
const COMPACTED: Failed = {
  kind: "failed",
  failure: { kind: "compacted", oldestRevision: 1n },
  afterMs: 0,
};

function listed(keys: string[], revision: bigint): Outcome {
  return { kind: "listed", listing: { entries: keys.map(entry), revision } };
}

function entry(key: string): KeyValueEntry {
  const value = new Uint8Array();
  return { key, value, modRevision: 1n, createRevision: 1n };
}

/** An answer of the watch, with keys that are gone. */
function watched(revision: bigint, ...gone: string[]): Watched {
  const steps = gone.map((key): WatchStep => ({
    kind: "delete",
    key,
    revision,
  }));
  return {
    kind: "watched",
    steps: [...steps, { kind: "progress", revision }],
    waitMs: WAIT_MS,
  };
}

/** What a follower did with the outcomes of its calls. */
interface Followed {
  /** Keys that were deleted, and whether they may have lapsed. */
  deletions: [string, boolean][];
  /** For how long each of them may have been so. */
  agesMs: number[];
  /** For how long each of them may have waited for the next call. */
  gatheredMs: number[];
  events: unknown[];
  pausesMs: number[];
}

/** Runs a follower over calls with these outcomes; the first one is that of its list. */
async function follow(outcomes: Outcome[]): Promise<Followed> {
  const clock = new TestClock();
  const stop = new AbortController();
  const script = new ScriptedStore(outcomes, clock, stop);
  const { log, lines } = recordedLog();
  const mirror = StoreMirror.create(clock);
  const followed: Followed = {
    deletions: [],
    agesMs: [],
    gatheredMs: [],
    events: [],
    pausesMs: [],
  };
  const pausing = Object.assign(clock, {
    sleep: (ms: number) => {
      clock.advance(ms);
      followed.pausesMs.push(ms);
      return Promise.resolve();
    },
  });
  const follower = StoreFollower.create({
    store: script,
    mirror,
    clock: pausing,
    log,
    random: () => 1,
    heartbeatMs: HEARTBEAT_MS,
    gatherMs: () => GATHER_MS,
  });
  mirror.onChange((change) => {
    if (change.kind !== "delete") return;
    const mayHaveLapsed = follower.contact.outage !== undefined;
    followed.deletions.push([change.key, mayHaveLapsed]);
    followed.agesMs.push(follower.contact.maxAgeMs);
    followed.gatheredMs.push(follower.gatheredMs);
  });
  await follower.run(stop.signal);
  followed.events = lines.map(({ event }) => event);
  return followed;
}

/** A store whose calls end as a test says; behind the last one the follower is stopped. */
class ScriptedStore {
  readonly #outcomes: Outcome[];
  readonly #clock: TestClock;
  readonly #stop: AbortController;

  constructor(outcomes: Outcome[], clock: TestClock, stop: AbortController) {
    this.#outcomes = [...outcomes];
    this.#clock = clock;
    this.#stop = stop;
  }

  list(): Promise<Result<Listing, StoreFailure>> {
    const outcome = this.#next();
    assert.ok(outcome.kind !== "watched");
    if (outcome.kind === "failed") return Promise.resolve(this.#fail(outcome));
    return Promise.resolve(Result.ok(outcome.listing));
  }

  async *watch(): AsyncGenerator<Result<WatchStep, StoreFailure>> {
    while (true) {
      const outcome = this.#next();
      if (this.#stop.signal.aborted) return;
      assert.ok(outcome.kind !== "listed");
      if (outcome.kind === "failed") return yield this.#fail(outcome);
      for (const step of outcome.steps) yield Result.ok(step);
      // Nothing happens for the longest time that a watch waits.
      this.#clock.advance(outcome.waitMs);
    }
  }

  #next(): Outcome {
    const outcome = this.#outcomes.shift();
    if (outcome) return outcome;
    this.#stop.abort();
    return SILENT;
  }

  #fail({ failure, afterMs }: Failed): Result<never, StoreFailure> {
    this.#clock.advance(afterMs);
    return Result.err(failure);
  }
}

test("what is gone after a long outage may have lapsed, later deletions not", async () => {
  const { deletions, events } = await follow([
    listed(KEYS, 1n),
    watched(1n),
    SILENT,
    SILENT,
    SILENT,
    watched(2n, "a"),
    watched(3n, "b"),
  ]);
  assert.deepEqual(deletions, [["a", true], ["b", false]]);
  assert.deepEqual(events, ["store_lost", "store_regained"]);
});

test("events of one outage may come in several answers", async () => {
  const { deletions } = await follow([
    listed(KEYS, 1n),
    SILENT,
    SILENT,
    SILENT,
    { ...watched(1n), waitMs: HEARTBEAT_MS / 2 },
    watched(2n, "a"),
  ]);
  assert.deepEqual(deletions, [["a", true]]);
});

test("what is gone after a connection was lost has not lapsed", async () => {
  const { deletions, events } = await follow([
    listed(KEYS, 1n),
    watched(1n),
    watched(1n),
    watched(1n),
    SILENT,
    watched(2n, "a"),
  ]);
  assert.deepEqual(deletions, [["a", false]]);
  assert.deepEqual(events, ["store_lost", "store_regained"]);
});

test("keys that a list lacks after an outage may have lapsed", async () => {
  const { deletions } = await follow([
    listed(KEYS, 1n),
    SILENT,
    SILENT,
    SILENT,
    COMPACTED,
    listed(["b", "c"], 3n),
    watched(3n),
    COMPACTED,
    listed(["c"], 4n),
  ]);
  assert.deepEqual(deletions, [["a", true], ["b", false]]);
});

test("list that is answered ends an outage", async () => {
  const { events } = await follow([SILENT, SILENT, listed(KEYS, 1n)]);
  assert.deepEqual(events, ["store_lost", "store_regained"]);
});

test("second outage is taken for itself", async () => {
  const { deletions } = await follow([
    listed(KEYS, 1n),
    SILENT,
    SILENT,
    SILENT,
    watched(2n, "a"),
    watched(2n),
    watched(2n),
    SILENT,
    watched(3n, "b"),
    SILENT,
    SILENT,
    SILENT,
    watched(4n, "c"),
  ]);
  assert.deepEqual(deletions, [["a", true], ["b", false], ["c", true]]);
});

test("pauses grow to their bound while the store refuses calls", async () => {
  const { pausesMs } = await follow([
    listed(KEYS, 1n),
    ...repeat([REFUSED], 9),
  ]);
  assert.deepEqual(
    pausesMs.slice(0, 5).map((ms) => Math.round(ms / WORST_CHANCE)),
    [
      100,
      200,
      400,
      500,
      500,
    ],
  );
});

test("call to a silent store was pause enough", async () => {
  const { pausesMs } = await follow([listed(KEYS, 1n), ...repeat([SILENT], 9)]);
  assert.equal(pausesMs.length, 9);
  assert.ok(pausesMs.every((ms) => ms === 100 * WORST_CHANCE));
});

test("pauses grow while the store answers only the first call of a watch", async () => {
  const { pausesMs } = await follow([
    listed(KEYS, 1n),
    ...repeat([{ ...watched(1n), waitMs: 0 }, REFUSED], 9),
  ]);
  assert.equal(pausesMs.at(-1), 500 * WORST_CHANCE);
});

test("pauses begin anew once the store answers again", async () => {
  const { pausesMs } = await follow([
    listed(KEYS, 1n),
    ...repeat([REFUSED], 9),
    watched(1n),
    { ...watched(1n), waitMs: 0 },
    REFUSED,
  ]);
  assert.equal(pausesMs.at(-1), 100 * WORST_CHANCE);
});

function repeat(outcomes: Outcome[], count: number): Outcome[] {
  return Array.from({ length: count }, () => outcomes).flat();
}

test("what comes first after an outage may be old, what comes later is not", async () => {
  const { agesMs } = await follow([
    listed(KEYS, 1n),
    watched(1n),
    SILENT,
    SILENT,
    SILENT,
    watched(2n, "a"),
    watched(3n, "b"),
  ]);
  assert.ok(agesMs[0]! > 0);
  assert.equal(agesMs[1], 0);
});

test("watch is asked anew a moment after changes, and at once without any", async () => {
  // Each change woke the watch of all entries: 31 of them called 100 times a second for 45 servers.
  const { pausesMs } = await follow([
    listed(KEYS, 1n),
    watched(2n, "a"),
    watched(2n),
    watched(3n, "b"),
  ]);
  assert.deepEqual(pausesMs, [GATHER_MS, GATHER_MS]);
});

test("calls of all watches grow less than the number of entries", () => {
  const callsPerS = (entryCount: number) =>
    entryCount * 1000 / gatherMs(entryCount, HEARTBEAT_MS);
  assert.ok(callsPerS(30) <= callsPerS(6));
  // Changes are known, and a silent store is noticed, before a registration lapses.
  const longestMs = gatherMs(360, HEARTBEAT_MS) + 1.3 * HEARTBEAT_MS;
  assert.ok(longestMs < 2 * HEARTBEAT_MS);
});

test("change behind a pause may have waited, one that ends a watch's wait has not", async () => {
  const { gatheredMs } = await follow([
    listed(KEYS, 1n),
    watched(2n, "a"),
    watched(3n, "b"),
    watched(3n),
    watched(4n, "c"),
  ]);
  assert.deepEqual(gatheredMs, [0, GATHER_MS, 0]);
});
