/** Salts of cached prompts, by the configuration. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CONFIG, sendClientRequest } from "../standin/mod.ts";
import { openWorld, useConfig } from "./_world.ts";
import { CacheSalts } from "./cache_salts.ts";

const FIRST = { name: "first", isolated: false };
const SECOND = { name: "second", isolated: false };
const THIRD = { name: "third", isolated: false };

function isolate<T extends { name: string }>(workspace: T) {
  return { ...workspace, isolated: true };
}

/** Salts of the three workspaces in a configuration. */
function saltsUnder(...workspaces: { name: string; isolated: boolean }[]) {
  const salts = CacheSalts.create(workspaces);
  return workspaces.map((workspace) => salts.saltOf(1, workspace));
}

// Guards against the use of parts that a workspace made before it was isolated.
test("others leave the salt of a workspace that becomes isolated", () => {
  const [before] = saltsUnder(FIRST, SECOND, THIRD);
  const after = saltsUnder(isolate(FIRST), SECOND, THIRD);
  assert.ok(!after.includes(before!));
  assert.notEqual(after[0], after[1]);
  assert.equal(after[1], after[2]);
});

// Guards against the use of parts that were shared between two times of isolation.
test("workspace that is freed and isolated again shares no salt while isolated", () => {
  const free = saltsUnder(FIRST, SECOND, THIRD);
  const isolated = saltsUnder(isolate(FIRST), SECOND, THIRD);
  const replaced = saltsUnder(FIRST, isolate(SECOND), THIRD);
  assert.equal(new Set(free).size, 1);
  const shared = new Set([free[2], isolated[2], replaced[2]]);
  assert.equal(shared.size, 3);
  for (const own of [isolated[0]!, replaced[1]!]) assert.ok(!shared.has(own));
});

// Guards against reading all prompts again after a change that isolates nobody.
test("salts depend on nothing but the isolated workspaces", () => {
  const [, second] = saltsUnder(isolate(FIRST), SECOND, isolate(THIRD));
  const reordered = saltsUnder(isolate(THIRD), isolate(FIRST), SECOND);
  assert.equal(reordered[2], second);
  const added = saltsUnder(isolate(THIRD), isolate(FIRST), SECOND, {
    name: "new",
    isolated: false,
  });
  assert.equal(added[2], second);
});

// Guards against entries that disagree, and against a salt that a name can imitate.
test("no name makes the salt of other workspaces", () => {
  const [, shared] = saltsUnder(isolate(FIRST), SECOND);
  const digest = shared!.slice("w1-".length);
  for (const name of [digest, `-${digest}`, shared!]) {
    const [own] = saltsUnder(isolate({ name }), SECOND);
    assert.notEqual(own, shared);
  }
  const joined = saltsUnder(isolate({ name: 'first","second' }), THIRD);
  const apart = saltsUnder(THIRD, isolate(FIRST), isolate(SECOND));
  assert.notEqual(joined[1], apart[0]);
});

// Guards against the salt of an older configuration for a request that was routed by it.
test("request that was routed before its workspace was isolated gets the new salt", () => {
  const salts = CacheSalts.create([isolate(FIRST), SECOND]);
  assert.equal(salts.saltOf(1, FIRST), "w1.first");
  const gone = CacheSalts.create([SECOND]);
  assert.equal(gone.saltOf(1, isolate(FIRST)), "w1.first");
});

// Guards against isolation that takes effect for the isolated workspace's own requests only.
test("isolation changes the salt of the requests of others", async (t) => {
  const world = await openWorld(t);
  const engine = await world.worker("i-1", { model: "m" });
  const tenants = [
    { name: "first", api_keys: ["k-first"], priority: 1, isolated: false },
    { name: "second", api_keys: ["k-second"], priority: 1, isolated: false },
  ];
  const saltFor = async (key: string) => {
    await sendClientRequest(world, "/stream/a", {
      authorization: `Bearer ${key}`,
      "model": "m",
      "token-usage": "100,4",
      "prompt-prefix": "aa:90,bb:10",
    });
    return engine.runs.at(-1)!.headers["cache-salt"];
  };
  await useConfig(world, { ...CONFIG, version: 2, tenants });
  const before = await saltFor("k-first");
  assert.equal(await saltFor("k-second"), before);
  const isolated = tenants.map((tenant, i) => ({
    ...tenant,
    isolated: i === 0,
  }));
  await useConfig(world, { ...CONFIG, version: 3, tenants: isolated });
  const [first, second] = [await saltFor("k-first"), await saltFor("k-second")];
  assert.equal(new Set([before, first, second]).size, 3);
  await useConfig(world, { ...CONFIG, version: 4, tenants });
  assert.equal(await saltFor("k-second"), before);
});
