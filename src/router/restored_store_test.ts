import assert from "node:assert/strict";
import { test } from "node:test";
import { stateContains, type TestEntry } from "./_world.ts";
import {
  becomes,
  changeAll,
  countRequestsTo,
  isLeaving,
  knows,
  openRestoredWorld,
  type Rewind,
} from "./_restored_store_kit.ts";

/*
 * Guards against entries that go by the content of a store that is gone. The store was away and came
 * back from an older copy, under lower revisions. Entries compared these with the ones that they had
 * seen, ignored what was written, and sent requests to a server 3 s after its leave was acknowledged.
 */

const REWINDS: Rewind[] = [
  { lost: 200, reissued: 0 },
  { lost: 40, reissued: 15 },
  { lost: 6, reissued: 40 },
];

for (const rewind of REWINDS) {
  for (const isThirdCutOff of [false, true]) {
    const { lost, reissued } = rewind;
    const touch = isThirdCutOff ? "third entry cut off" : "all in touch";
    const title = `${lost} revisions lost, ${reissued} reissued, ${touch}`;

    // A server that had said so 3 s before got requests, and was closed under them.
    test(`server that leaves after a restore gets no requests: ${title}`, async (t) => {
      const world = await openRestoredWorld(t, rewind, { isThirdCutOff });
      const { inTouch } = world;
      await changeAll(world);
      await becomes(() =>
        inTouch.every((entry) =>
          isLeaving(entry, "i-1") && !knows(entry, "i-2")
        )
      );
      assert.equal(await countRequestsTo("i-1", world, inTouch), 0);
      assert.equal(await countRequestsTo("i-2", world, inTouch), 0);
    });

    // A configuration that was accepted was in force nowhere, and new servers got no requests.
    test(`changes after a restore are known everywhere: ${title}`, async (t) => {
      const world = await openRestoredWorld(t, rewind, { isThirdCutOff });
      const { inTouch } = world;
      await changeAll(world);
      const isNew = (entry: TestEntry) =>
        knows(entry, "i-5") && stateContains(entry, '"configVersion":2');
      await becomes(() => inTouch.every(isNew));
      assert.deepEqual(inTouch.map(isNew), inTouch.map(() => true));
    });
  }
}
