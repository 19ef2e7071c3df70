// Guards against replicas that keep each other young. Entries without the store exchanged the ages of
// their replicas, and each took the youngest one, which appeared too young by the transit time. Two
// entries could thus lower each other's age again and again: in a simulation, 10 s after the last store
// answer to anyone, replicas counted as 4.2 to 8.0 s old. An unknown key or route could then be
// rejected, where an entry with an outdated replica must answer 503.
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { silentLog, TestClock } from "./_kit.ts";
import { StoreMirror } from "./mirror.ts";
import { RelayClient } from "./relay.ts";
import { positionAt } from "../store/position.ts";

const SEED = 20_261_203;
/** Longest transit time of a datagram, as between processes that are short of CPU time. */
const MAX_TRANSIT_MS = 50;
/** Interval between an entry's datagrams. */
const GOSSIP_INTERVAL_MS = 50;

interface Entry {
  mirror: StoreMirror;
  relay: RelayClient;
}

/** A datagram in flight. */
interface Flight {
  to: Entry;
  syncState: StoreMirror["syncState"];
  atMs: number;
}

function createEntry(clock: TestClock): Entry {
  const mirror = StoreMirror.create(clock);
  const relay = RelayClient.create({
    mirror,
    clock,
    log: silentLog,
    controlPort: 1,
    coalesceMs: () => 0,
  });
  return { mirror, relay };
}

/** Lets the store answer an entry that has all changes. */
function answer({ mirror }: Entry): void {
  mirror.applyStep({ kind: "progress", position: positionAt(0, 1n) });
}

/**
 * Simulates the gossip of entries; the store answers the first of them until a given time.
 *
 * @returns The most by which a replica's age was below its true age.
 */
function maxAgeErrorMs(
  { entryCount, servedForMs, untilMs, random }: {
    entryCount: number;
    servedForMs: number;
    untilMs: number;
    random: () => number;
  },
): number {
  const clock = new TestClock();
  const entries = Array.from({ length: entryCount }, () => createEntry(clock));
  const startMs = clock.nowMs();
  for (const entry of entries) answer(entry);
  let lastAnswerMs = clock.nowMs();
  let flights: Flight[] = [];
  let maxErrorMs = 0;
  for (let ms = 0; ms < untilMs; ms += GOSSIP_INTERVAL_MS) {
    clock.advance(GOSSIP_INTERVAL_MS);
    const nowMs = clock.nowMs();
    if (nowMs - startMs < servedForMs) {
      answer(entries[0]!);
      lastAnswerMs = nowMs;
    }
    for (
      const { to, syncState } of flights.filter(({ atMs }) => atMs <= nowMs)
    ) {
      void to.relay.onPeerSyncState("peer", syncState);
    }
    flights = flights.filter(({ atMs }) => atMs > nowMs);
    for (const from of entries) {
      for (const to of entries) {
        // One in five datagrams is lost.
        if (to === from || random() < 0.2) continue;
        const atMs = nowMs + random() * MAX_TRANSIT_MS;
        flights.push({ to, syncState: from.mirror.syncState, atMs });
      }
    }
    for (const { mirror } of entries) {
      maxErrorMs = Math.max(maxErrorMs, nowMs - lastAnswerMs - mirror.ageMs);
    }
  }
  return maxErrorMs;
}

test("replicas that entries confirm in a circle age from the store's last answer", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 8 }),
      fc.integer({ min: 0, max: 3000 }),
      fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), {
        minLength: 50,
        maxLength: 50,
      }),
      (entryCount, servedForMs, chances) => {
        let i = 0;
        const random = () => chances[i++ % chances.length]!;
        const mostMs = maxAgeErrorMs({
          entryCount,
          servedForMs,
          untilMs: 10_000,
          random,
        });
        // Each hop from the store's answer hides its delay, and each entry is passed only once.
        const stepMs = MAX_TRANSIT_MS + GOSSIP_INTERVAL_MS;
        assert.ok(mostMs <= (entryCount - 1) * stepMs, `${mostMs} ms`);
      },
    ),
    { seed: SEED, numRuns: 60 },
  );
});

test("replica confirmed only by a peer is as old as the peer's", () => {
  const clock = new TestClock();
  const [near, far] = [createEntry(clock), createEntry(clock)];
  answer(near);
  answer(far);
  clock.advance(3000);
  answer(near);
  clock.advance(100);
  void far.relay.onPeerSyncState("near", near.mirror.syncState);
  assert.equal(far.mirror.ageMs, 100);
});
