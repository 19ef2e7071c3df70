import assert from "node:assert/strict";
import { test } from "node:test";
import { CONFIG } from "../standin/mod.ts";
import {
  knows,
  openWorld,
  type TestEntry,
  until,
  useConfig,
} from "./_world.ts";

/** Requests may reach a server for this long after the store has taken that it leaves. */
const DRAIN_MS = 2000;
/** A part of the time after which an entry that has just started is settled. */
const PART_MS = 1000;

const LOSSES: Record<string, (entry: TestEntry) => void> = {
  "refuses its calls": ({ link }) => {
    link.down();
    link.cutOpen();
  },
  "leaves its calls unanswered": ({ link }) => link.silent(),
};

/*
 * An entry that the store turned away, while it served the other ones, kept a server whose deletion a
 * peer told, as if the registration had lapsed: ten requests reached servers too late on one played
 * day. Such an entry is bound by what the store has told the others.
 */
for (const [loss, lose] of Object.entries(LOSSES)) {
  for (const isTold of [true, false]) {
    const how = isTold ? "says that it leaves" : "is gone";
    test(`entry whose store ${loss} lets go of a server that ${how} in time`, async (t) => {
      const world = await openWorld(t, { entryCount: 2 });
      const [away, served] = world.entries;
      assert.ok(away && served);
      for (const version of [2, 3]) {
        away.clock.aheadMs += PART_MS;
        served.clock.aheadMs += PART_MS;
        await useConfig(world, { ...CONFIG, version });
      }
      const worker = await world.worker("i-1");
      await until(() =>
        world.entries.every((entry) =>
          knows(entry, '"i-1"') && knows(entry, '"entries":2')
        )
      );
      lose(away);
      const key = "servers/i-1";
      // What it does later, by its own clock, is too late; its loops go on.
      setTimeout(() => away.clock.stop(), DRAIN_MS).unref();
      if (isTold) {
        await world.store.put(
          key,
          worker.entry("plain", { state: "draining" }),
        );
        await until(() => knows(away, '"leaving":true'));
      } else {
        await world.store.delete(key);
        await until(() => !knows(away, '"i-1"'));
      }
    });
  }
}
