import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { StandinPlatformStore, TcpRelay } from "../standin/mod.ts";
import { PlatformStore } from "./store.ts";

const CALL_MS = 100;
const SHORT_MS = 50;
/** Longer than a test may take. */
const WAIT_MS = 25_000_000;

interface Watched {
  store: PlatformStore;
  server: StandinPlatformStore;
  link: TcpRelay;
  steps: ReturnType<PlatformStore["watch"]>;
}

/** A watch from the first revision on, over a link; the test's end ends it. */
async function watch(t: TestContext, callMs: number): Promise<Watched> {
  const server = await StandinPlatformStore.create();
  const link = await TcpRelay.create({ targetAddress: server.address });
  const store = PlatformStore.create({
    address: link.address,
    connectMs: callMs,
    callMs,
    watchWaitMs: WAIT_MS,
    watchSlackMs: callMs,
  });
  const stop = new AbortController();
  t.after(async () => {
    stop.abort();
    store.close();
    await link.close();
    await server.close();
  });
  return { store, server, link, steps: store.watch("", 1n, stop.signal) };
}

test("watch is answered at once when it begins, and waits for events from then on", async (t) => {
  const { steps, store, server } = await watch(t, WAIT_MS);
  const answers = steps[Symbol.asyncIterator]();
  const first = await answers.next();
  assert.ok(first.value.isOk);
  assert.equal(first.value.value.kind, "progress");
  const second = answers.next();
  const { counters } = server.store;
  while (counters.watches < 2) await sleep(1);
  // A call that doesn't wait has its answer by then.
  await sleep(SHORT_MS);
  await server.put("key", 1);
  const event = await second;
  assert.ok(event.value.isOk);
  assert.equal(event.value.value.kind, "put");
  assert.equal(store.calls, 2);
});

test("watch of a silent store ends after the time of one call", async (t) => {
  const { steps, link } = await watch(t, CALL_MS);
  link.silent();
  for await (const step of steps) {
    assert.ok(step.isErr);
    assert.equal(step.error.kind, "unavailable");
  }
});
