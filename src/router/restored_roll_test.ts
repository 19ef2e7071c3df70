import assert from "node:assert/strict";
import { test } from "node:test";
import { AWAY_MS, becomes } from "./_restored_store_kit.ts";
import { openWorld, stateContains, until } from "./_world.ts";

const ORDER_TURN_MS = 300;
/** Writes after the copy, so that revisions go back far. */
const LOST_WRITES = 40;

/*
 * Guards against engines that get no orders, or those of two holders, after the store came back from
 * an older copy: the lease of the roll and the records of orders are gone, and revisions are lower
 * than the fencing numbers that the engines have seen.
 */
for (const isHolderCutOff of [false, true]) {
  const holds = isHolderCutOff ? "its holder cut off" : "its holder in touch";
  test(`weights are ordered after a restore, ${holds}`, async (t) => {
    const world = await openWorld(t, {
      entryCount: 3,
      orderTurnMs: ORDER_TURN_MS,
    });
    const { store, entries } = world;
    const workers = [await world.engine("i-1"), await world.engine("i-2")];
    const copy = store.copy();
    for (let i = 0; i < LOST_WRITES; i++) {
      await store.put("servers/i-1", workers[0]!.entry("engines"));
    }
    await store.put("op/version/m", { model: "m", version: 2 });
    await until(() => workers.every(({ version }) => version === 2));
    const holder = entries.find((entry) =>
      stateContains(entry, '"holdsRollLease":true')
    );
    assert.ok(holder);
    if (isHolderCutOff) holder.link.down();
    await store.restore(copy, { awayMs: AWAY_MS });
    for (const worker of workers) {
      await store.put(`servers/${worker.id}`, worker.entry("engines"));
    }
    await store.put("op/version/m", { model: "m", version: 3 });
    const areLoaded = await becomes(() =>
      workers.every(({ version }) => version === 3)
    );
    assert.ok(areLoaded);
    for (const { orders } of workers) {
      assert.deepEqual(orders.map(({ version }) => version), [2, 3]);
      const [before, after] = orders;
      assert.ok(before!.fencingToken < after!.fencingToken);
      if (before!.holder === after!.holder) continue;
      assert.ok(after!.atMs - before!.atMs >= ORDER_TURN_MS);
    }
  });
}
