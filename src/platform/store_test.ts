import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { StandinPlatformStore, TcpRelay } from "../standin/mod.ts";
import { PlatformStore } from "./store.ts";
import { positionAt } from "../store/position.ts";

const CALL_MS = 100;
const ANSWER_MS = 50;
/** Longer than any test runs. */
const WAIT_MS = 25_000_000;

interface WatchSetup {
  store: PlatformStore;
  server: StandinPlatformStore;
  relay: TcpRelay;
  steps: ReturnType<PlatformStore["watch"]>;
}

/** Starts a watch from the first revision through a TCP relay; it ends with the test. */
async function startWatch(t: TestContext, callMs: number): Promise<WatchSetup> {
  const server = await StandinPlatformStore.create();
  const relay = await TcpRelay.create({ targetAddress: server.address });
  const store = PlatformStore.create({
    address: relay.address,
    connectMs: callMs,
    callMs,
    watchWaitMs: WAIT_MS,
    watchSlackMs: callMs,
  });
  const stop = new AbortController();
  t.after(async () => {
    stop.abort();
    store.close();
    await relay.close();
    await server.close();
  });
  const { era } = server.store.table.position;
  const steps = store.watch("", positionAt(era, 1n), stop.signal);
  return { store, server, relay, steps };
}

test("first poll of a watch is answered at once, later ones wait for events", async (t) => {
  const { steps, store, server } = await startWatch(t, WAIT_MS);
  const answers = steps[Symbol.asyncIterator]();
  const first = await answers.next();
  assert.ok(first.value.isOk);
  assert.equal(first.value.value.kind, "progress");
  const second = answers.next();
  const { counters } = server.store;
  while (counters.watches < 2) await sleep(1);
  // A poll that doesn't wait would be answered before this delay ends.
  await sleep(ANSWER_MS);
  await server.put("key", 1);
  const event = await second;
  assert.ok(event.value.isOk);
  assert.equal(event.value.value.kind, "put");
  assert.equal(store.calls, 2);
});

test("watch of an unresponsive store ends after the call timeout", async (t) => {
  const { steps, relay } = await startWatch(t, CALL_MS);
  relay.silent();
  for await (const step of steps) {
    assert.ok(step.isErr);
    assert.equal(step.error.kind, "unavailable");
  }
});
