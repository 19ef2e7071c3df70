import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import type {
  KeyValueEntry,
  Listing,
  StoreFailure,
  WatchStep,
} from "../store/mod.ts";
import { type LogLine, recordedLog, TestClock } from "./_kit.ts";
import { coalesceDelayMs, StoreFollower } from "./follower.ts";
import { StoreMirror } from "./mirror.ts";
import { formatPosition, positionAt } from "../store/position.ts";

const HEARTBEAT_MS = 1200;
const CALL_MS = 900;
const WAIT_MS = 1300;
/** Coalescing delay after changes. */
const COALESCE_MS = 120;
/** Factor of the largest jitter on a backoff. */
const MAX_JITTER_FACTOR = 1.15;
const KEYS = ["a", "b", "c"];

/** Outcome of one call to the store. */
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

/** A poll that the restored store answers in this era. */
function restored(era: number): Failed {
  return {
    kind: "failed",
    failure: { kind: "era_changed", era, mayHaveEffect: false },
    afterMs: 0,
  };
}

function listed(keys: string[], revision: bigint, era = 0): Outcome {
  const position = positionAt(era, revision);
  const entries = keys.map((key) => entry(key, era));
  return { kind: "listed", listing: { entries, position } };
}

function entry(key: string, era: number): KeyValueEntry {
  const value = new Uint8Array();
  const position = positionAt(era, 1n);
  return { key, value, modPosition: position, createPosition: position };
}

/** Creates a watch answer in which keys are deleted. */
function watched(revision: bigint, ...gone: string[]): Watched {
  return watchedInEra(0, revision, ...gone);
}

function watchedInEra(
  era: number,
  revision: bigint,
  ...gone: string[]
): Watched {
  const position = positionAt(era, revision);
  const steps = gone.map((key): WatchStep => ({
    kind: "delete",
    key,
    position,
  }));
  return {
    kind: "watched",
    steps: [...steps, { kind: "progress", position }],
    waitMs: WAIT_MS,
  };
}

/** Observed behavior of a follower. */
interface Observed {
  /** Deleted keys, and whether each may have lapsed in an outage. */
  deletions: [string, boolean][];
  /** Longest time since each deletion was made. */
  agesMs: number[];
  /** Longest time that each deletion was delayed by coalescing. */
  coalescedMs: number[];
  events: unknown[];
  lines: LogLine[];
  pausesMs: number[];
}

/** Runs a follower over calls with these outcomes; the first call is its listing. */
async function runFollower(outcomes: Outcome[]): Promise<Observed> {
  const clock = new TestClock();
  const stop = new AbortController();
  const script = new ScriptedStore(outcomes, clock, stop);
  const { log, lines } = recordedLog();
  const mirror = StoreMirror.create(clock);
  const observed: Observed = {
    deletions: [],
    agesMs: [],
    coalescedMs: [],
    events: [],
    lines,
    pausesMs: [],
  };
  const skippingClock = Object.assign(clock, {
    sleep: (ms: number) => {
      clock.advance(ms);
      observed.pausesMs.push(ms);
      return Promise.resolve();
    },
  });
  const follower = StoreFollower.create({
    store: script,
    mirror,
    clock: skippingClock,
    log,
    random: () => 1,
    heartbeatMs: HEARTBEAT_MS,
    coalesceMs: () => COALESCE_MS,
  });
  mirror.onChange((change) => {
    if (change.kind !== "delete") return;
    const mayHaveLapsed = follower.contact.outage !== undefined;
    observed.deletions.push([change.key, mayHaveLapsed]);
    observed.agesMs.push(follower.contact.maxAgeMs);
    observed.coalescedMs.push(follower.coalescedMs);
  });
  await follower.run(stop.signal);
  observed.events = lines.map(({ event }) => event);
  return observed;
}

/** A store with scripted call outcomes; after the last one it stops the follower. */
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
      // No change arrives until the watch's wait is over.
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

