import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth";
import { systemClock } from "../base/clock.ts";
import { positionAt } from "../store/position.ts";
import type { Listing, StoreFailure } from "../store/mod.ts";
import { recordedLog } from "./_kit.ts";
import { StoreFollower } from "./follower.ts";
import { StoreMirror } from "./mirror.ts";

// Guards against forgetting an era that a peer reports while the store is being listed.
test("era that a peer reports during a listing of an earlier one leads to another listing", async (t) => {
  const stop = new AbortController();
  t.after(() => stop.abort());
  const mirror = StoreMirror.create(systemClock);
  let lists = 0;
  const follower = StoreFollower.create({
    mirror,
    clock: systemClock,
    log: recordedLog().log,
    heartbeatMs: 1200,
    coalesceMs: () => 0,
    random: () => 0.5,
    store: {
      async list(): Promise<Result<Listing, StoreFailure>> {
        const era = lists++ === 0 ? 1 : 2;
        await sleep(50);
        return Result.ok({ entries: [], position: positionAt(era, 9n) });
      },
      // A connection that is dead, and still seems open.
      async *watch(_prefix, _from, signal) {
        await sleep(60_000, undefined, { signal }).catch(() => {});
        yield* [];
      },
    },
  });
  const done = follower.run(stop.signal);
  await sleep(20);
  follower.onPeerEra(2);
  await sleep(1000);
  follower.onPeerEra(2);
  await sleep(300);
  assert.equal(mirror.position.era, 2);
  stop.abort();
  await done;
});
