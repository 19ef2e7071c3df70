import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PeerLoadSum } from "./peer_load_sum.ts";

const SEED = 20_261_203;
/** A reported load counts for this long, plus up to one interval of the expiry checks. */
const LOAD_TTL_MS = 1500;
const EXPIRY_CHECK_MS = 100;

test("total covers the latest load of each peer that has not expired", () => {
  const report = fc.record({
    peer: fc.constantFrom("a", "b", "c"),
    running: fc.nat(3),
    pendingTokens: fc.nat(100),
    pauseMs: fc.nat(900),
  });
  fc.assert(
    fc.property(fc.array(report, { maxLength: 40 }), (reports) => {
      const sum = new PeerLoadSum();
      const latest = new Map<string, { atMs: number; running: number }>();
      let nowMs = 0;
      for (const { peer, running, pendingTokens, pauseMs } of reports) {
        nowMs += pauseMs;
        sum.set(peer, { running, pendingTokens, bound: 0 }, nowMs);
        latest.set(peer, { atMs: nowMs, running });
        const latestLoads = [...latest.values()];
        const count = (olderMs: number) =>
          latestLoads.filter(({ atMs }) =>
            nowMs - atMs <= LOAD_TTL_MS + olderMs
          )
            .reduce((total, { running }) => total + running, 0);
        const counted = sum.at(nowMs).running;
        assert.ok(counted >= count(0) && counted <= count(EXPIRY_CHECK_MS));
      }
    }),
    { seed: SEED },
  );
});
