import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { KeyValueEntry, WatchStep } from "../store/store.ts";
import { formatPosition, positionAt } from "../store/position.ts";
import { TestClock } from "./_kit.ts";
import { type EraChange, type MirrorChange, StoreMirror } from "./mirror.ts";

const SEED = 20_261_202;
const KEYS = ["a/1", "a/2", "b/1"];

function entry(key: string, revision: bigint): KeyValueEntry {
  const value = Buffer.from(`${key}@${revision}`);
  const position = positionAt(0, revision);
  return { key, value, modPosition: position, createPosition: position };
}

function put(key: string, revision: bigint): WatchStep {
  return { kind: "put", entry: entry(key, revision) };
}

function create(): { mirror: StoreMirror; clock: TestClock; seen: string[] } {
  const clock = new TestClock();
  const mirror = StoreMirror.create(clock);
  const seen: string[] = [];
  mirror.onChange((change) => seen.push(describe(change)));
  return { mirror, clock, seen };
}

function describe(change: MirrorChange): string {
  return change.kind === "put"
    ? `+${change.entry.key}@${formatPosition(change.entry.modPosition)}`
    : `-${change.key}`;
}

function keys(mirror: StoreMirror): string[] {
  return mirror.entries("").map(({ key, modPosition }) =>
    `${key}@${formatPosition(modPosition)}`
  ).sort();
}

test("keys missing from a listing are deleted", () => {
  const { mirror, seen } = create();
  mirror.applyStep(put("a/1", 3n));
  mirror.applyStep(put("a/2", 4n));
  mirror.replace({
    entries: [entry("a/2", 4n), entry("b/1", 6n)],
    position: positionAt(0, 6n),
  });
  assert.deepEqual(keys(mirror), ["a/2@4", "b/1@6"]);
  assert.deepEqual(seen, ["+a/1@3", "+a/2@4", "-a/1", "+b/1@6"]);
});

test("older listing, step or deletion is ignored", () => {
  const { mirror } = create();
  mirror.applyStep(put("a/1", 5n));
  mirror.replace({ entries: [], position: positionAt(0, 4n) });
  mirror.applyStep(put("a/1", 3n));
  mirror.applyStep({ kind: "delete", key: "a/1", position: positionAt(0, 4n) });
  assert.deepEqual(keys(mirror), ["a/1@5"]);
  assert.deepEqual(mirror.position, positionAt(0, 5n));
});

test("age counts from the latest store answer, direct or reported by a peer", () => {
  const { mirror, clock } = create();
  assert.equal(mirror.ageMs, Infinity);
  mirror.applyStep({ kind: "progress", position: positionAt(0, 7n) });
  clock.advance(500);
  assert.equal(mirror.ageMs, 500);
  const confirmed = { origin: "peer", count: 1, ageMs: 100 };
  mirror.confirm({ position: positionAt(0, 7n), confirmed });
  assert.equal(mirror.ageMs, 100);
  // A confirmation for a later revision than the replica's does not apply.
  mirror.confirm({
    position: positionAt(0, 8n),
    confirmed: { ...confirmed, count: 2, ageMs: 0 },
  });
  assert.equal(mirror.ageMs, 100);
});

test("peer gets the changes it lacks, or all entries", () => {
  const { mirror } = create();
  mirror.replace({ entries: [entry("a/1", 2n)], position: positionAt(0, 2n) });
  mirror.applyStep(put("a/2", 3n));
  mirror.applyStep(put("b/1", 4n));
  const steps = mirror.changesSince(positionAt(0, 3n));
  assert.equal(steps.kind, "steps");
  assert.equal(steps.kind === "steps" && steps.changes.length, 1);
  const all = mirror.changesSince(positionAt(0, 1n));
  assert.equal(all.kind === "all" && all.entries.length, 3);
});

/** An entry of a restored store. */
function restoredEntry(key: string, revision: bigint, value: string) {
  const position = positionAt(2, revision);
  return {
    key,
    value: Buffer.from(value),
    modPosition: position,
    createPosition: position,
  };
}

