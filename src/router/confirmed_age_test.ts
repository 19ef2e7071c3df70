// Entries without the store told each other how old their copies were, and each took the youngest
// age that it heard, a little too young by the time that the news had taken. So two of them made
// each other's copy younger and younger: 10 s after the store had answered anyone, the copies counted
// as 4.2 to 8.0 s old (simulated), and a key or route that was not known could be denied, where an
// entry that is not sure answers 503.
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { silentLog, TestClock } from "./_kit.ts";
import { StoreMirror } from "./mirror.ts";
import { RelayReader } from "./relay.ts";

const SEED = 20_261_203;
/** News takes as long as this to come, as where processes are short of processor time. */
const DELAY_MAX_MS = 50;
/** Pause between an entry's datagrams. */
const TELL_MS = 50;

interface Entry {
  mirror: StoreMirror;
  relay: RelayReader;
}

/** A datagram on its way. */
interface Flight {
  to: Entry;
  knowledge: StoreMirror["knowledge"];
  atMs: number;
}

function createEntry(clock: TestClock): Entry {
  const mirror = StoreMirror.create(clock);
  const relay = RelayReader.create({
    mirror,
    clock,
    log: silentLog,
    controlPort: 1,
    gatherMs: () => 0,
  });
  return { mirror, relay };
}

/** The store's answer to an entry that has seen all. */
function answer({ mirror }: Entry): void {
  mirror.follow({ kind: "progress", revision: 1n });
}

/**
 * Lets entries tell each other; the store answers the first of them until a time.
 *
 * @returns By how much too young a copy counted at most.
 */
function mostTooYoungMs(
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
  let most = 0;
  for (let ms = 0; ms < untilMs; ms += TELL_MS) {
    clock.advance(TELL_MS);
    const nowMs = clock.nowMs();
    if (nowMs - startMs < servedForMs) {
      answer(entries[0]!);
      lastAnswerMs = nowMs;
    }
    for (
      const { to, knowledge } of flights.filter(({ atMs }) => atMs <= nowMs)
    ) {
      void to.relay.heard("peer", knowledge);
    }
    flights = flights.filter(({ atMs }) => atMs > nowMs);
    for (const from of entries) {
      for (const to of entries) {
        // One in five datagrams is lost.
        if (to === from || random() < 0.2) continue;
        const atMs = nowMs + random() * DELAY_MAX_MS;
        flights.push({ to, knowledge: from.mirror.knowledge, atMs });
      }
    }
    for (const { mirror } of entries) {
      most = Math.max(most, nowMs - lastAnswerMs - mirror.ageMs);
    }
  }
  return most;
}

test("copies that entries confirm in a circle grow as old as the store's last answer", () => {
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
        const mostMs = mostTooYoungMs({
          entryCount,
          servedForMs,
          untilMs: 10_000,
          random,
        });
        // Each step on the way from the store's answer hides its delay, and none comes twice.
        const stepMs = DELAY_MAX_MS + TELL_MS;
        assert.ok(mostMs <= (entryCount - 1) * stepMs, `${mostMs} ms`);
      },
    ),
    { seed: SEED, numRuns: 60 },
  );
});

test("entry that only a peer serves takes its copy for as old as the peer's", () => {
  const clock = new TestClock();
  const [near, far] = [createEntry(clock), createEntry(clock)];
  answer(near);
  answer(far);
  clock.advance(3000);
  answer(near);
  clock.advance(100);
  void far.relay.heard("near", near.mirror.knowledge);
  assert.equal(far.mirror.ageMs, 100);
});
