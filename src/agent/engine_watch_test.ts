import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { type Clock, createSilentLogger } from "../base/mod.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { EngineWatch } from "./engine_watch.ts";

const MINUTE_MS = 60_000;

/** Runs a watch for a simulated minute and counts the requests to the engine. */
async function pollForMinute(
  engine: FakeEngine,
  isBusy: boolean,
): Promise<{ loads: number; infos: number }> {
  const counts = { loads: 0, infos: 0 };
  const stop = new AbortController();
  let timeMs = 0;
  const clock: Clock = {
    nowMs: () => timeMs,
    wallMs: () => timeMs,
    sleep: async (ms) => {
      timeMs += ms;
      if (timeMs >= MINUTE_MS) stop.abort();
      await nextTurn();
    },
  };
  const info = engine.info.bind(engine);
  const load = engine.load.bind(engine);
  engine.info = () => (counts.infos++, info());
  engine.load = () => (counts.loads++, load());
  const watch = EngineWatch.create({
    engine,
    clock,
    log: createSilentLogger(),
    isBusy: () => isBusy,
    listener: { onNewIncarnation() {}, onLoad() {}, onDown() {} },
  });
  await watch.run(stop.signal);
  return counts;
}

test("an idle engine is polled every four seconds", async () => {
  const { loads, infos } = await pollForMinute(FakeEngine.create(), false);
  assert.equal(loads, 15);
  assert.equal(infos, 8);
});

test("the load of a busy engine is polled twice a second", async () => {
  const { loads, infos } = await pollForMinute(FakeEngine.create(), true);
  assert.equal(loads, 120);
  assert.equal(infos, 8);
});

test("an unreachable engine is polled twice a second", async () => {
  const engine = FakeEngine.create();
  engine.isUp = false;
  const { infos } = await pollForMinute(engine, false);
  assert.equal(infos, 120);
});