test("deletions right after a long outage may be lapses, later ones are not", async () => {
  const { deletions, events } = await runFollower([
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

test("lapses of one outage may arrive in several answers", async () => {
  const { deletions } = await runFollower([
    listed(KEYS, 1n),
    SILENT,
    SILENT,
    SILENT,
    { ...watched(1n), waitMs: HEARTBEAT_MS / 2 },
    watched(2n, "a"),
  ]);
  assert.deepEqual(deletions, [["a", true]]);
});

test("deletions after a short connection loss are not lapses", async () => {
  const { deletions, events } = await runFollower([
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

test("keys missing from a listing after an outage may have lapsed", async () => {
  const { deletions } = await runFollower([
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

test("answered listing ends an outage", async () => {
  const { events } = await runFollower([SILENT, SILENT, listed(KEYS, 1n)]);
  assert.deepEqual(events, ["store_lost", "store_regained"]);
});

test("each outage is judged by its own length", async () => {
  const { deletions } = await runFollower([
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

test("backoff grows to its limit while the store refuses calls", async () => {
  const { pausesMs } = await runFollower([
    listed(KEYS, 1n),
    ...repeat([REFUSED], 9),
  ]);
  assert.deepEqual(
    pausesMs.slice(0, 5).map((ms) => Math.round(ms / MAX_JITTER_FACTOR)),
    [
      100,
      200,
      400,
      500,
      500,
    ],
  );
});

test("call that timed out is followed by the shortest backoff", async () => {
  const { pausesMs } = await runFollower([
    listed(KEYS, 1n),
    ...repeat([SILENT], 9),
  ]);
  assert.equal(pausesMs.length, 9);
  assert.ok(pausesMs.every((ms) => ms === 100 * MAX_JITTER_FACTOR));
});

test("backoff grows while the store answers only the first call of each watch", async () => {
  const { pausesMs } = await runFollower([
    listed(KEYS, 1n),
    ...repeat([{ ...watched(1n), waitMs: 0 }, REFUSED], 9),
  ]);
  assert.equal(pausesMs.at(-1), 500 * MAX_JITTER_FACTOR);
});

test("backoff is reset once the store answers again", async () => {
  const { pausesMs } = await runFollower([
    listed(KEYS, 1n),
    ...repeat([REFUSED], 9),
    watched(1n),
    { ...watched(1n), waitMs: 0 },
    REFUSED,
  ]);
  assert.equal(pausesMs.at(-1), 100 * MAX_JITTER_FACTOR);
});

function repeat(outcomes: Outcome[], count: number): Outcome[] {
  return Array.from({ length: count }, () => outcomes).flat();
}

test("first changes after an outage may be old, later ones are not", async () => {
  const { agesMs } = await runFollower([
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

test("watch continues after a delay if there were changes, else at once", async () => {
  // Each change wakes the watches of all entries: without the delay, 31 entries with 45 servers made
  // 100 calls per second.
  const { pausesMs } = await runFollower([
    listed(KEYS, 1n),
    watched(2n, "a"),
    watched(2n),
    watched(3n, "b"),
  ]);
  assert.deepEqual(pausesMs, [COALESCE_MS, COALESCE_MS]);
});

test("coalescing delay limits the watch calls of all entries together", () => {
  const callsPerS = (entryCount: number) =>
    entryCount * 1000 / coalesceDelayMs(entryCount, HEARTBEAT_MS);
  assert.ok(callsPerS(30) <= callsPerS(6));
  // Changes arrive, and an unresponsive store is detected, before a registration lapses.
  const longestMs = coalesceDelayMs(360, HEARTBEAT_MS) + 1.3 * HEARTBEAT_MS;
  assert.ok(longestMs < 2 * HEARTBEAT_MS);
});

test("change after a coalescing delay may have waited, change during a watch's wait has not", async () => {
  const { coalescedMs } = await runFollower([
    listed(KEYS, 1n),
    watched(2n, "a"),
    watched(3n, "b"),
    watched(3n),
    watched(4n, "c"),
  ]);
  assert.deepEqual(coalescedMs, [0, COALESCE_MS, 0]);
});

// Entries listed the restored store 29 times a second, without ever believing it.
test("store that was restored is listed once and then watched in its era", async () => {
  const { lines, deletions, pausesMs } = await runFollower([
    listed(KEYS, 9n, 1),
    watchedInEra(1, 9n),
    restored(2),
    listed(["a", "b"], 4n, 2),
    watchedInEra(2, 4n),
    watchedInEra(2, 5n, "b"),
  ]);
  assert.deepEqual(deletions.map(([key]) => key), ["c", "b"]);
  const changed = lines.filter(({ event }) => event === "store_era_changed");
  assert.equal(changed.length, 1);
  const { fromEra, toEra, fromRevision, toRevision, kept, dropped } =
    changed[0]!;
  assert.deepEqual([fromEra, fromRevision, toEra, toRevision], [
    1,
    "9",
    2,
    "4",
  ]);
  assert.deepEqual([kept, dropped], [2, 1]);
  // The random delay spreads the listings of all entries.
  assert.equal(pausesMs[0], COALESCE_MS);
});

// A server that registered shortly before the restore would be dropped while it is alive.
test("keys that a restored store lacks may have lapsed, however short it was away", async () => {
  const { deletions, agesMs } = await runFollower([
    listed(KEYS, 9n, 1),
    watchedInEra(1, 9n),
    watchedInEra(1, 9n),
    restored(2),
    listed(["a", "b"], 4n, 2),
    { ...watchedInEra(2, 4n), waitMs: HEARTBEAT_MS },
    watchedInEra(2, 5n, "b"),
  ]);
  assert.deepEqual(deletions, [["c", true], ["b", false]]);
  assert.ok(agesMs[0]! > 0);
  assert.equal(agesMs[1], 0);
});

// Each refused poll was followed by a listing at once: 57 calls a second and entry.
test("history that is gone again and again is listed with a backoff", async () => {
  for (const gone of [COMPACTED, restored(1)]) {
    const { pausesMs } = await runFollower([
      listed(KEYS, 9n),
      ...repeat([gone, listed(KEYS, 4n)], 9),
    ]);
    const pauses = pausesMs.filter((ms) => ms !== COALESCE_MS)
      .map((ms) => Math.round(ms / MAX_JITTER_FACTOR));
    assert.deepEqual(pauses.slice(0, 5), [100, 200, 400, 500, 500]);
  }
});

test("gone history is logged with the replica's position and the one asked for", async () => {
  const { lines } = await runFollower([
    listed(KEYS, 9n, 3),
    { ...COMPACTED, failure: { kind: "compacted", oldestRevision: 10n } },
  ]);
  const [gone] = lines;
  assert.equal(gone?.["event"], "store_history_gone");
  assert.equal(gone?.["position"], "3.9");
  assert.equal(gone?.["askedRevision"], "10");
});

// A dead connection hides the restore from an entry for as long as a poll may wait.
test("entry that hears of a newer era from a peer lists the store soon", async () => {
  const clock = new TestClock();
  const stop = new AbortController();
  const listings = [positionAt(1, 9n), positionAt(2, 4n)];
  const asked: string[] = [];
  let waiting = () => {};
  const isWaiting = new Promise<void>((resolve) => waiting = resolve);
  const follower = StoreFollower.create({
    store: {
      list: () => {
        asked.push("list");
        const position = listings.shift()!;
        return Promise.resolve(Result.ok({ entries: [], position }));
      },
      watch: async function* (_prefix, from, signal) {
        asked.push(`watch ${formatPosition(from)}`);
        if (from.era === 2) return stop.abort();
        waiting();
        await new Promise((resolve) =>
          signal.addEventListener("abort", resolve)
        );
        yield* [];
      },
    },
    mirror: StoreMirror.create(clock),
    clock: Object.assign(clock, { sleep: () => Promise.resolve() }),
    log: recordedLog().log,
    random: () => 1,
    heartbeatMs: HEARTBEAT_MS,
    coalesceMs: () => COALESCE_MS,
  });
  const run = follower.run(stop.signal);
  await isWaiting;
  follower.onPeerEra(1);
  follower.onPeerEra(2);
  await run;
  assert.deepEqual(asked, ["list", "watch 1.10", "list", "watch 2.5"]);
});
