import assert from "node:assert/strict";
import { test } from "node:test";
import {
  CONFIG,
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
} from "../standin/mod.ts";
import { sendAdmitted } from "./_admitted_client.ts";
import {
  openWorld,
  stateContains,
  until,
  useConfig,
  type World,
} from "./_world.ts";

/** Prompt and output tokens of {@link PROMPT}. */
const PROMPT_COST = 1280;

/** The default configuration with a rate limit in tokens for its workspace. */
function limited(version: number, perSecond: number, burst = perSecond) {
  const [workspace] = CONFIG.tenants;
  const quota = {
    rate_per_s: perSecond,
    burst,
    unit: "token_count",
    plain_tokens: 200,
  };
  return { ...CONFIG, version, tenants: [{ ...workspace!, ...quota }] };
}

function level({ router }: World["entries"][number]): number {
  const { quotas } = router.state() as { quotas: { level: number }[] };
  return quotas[0]?.level ?? NaN;
}

test("request over a workspace's limit is refused without running, with a time to retry", async (t) => {
  const world = await openWorld(t);
  const engine = await world.engine("i-1");
  await useConfig(world, limited(2, 100));
  assert.equal(
    (await sendAdmitted(world, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    200,
  );
  const refused = await sendAdmitted(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(refused.status, 429);
  assert.ok(Number(refused.headers["retry-after"]) > 1);
  assert.equal(engine.runs.length, 1);
  const metrics = await fetch(
    `http://${world.ipAddress}:${world.controlPort}/metrics`,
  );
  assert.match(
    await metrics.text(),
    /over_quota_requests_total\{workspace="w"\} 1/,
  );
});

test("entries share a workspace's limit", async (t) => {
  const world = await openWorld(t, { entryCount: 3 });
  await world.engine("i-1");
  await useConfig(world, limited(2, 100));
  const [first, ...others] = world.entries;
  for (const entry of others) {
    await until(() => stateContains(entry, '"configVersion":2'));
    await until(() => stateContains(entry, '"i-1"'));
  }
  await until(() => level(first!) > 50);
  assert.equal(
    (await sendClientRequest(first!, "/stream/a", MODEL_REQUEST_HEADERS))
      .status,
    200,
  );
  for (const entry of others) {
    await until(() => level(entry) < 0);
    assert.equal(
      (await sendClientRequest(entry, "/stream/a", MODEL_REQUEST_HEADERS))
        .status,
      429,
    );
  }
});

test("restarted entry takes over the usage of a limit from its peers", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  await world.engine("i-1");
  await useConfig(world, limited(2, 1000));
  const [first, second] = world.entries;
  await until(() => level(first!) === 1000);
  await useConfig(world, limited(3, 10, 1000));
  await until(() => stateContains(second!, '"configVersion":3'));
  assert.equal(
    (await sendClientRequest(first!, "/stream/a", MODEL_REQUEST_HEADERS))
      .status,
    200,
  );
  await until(() => level(second!) < 0);
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() => level(again) < 0);
  assert.equal(
    (await sendClientRequest(again, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    429,
  );
});

test("unreachable seeds get no share of a limit", async (t) => {
  const world = await openWorld(t, {
    staleSeeds: ["127.0.0.77", "127.0.0.78"],
  });
  await useConfig(world, limited(2, 1000));
  await until(() => level(world) === 1000);
});

test("request that no server ran is not charged", async (t) => {
  const world = await openWorld(t);
  await useConfig(world, limited(2, 1000, 100_000));
  const before = level(world);
  assert.equal(
    (await sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    503,
  );
  assert.ok(level(world) >= before);
});

test("request that runs at a second server is charged twice", async (t) => {
  const world = await openWorld(t);
  const [first, second] = [
    await world.engine("i-1"),
    await world.engine("i-2"),
  ];
  await useConfig(world, limited(2, 1, 100_000));
  const before = level(world);
  first.faults.cutAfterEvents = second.faults.cutAfterEvents = 1;
  await sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS);
  assert.ok(level(world) <= before - 2 * PROMPT_COST + 10);
});

test("request without a prompt is charged the configured cost", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  await useConfig(world, limited(2, 1, 100_000));
  const before = level(world);
  assert.equal((await sendClientRequest(world, "/look/a")).status, 200);
  assert.ok(Math.abs(before - level(world) - 200) <= 10);
});

test("workspace without a limit is not charged", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  for (let i = 0; i < 20; i++) {
    assert.equal((await sendAdmitted(world, "/look/a")).status, 200);
  }
  assert.ok(stateContains(world, '"quotas":[]'));
});
