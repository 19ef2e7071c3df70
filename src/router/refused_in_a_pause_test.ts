/** Pauses of an engine while the others refuse what they are asked for. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { assertAllWhole, refuseFor, runsOf } from "./_patient_world.ts";
import {
  assertOutlasts,
  GONE_MS,
  OFTEN,
  PAUSE_MS,
  pausedStream,
} from "./_paused_stream.ts";
import { until } from "./_world.ts";

const REFUSED_FOR_MS = 500;
const ENTRY_COUNTS = [1, 16];

for (const entryCount of ENTRY_COUNTS) {
  for (const refuse of [1, 2, 3, 5, OFTEN]) {
    // The only run was ended in its pause for an engine that refused, and the answer was cut.
    test(`pause behind an event, other engine refuses ${refuse} times, ${entryCount} entries`, async (t) => {
      await assertOutlasts(t, [{ refuse }], { entryCount });
    });

    // The same before the first event: a 502 in place of the answer.
    test(`pause before the head, other engine refuses ${refuse} times, ${entryCount} entries`, async (t) => {
      const stall = { afterEvent: 0, pauseMs: PAUSE_MS };
      await assertOutlasts(t, [{ refuse }], { entryCount, stall });
    });
  }

  // The same where the head is there: that wait is the one for further events.
  test(`pause between head and first event, other engine refuses, ${entryCount} entries`, async (t) => {
    const stall = { afterEvent: 0, pauseMs: PAUSE_MS, isBehindHead: true };
    await assertOutlasts(t, [{ refuse: OFTEN }], { entryCount, stall });
  });

  // All sends of a request went to engines that refuse, one right behind the other.
  test(`pause while two engines refuse, ${entryCount} entries`, async (t) => {
    const refuse = OFTEN;
    await assertOutlasts(t, [{ refuse }, { refuse }], { entryCount });
  });

  // The sends were used up before the engine took what it refuses only for a moment.
  test(`engine is gone, the only other one refuses for a while, ${entryCount} entries`, async (t) => {
    const stall = { afterEvent: 2, pauseMs: GONE_MS };
    const { world, others, answer } = await pausedStream(
      t,
      [{ refuse: Infinity }],
      { entryCount, stall },
    );
    const [other] = others;
    await until(() => other!.refused > 0);
    refuseFor(other!, REFUSED_FOR_MS);
    assertAllWhole(world, [await answer]);
    assert.equal(runsOf(world), 2);
  });
}
