import assert from "node:assert/strict";
import { test } from "node:test";
import {
  MODEL_REQUEST_HEADERS,
  NO_FAULTS,
  sendClientRequest,
  StandinBackendServer,
} from "../standin/mod.ts";
import { openWorld, stateContains, until } from "./_world.ts";

/*
 * Guards against each entry having to find a dead server by itself. When 12 of 40 idle engines crashed
 * and others started at their addresses, each of 31 entries kept sending requests to them until it got
 * a refusal itself. Although 28 engines were alive, 540 of the requests that failed in the end had last
 * been sent to a wrong server, and 324 to one that refused connections.
 */
test("server whose address belongs to another one is dropped by all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  const other = await StandinBackendServer.create({ id: "i-2" });
  t.after(() => other.close());
  await world.store.put("servers/i-1", other.entry("plain"));
  await until(() =>
    world.entries.every((entry) => stateContains(entry, '"i-1"'))
  );
  await until(() => stateContains(near!, '"entries":2'));
  assert.equal((await sendClientRequest(near!, "/look/a")).status, 503);
  await until(() => !stateContains(far!, '"i-1"'));
  assert.equal(other.runs.length, 0);
});

test("server that refuses connections is avoided by all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  const dead = await world.worker("i-1");
  await until(() =>
    world.entries.every((entry) => stateContains(entry, '"i-1"'))
  );
  await until(() => stateContains(near!, '"entries":2'));
  await dead.down();
  assert.equal((await sendClientRequest(near!, "/look/a")).status, 503);
  await until(() => stateContains(far!, '"isDown":true'));
});

test("server that crashed during a request is avoided by all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  const faults = { ...NO_FAULTS, endOnTarget: "/once/a" };
  const server = await world.worker("i-1", { model: "m", faults });
  await until(() =>
    world.entries.every((entry) => stateContains(entry, '"i-1"'))
  );
  await until(() => stateContains(near!, '"entries":2'));
  await sendClientRequest(near!, "/once/a", MODEL_REQUEST_HEADERS);
  assert.equal(server.runs.length, 1);
  await until(() => stateContains(far!, '"isDown":true'));
});
