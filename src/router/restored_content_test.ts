import assert from "node:assert/strict";
import { test } from "node:test";
import { CONFIG, restartServer, sendClientRequest } from "../standin/mod.ts";
import { stateContains, until } from "./_world.ts";
import {
  AWAY_MS,
  becomes,
  changeAll,
  countRequestsTo,
  isLeaving,
  isMarked,
  join,
  knows,
  mark,
  openFilledWorld,
  openRestoredWorld,
  register,
  REQUESTS_PER_ENTRY,
  STAYING,
} from "./_restored_store_kit.ts";

/*
 * Guards against content of a store that is gone coming back: from a copy that is older than what
 * servers have said since, or from an entry that has not learned of the restore.
 */

/** Watches from a revision that the store doesn't have, for each entry and restore. */
const MAX_GONE_WATCHES = 2;
/** Reads of the store, for each entry and restore. */
const MAX_READS = 10;
const RESTORE_COUNT = 3;

// An entry may be cut off from the store that came back, and reach entries which know what it says.
test("entry without the store learns from peers what the restored one says", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  const world = await openRestoredWorld(t, rewind, { isThirdCutOff: true });
  const away = world.entries[2]!;
  await changeAll(world);
  assert.ok(
    await becomes(() =>
      knows(away, "i-5") && isLeaving(away, "i-1") &&
      stateContains(away, '"configVersion":2')
    ),
  );
  assert.equal(await countRequestsTo("i-1", world, [away]), 0);
});

// The copy is from before the server left; its registration is no news.
test("copy that says ready does not call a leaving server back", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  const world = await openRestoredWorld(t, rewind, {
    sinceCopy: (world) => register(world, "i-1", { state: "draining" }),
  });
  const { entries } = world;
  await join(world, "i-5");
  const isKnown = await becomes(() =>
    entries.every((entry) => knows(entry, "i-5"))
  );
  const requests = await countRequestsTo("i-1", world, entries);
  assert.deepEqual({ isKnown, requests }, { isKnown: true, requests: 0 });
});

// As above; the server had said so in an answer, and the store never knew.
test("restored store does not call back a server that left by its answer", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  let leavingId = "";
  const world = await openRestoredWorld(t, rewind, {
    sinceCopy: async (world) => {
      for (const { faults } of world.workers) faults.leaving = true;
      assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
      for (const { faults } of world.workers) faults.leaving = false;
      leavingId = world.workers.find(({ runs }) => runs.length > 0)!.id;
      await until(() =>
        world.entries.every((entry) => isLeaving(entry, leavingId))
      );
    },
  });
  const { entries } = world;
  await join(world, "i-5");
  const isKnown = await becomes(() =>
    entries.every((entry) => knows(entry, "i-5"))
  );
  const requests = await countRequestsTo(leavingId, world, entries);
  assert.deepEqual({ isKnown, requests }, { isKnown: true, requests: 0 });
});

// A server that has started again takes requests; the announcement was its predecessor's.
test("server that left before a restore is used after its new start", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  const world = await openRestoredWorld(t, rewind, {
    sinceCopy: (world) => register(world, "i-1", { state: "draining" }),
  });
  const { entries } = world;
  const worker = world.workers[0]!;
  await restartServer(worker);
  await register(world, "i-1");
  for (const id of ["i-2", ...STAYING]) {
    await world.store.delete(`servers/${id}`);
  }
  const started = `"bornAtMs":${worker.bornAtMs}`;
  assert.ok(
    await becomes(() =>
      entries.every((entry) =>
        stateContains(entry, started) && !knows(entry, "i-4")
      )
    ),
  );
  const requests = await countRequestsTo("i-1", world, entries);
  assert.equal(requests, REQUESTS_PER_ENTRY * entries.length);
});

// By its revision, the replica of an entry that saw the lost writes is ahead of the others.
test("entry of the old era gives its content to none of the new one", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  const world = await openRestoredWorld(t, rewind, {
    isThirdCutOff: true,
    sinceCopy: async (world) => {
      await join(world, "i-lost");
      await until(() => world.entries.every((entry) => knows(entry, "i-lost")));
    },
  });
  const { inTouch } = world;
  const away = world.entries[2]!;
  const isLost = () => inTouch.every((entry) => !knows(entry, "i-lost"));
  assert.ok(await becomes(isLost));
  await world.store.putConfig({ ...CONFIG, version: 2 });
  assert.ok(await becomes(() => stateContains(away, '"configVersion":2')));
  assert.ok(isLost());
});

// An entry without content asks its peers in turn, and the first may be one of the old era.
test("entry that starts without the store gets the content of the new era", async (t) => {
  const rewind = { lost: 40, reissued: 15 };
  const world = await openRestoredWorld(t, rewind, { isThirdCutOff: true });
  const second = world.entries[1]!;
  second.link.down();
  await second.router.stop();
  await changeAll(world);
  const again = await world.restart(second);
  assert.ok(
    await becomes(() =>
      knows(again, "i-5") && isLeaving(again, "i-1") &&
      stateContains(again, '"configVersion":2')
    ),
  );
  assert.equal(await countRequestsTo("i-1", world, [again]), 0);
});

// Each entry listed the store and got 410 for its watch, 40 to 58 times a second.
test("entries read a restored store a few times, not in a loop", async (t) => {
  const world = await openFilledWorld(t);
  const { store, entries } = world;
  const { counters } = store.store;
  for (let i = 1; i <= RESTORE_COUNT; i++) {
    const copy = store.copy();
    await world.write(20);
    await mark(world, `lost-${i}`);
    await until(() => entries.every((entry) => isMarked(entry, `lost-${i}`)));
    const { goneWatches, reads } = counters;
    await store.restore(copy, { awayMs: AWAY_MS });
    await mark(world, `kept-${i}`);
    const isKnown = await becomes(() =>
      entries.every((entry) => isMarked(entry, `kept-${i}`))
    );
    const gone = counters.goneWatches - goneWatches;
    assert.ok(gone <= MAX_GONE_WATCHES * entries.length, `${gone} watches`);
    const read = counters.reads - reads;
    assert.ok(read <= MAX_READS * entries.length, `${read} reads`);
    assert.ok(isKnown);
  }
});
