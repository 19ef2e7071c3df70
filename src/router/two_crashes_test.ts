import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  completeStreamBody,
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
  type StandinBackendServer,
} from "../standin/mod.ts";
import { openWorld, until } from "./_world.ts";

// A stream was broken off, as its route's attempts counted an engine that was not yet known to have ended.
test("stream is resumed although two engines crash in immediate succession", async (t) => {
  const world = await openWorld(t);
  const engines: StandinBackendServer[] = [];
  for (const id of ["i-1", "i-2", "i-3"]) {
    engines.push(await world.worker(id, { model: "m", eventMs: 30 }));
  }
  const asked = sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS);
  for (let crashes = 0; crashes < 2; crashes++) {
    await until(() => engines.some(({ streams }) => streams > 0));
    const running = engines.find(({ streams }) => streams > 0)!;
    engines.splice(engines.indexOf(running), 1);
    // The first crash comes after an event, the second one before the first is understood.
    if (crashes === 0) await sleep(15);
    await running.down();
  }
  const { body, isComplete } = await asked;
  assert.ok(isComplete, `broken off after ${JSON.stringify(body)}`);
  assert.equal(body, completeStreamBody(4));
});