/** Creates a replica of era 1 with the given keys, whose last change is at revision 9. */
function createInEra1(keys: Record<string, string>) {
  const fixture = create();
  const position = positionAt(1, 9n);
  const entries = Object.entries(keys).map(([key, value]) => ({
    ...restoredEntry(key, 9n, value),
    modPosition: position,
    createPosition: position,
  }));
  fixture.mirror.replace({ entries, position });
  fixture.seen.length = 0;
  return fixture;
}

// An entry was deaf to a restored store until its revisions had passed the replica's.
// Guards against memory that grows with each version of a large configuration.
test("kept changes are bounded by the size of their values", () => {
  const { mirror } = create();
  const valueBytes = 600_000;
  const largePut = (revision: bigint): WatchStep => ({
    kind: "put",
    entry: { ...entry("op/config", revision), value: Buffer.alloc(valueBytes) },
  });
  for (let revision = 1n; revision <= 100n; revision++) {
    mirror.applyStep(largePut(revision));
  }
  assert.equal(mirror.changesSince(positionAt(0, 50n)).kind, "all");
  const last = mirror.changesSince(positionAt(0, 99n));
  assert.equal(last.kind === "steps" && last.changes.length, 1);
  // A value above the bound by itself is not kept, and peers get all entries.
  const huge = { ...entry("a/1", 101n), value: Buffer.alloc(5 * 1024 * 1024) };
  mirror.applyStep({ kind: "put", entry: huge });
  assert.equal(mirror.changesSince(positionAt(0, 100n)).kind, "all");
  assert.equal(mirror.changesSince(positionAt(0, 101n)).kind, "steps");
});

test("listing of a newer era replaces the content, whatever its revision", () => {
  const { mirror, seen } = createInEra1({ "a/1": "new", "a/2": "same", c: "" });
  const eras: EraChange[] = [];
  mirror.onEraChange((change) => eras.push(change));
  mirror.replace({
    entries: [
      restoredEntry("a/1", 3n, "old"),
      restoredEntry("a/2", 4n, "same"),
      restoredEntry("b/1", 2n, ""),
    ],
    position: positionAt(2, 4n),
  });
  assert.deepEqual(keys(mirror), ["a/1@2.3", "a/2@2.4", "b/1@2.2"]);
  assert.deepEqual(mirror.position, positionAt(2, 4n));
  // A value that nobody has written since is no news.
  assert.deepEqual(seen, ["-c", "+a/1@2.3", "+b/1@2.2"]);
  assert.deepEqual(eras, [{
    from: positionAt(1, 9n),
    to: positionAt(2, 4n),
    source: "store",
    kept: 1,
    changed: 1,
    dropped: 1,
    added: 1,
  }]);
  // A change below the revision that was reached before the restore.
  mirror.applyStep({ kind: "put", entry: restoredEntry("a/1", 5n, "again") });
  assert.equal(mirror.entry("a/1")?.value.toString(), "again");
});

// Servers would be judged by values that were already outdated when the store was lost.
test("values of a restored copy are marked, later ones are not", () => {
  const { mirror } = createInEra1({ "a/1": "new" });
  const marks: (boolean | undefined)[] = [];
  mirror.onChange((change) =>
    marks.push(change.kind === "put" ? change.isFromCopy : undefined)
  );
  mirror.replace({
    entries: [restoredEntry("a/1", 3n, "old")],
    position: positionAt(2, 4n),
  });
  mirror.applyStep({ kind: "put", entry: restoredEntry("a/1", 5n, "new") });
  mirror.replace({
    entries: [restoredEntry("a/1", 6n, "newer")],
    position: positionAt(2, 6n),
  });
  assert.deepEqual(marks, [true, undefined, undefined]);
});

// A peer that hasn't seen the restore, or a slow answer, would undo it.
test("updates of an earlier era don't change a restored replica", () => {
  const { mirror } = createInEra1({ "a/1": "lost" });
  mirror.replace({
    entries: [restoredEntry("b/1", 2n, "")],
    position: positionAt(2, 4n),
  });
  const before = { entries: keys(mirror), position: mirror.position };
  mirror.replaceFromPeer({ entries: [], position: positionAt(1, 99n) });
  mirror.applyStep({
    kind: "delete",
    key: "b/1",
    position: positionAt(1, 99n),
  });
  mirror.applyStep({ kind: "progress", position: positionAt(1, 99n) });
  mirror.advanceTo({ position: positionAt(1, 99n) });
  assert.deepEqual(
    { entries: keys(mirror), position: mirror.position },
    before,
  );
});

