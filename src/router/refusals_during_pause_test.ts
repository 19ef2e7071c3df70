/** Streams whose engine pauses while the other engines refuse requests. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { assertAllComplete, refuseFor, runsOf } from "./_long_timeout_kit.ts";
import {
  assertSurvivesPause,
  EVERY_TIME,
  GONE_MS,
  PAUSE_MS,
  pausedStream,
} from "./_paused_stream.ts";
import { until } from "./_world.ts";

const REFUSED_FOR_MS = 500;
const ENTRY_COUNTS = [1, 16];

for (const entryCount of ENTRY_COUNTS) {
  for (const refuse of [1, 2, 3, 5, EVERY_TIME]) {
    // Guards against ending the only run during its pause for an engine that refuses: a cut answer.
    test(`pause after an event, other engine refuses ${refuse} times, ${entryCount} entries`, async (t) => {
      await assertSurvivesPause(t, [{ refuse }], { entryCount });
    });

    // The same before the head: a 502 instead of the answer.
    test(`pause before the head, other engine refuses ${refuse} times, ${entryCount} entries`, async (t) => {
      const stall = { afterEvent: 0, pauseMs: PAUSE_MS };
      await assertSurvivesPause(t, [{ refuse }], { entryCount, stall });
    });
  }

  // The same after the head: this wait is bounded as the one between events.
  test(`pause between head and first event, other engine refuses, ${entryCount} entries`, async (t) => {
    const stall = { afterEvent: 0, pauseMs: PAUSE_MS, isAfterHeaders: true };
    await assertSurvivesPause(t, [{ refuse: EVERY_TIME }], {
      entryCount,
      stall,
    });
  });

  // Guards against using up all sends of a request at once on engines that refuse.
  test(`pause while two engines refuse, ${entryCount} entries`, async (t) => {
    const refuse = EVERY_TIME;
    await assertSurvivesPause(t, [{ refuse }, { refuse }], { entryCount });
  });

  // Guards against using up the sends while the other engine refuses for a short time.
  test(`engine stops, the only other one refuses for a while, ${entryCount} entries`, async (t) => {
    const stall = { afterEvent: 2, pauseMs: GONE_MS };
    const { world, others, answer } = await pausedStream(
      t,
      [{ refuse: Infinity }],
      { entryCount, stall },
    );
    const [other] = others;
    await until(() => other!.refused > 0);
    refuseFor(other!, REFUSED_FOR_MS);
    assertAllComplete(world, [await answer]);
    assert.equal(runsOf(world), 2);
  });
}
