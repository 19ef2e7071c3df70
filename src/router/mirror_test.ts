import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { KeyValueEntry, WatchStep } from "../store/store.ts";
import { formatPosition, positionAt } from "../store/position.ts";
import { TestClock } from "./_kit.ts";
import { type MirrorChange, StoreMirror } from "./mirror.ts";

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