// The changes between the eras are unknown, so single steps can't bring a replica to the newer one.
test("steps of a newer era don't change a replica of an earlier one", () => {
  const { mirror } = createInEra1({ "a/1": "" });
  mirror.applyStep({ kind: "put", entry: restoredEntry("b/1", 20n, "") });
  mirror.applyStep({ kind: "progress", position: positionAt(2, 20n) });
  mirror.advanceTo({ position: positionAt(2, 20n) });
  assert.deepEqual(keys(mirror), ["a/1@1.9"]);
  assert.deepEqual(mirror.position, positionAt(1, 9n));
});

// A peer that is deaf to the restored store would confirm what an entry without the store holds.
test("confirmation of another era doesn't make a replica young", () => {
  const { mirror, clock } = createInEra1({});
  mirror.replace({ entries: [], position: positionAt(2, 4n) });
  clock.advance(500);
  const confirmed = { origin: "peer", count: 1, ageMs: 0 };
  mirror.confirm({ position: positionAt(1, 9n), confirmed });
  assert.equal(mirror.ageMs, 500);
  mirror.confirm({ position: positionAt(2, 4n), confirmed });
  assert.equal(mirror.ageMs, 0);
});

// A peer of an earlier era with a higher revision would get no change at all.
test("peer of an earlier era gets all entries, whatever its revision", () => {
  const { mirror } = createInEra1({});
  mirror.replace({
    entries: [restoredEntry("b/1", 2n, "")],
    position: positionAt(2, 4n),
  });
  for (const era of [0, 1]) {
    const catchup = mirror.changesSince(positionAt(era, 99n));
    assert.equal(catchup.kind === "all" && catchup.entries.length, 1);
    assert.deepEqual(catchup.position, positionAt(2, 4n));
  }
});

// Two restores in a row: the second one may come before the first was listed.
test("eras may be skipped", () => {
  const { mirror, seen } = createInEra1({ "a/1": "" });
  mirror.replace({ entries: [], position: positionAt(3, 1n) });
  mirror.replace({
    entries: [restoredEntry("a/1", 9n, "")],
    position: positionAt(2, 9n),
  });
  assert.deepEqual(seen, ["-a/1"]);
  assert.deepEqual(mirror.position, positionAt(3, 1n));
});

// The first listing of an entry that has just started is no restore.
test("first listing doesn't change the era, whatever it is", () => {
  const { mirror, seen } = create();
  const eras: EraChange[] = [];
  mirror.onEraChange((change) => eras.push(change));
  mirror.replace({
    entries: [restoredEntry("a/1", 3n, "")],
    position: positionAt(2, 4n),
  });
  assert.deepEqual(eras, []);
  assert.deepEqual(seen, ["+a/1@2.3"]);
});

test("replica that catches up from another one is equal to it, whatever updates are lost", () => {
  const step = fc.record({
    key: fc.constantFrom(...KEYS),
    isDelete: fc.boolean(),
    isHeard: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const { mirror } = create();
      const peer = create().mirror;
      steps.forEach(({ key, isDelete, isHeard }, i) => {
        const revision = BigInt(i + 1);
        mirror.applyStep(
          isDelete
            ? { kind: "delete", key, position: positionAt(0, revision) }
            : put(key, revision),
        );
        if (isHeard) catchUp(peer, mirror);
      });
      catchUp(peer, mirror);
      assert.deepEqual(keys(peer), keys(mirror));
    }),
    { seed: SEED },
  );
});

/** Updates the peer's replica in the same way as the relay between entries. */
function catchUp(peer: StoreMirror, mirror: StoreMirror): void {
  const catchup = mirror.changesSince(peer.position);
  if (catchup.kind === "all") {
    peer.replace({ entries: catchup.entries, position: catchup.position });
    return;
  }
  for (const change of catchup.changes) peer.applyStep(change);
  peer.advanceTo({ ...mirror.syncState, position: catchup.position });
}
