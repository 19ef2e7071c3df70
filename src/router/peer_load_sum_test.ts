import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PeerLoadSum } from "./peer_load_sum.ts";

const SEED = 20_261_203;
/** A word counts for this long, and up to a look more. */
const COUNTS_MS = 1500;
const LOOK_MS = 100;

test("sum is that of the latest words that are not too old", () => {
  const word = fc.record({
    peer: fc.constantFrom("a", "b", "c"),
    running: fc.nat(3),
    pendingTokens: fc.nat(100),
    pauseMs: fc.nat(900),
  });
  fc.assert(
    fc.property(fc.array(word, { maxLength: 40 }), (words) => {
      const sum = new PeerLoadSum();
      const latest = new Map<string, { atMs: number; running: number }>();
      let nowMs = 0;
      for (const { peer, running, pendingTokens, pauseMs } of words) {
        nowMs += pauseMs;
        sum.set(peer, { running, pendingTokens, bound: 0 }, nowMs);
        latest.set(peer, { atMs: nowMs, running });
        const told = [...latest.values()];
        const count = (olderMs: number) =>
          told.filter(({ atMs }) => nowMs - atMs <= COUNTS_MS + olderMs)
            .reduce((total, { running }) => total + running, 0);
        const counted = sum.at(nowMs).running;
        assert.ok(counted >= count(0) && counted <= count(LOOK_MS));
      }
    }),
    { seed: SEED },
  );
});
