import assert from "node:assert/strict";
import { test } from "node:test";
import { CONFIG } from "../standin/mod.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  useConfig,
} from "./_world.ts";

/** After the store records that a server leaves, entries may send it requests for this long. */
const DRAIN_MS = 2000;
/** Clock step; after two, an entry's contact with the store counts as stable, which takes 1.9 s. */
const STEP_MS = 1000;

const FAILURES: Record<string, (entry: TestEntry) => void> = {
  "refuses its calls": ({ link }) => {
    link.down();
    link.cutOpen();
  },
  "leaves its calls unanswered": ({ link }) => link.silent(),
};

/*
 * An entry that can't reach the store must apply changes that its peers read from the store. Guards
 * against keeping a server whose deletion a peer reports, as if only its registration had expired:
 * ten requests reached servers too late.
 */
for (const [loss, lose] of Object.entries(FAILURES)) {
  for (const isTold of [true, false]) {
    const how = isTold ? "says that it leaves" : "is gone";
    test(`entry whose store ${loss} stops using a server that ${how} in time`, async (t) => {
      const world = await openWorld(t, { entryCount: 2 });
      const [away, served] = world.entries;
      assert.ok(away && served);
      for (const version of [2, 3]) {
        away.clock.aheadMs += STEP_MS;
        served.clock.aheadMs += STEP_MS;
        await useConfig(world, { ...CONFIG, version });
      }
      const worker = await world.worker("i-1");
      await until(() =>
        world.entries.every((entry) =>
          stateContains(entry, '"i-1"') && stateContains(entry, '"entries":2')
        )
      );
      lose(away);
      const key = "servers/i-1";
      // At the deadline the entry's clock stops, so later timeouts don't count; its loops go on.
      setTimeout(() => away.clock.stop(), DRAIN_MS).unref();
      if (isTold) {
        await world.store.put(
          key,
          worker.entry("plain", { state: "draining" }),
        );
        await until(() => stateContains(away, '"leaving":true'));
      } else {
        await world.store.delete(key);
        await until(() => !stateContains(away, '"i-1"'));
      }
    });
  }
}
