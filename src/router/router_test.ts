import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import { test } from "node:test";
import {
  completeStreamBody,
  CONFIG,
  fetchReadinessStatus,
  HOST,
  KEY,
  MODEL_REQUEST_HEADERS,
  NO_FAULTS,
  PLAIN_ANSWER_BODY,
  sendClientRequest,
} from "../standin/mod.ts";
import { sendAdmitted } from "./_admitted_client.ts";
import {
  openBareWorld,
  openWorld,
  stateContains,
  until,
  useConfig,
  type World,
} from "./_world.ts";

test("call is forwarded to its service without the API key", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const asked = await sendClientRequest(world, "/book/a?b=%2F", {
    "cache-salt": "forged",
    tenant: "forged",
    connection: "close, x-mine",
    "x-mine": "1",
    "x-kept": "2",
  });
  assert.equal(asked.status, 200);
  assert.equal(asked.body, PLAIN_ANSWER_BODY);
  assert.equal(asked.headers["server-seal"], "seal-i-1");
  const [run] = worker.runs;
  assert.equal(run?.target, "/book/a?b=%2F");
  assert.equal(run.body, "payload");
  assert.equal(run.headers["attempt-id"], "attempt-1");
  assert.equal(run.headers["expect-instance"], "i-1");
  assert.equal(run.headers["tenant"], "w");
  assert.equal(run.headers["authorization"], undefined);
  assert.equal(run.headers["cache-salt"], undefined);
  assert.equal(run.headers["x-mine"], undefined);
  assert.equal(run.headers["x-kept"], "2");
  assert.ok(Number(run.headers["deadline-ms"]) <= 4000);
});

test("stream is forwarded completely, with the workspace's cache salt", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  const asked = await sendClientRequest(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(asked.body, completeStreamBody(4));
  assert.ok(asked.isComplete);
  const { headers } = worker.runs[0]!;
  assert.equal(headers["cache-salt"], "w1.w");
  assert.equal(headers["expect-version"], "1");
});

test("broken stream is resumed at another server after the last event", async (t) => {
  const world = await openWorld(t);
  // Either engine breaks off its first stream.
  const faults = { ...NO_FAULTS, cutAfterEvents: 2 };
  const workers = [
    await world.worker("i-1", { model: "m", faults }),
    await world.worker("i-2", { model: "m", faults }),
  ];
  const asked = await sendClientRequest(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(asked.body, completeStreamBody(4));
  assert.ok(asked.isComplete);
  const resumed = workers.flatMap(({ runs }) => runs).filter(({ headers }) =>
    headers["last-event-id"] !== undefined
  );
  assert.deepEqual(resumed.map(({ headers }) => headers["last-event-id"]), [
    "2",
  ]);
});

test("broken stream that may not be resumed ends broken after one run", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  for (const worker of workers) worker.faults.cutAfterEvents = 2;
  const asked = await sendClientRequest(
    world,
    "/once/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(asked.body, completeStreamBody(2));
  assert.equal(asked.isComplete, false);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("call that may have run is not sent again", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  for (const worker of workers) worker.faults.loseAnswer = 9;
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 502);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("failed idempotent call is sent to another server", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  for (const fault of ["loseAnswer", "fail", "foreign"] as const) {
    for (const worker of workers) worker.runs.length = 0;
    workers[0]!.faults[fault] = 9;
    const asked = await sendClientRequest(world, "/look/a");
    assert.equal(asked.status, 200, fault);
    assert.equal(asked.headers["server-seal"], "seal-i-2", fault);
    workers[0]!.faults[fault] = 0;
  }
});

test("refused call is sent to another server, and refused as not run if all refuse", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  workers[0]!.faults.refuse = 1;
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  for (const worker of workers) worker.faults.refuse = 99;
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) <= 4 / 3);
  assert.equal(asked.headers["server-seal"], undefined);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("server's own error response is forwarded with its signature", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.fail = 1;
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 500);
  assert.equal(asked.headers["server-seal"], "seal-i-1");
});

test("response without framing is forwarded once its connection has ended", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.unframed = 1;
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 200);
  assert.equal(asked.body, "done");
  assert.ok(asked.isComplete);
  assert.equal(worker.runs.length, 1);
});

test("response to another request is not forwarded", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.foreign = 1;
  assert.equal((await sendClientRequest(world, "/book/a")).status, 502);
});

test("request gets a final response at the route's timeout", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.hang = 1;
  assert.equal((await sendClientRequest(world, "/brief/a")).status, 504);
});

test("headers over the configured limit are refused", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const limits = { ...CONFIG.limits, max_header_bytes: 2000 };
  await useConfig(world, { ...CONFIG, version: 2, limits });
  const asked = await sendAdmitted(world, "/book/a", {
    "x-long": "x".repeat(2000),
  });
  assert.equal(asked.status, 431);
  assert.equal(asked.headers["connection"], "close");
  assert.equal(worker.runs.length, 0);
  const within = await sendAdmitted(world, "/book/a", {
    "x-long": "x".repeat(1500),
  });
  assert.equal(within.status, 200);
});

test("server at its connection limit gets no further call", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const services = CONFIG.services.map((service) => ({
    ...service,
    max_connections: 1,
  }));
  await useConfig(world, { ...CONFIG, version: 2, services });
  worker.faults.hang = 1;
  const first = sendClientRequest(world, "/brief/a");
  await until(() => worker.runs.length === 1);
  assert.equal((await sendClientRequest(world, "/book/a")).status, 503);
  assert.equal((await first).status, 504);
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
});

test("request without an available server is refused as not run", async (t) => {
  const world = await openWorld(t);
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) > 0);
});

test("unknown key, unknown route and too large a body are refused", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const other = { authorization: "Bearer other" };
  assert.equal((await sendClientRequest(world, "/book/a", other)).status, 401);
  assert.equal((await sendClientRequest(world, "/open/a", other)).status, 200);
  assert.equal((await sendClientRequest(world, "/none/a")).status, 404);
  const large = { "content-length": "1001" };
  const asked = await askLarge(world, large);
  assert.equal(asked, 413);
});

function askLarge(
  { clientPort }: World,
  headers: Record<string, string>,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: "127.0.0.1",
      port: clientPort,
      method: "POST",
      path: "/book/a",
      agent: false,
      headers: { host: HOST, authorization: `Bearer ${KEY}`, ...headers },
    }, (response) => resolve(response.statusCode ?? 0));
    request.on("error", reject);
    request.end("x".repeat(1001));
  });
}

test("server whose address is used by another one gets no requests", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-2");
  await world.store.put("servers/i-1", worker.entry("plain"));
  await until(() => stateContains(world, "i-1"));
  for (let i = 0; i < 4; i++) {
    assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  }
  assert.ok(
    worker.runs.every(({ headers }) => headers["expect-instance"] === "i-2"),
  );
});

test("newer configuration takes effect, an older one is ignored", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  const revoked = { ...CONFIG, version: 3, tenants: [{ name: "w" }] };
  await world.store.putConfig(revoked);
  await until(async () =>
    (await sendClientRequest(world, "/book/a")).status === 401
  );
  await world.store.putConfig({ ...CONFIG, version: 2 });
  await world.worker("i-2");
  assert.equal((await sendClientRequest(world, "/book/a")).status, 401);
});

test("malformed values in the store are ignored", async (t) => {
  const world = await openWorld(t);
  await world.store.put("servers/i-bad", { service: 1 });
  await world.store.putConfig({ version: 9 });
  const worker = await world.worker("i-1");
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  assert.equal(worker.runs.length, 1);
});

test("router keeps serving while the store is down", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  await world.store.down();
  for (let i = 0; i < 3; i++) {
    assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  }
  await world.store.up();
  await world.worker("i-2");
});

test("router without a configuration refuses requests and is not ready", async (t) => {
  const world = await openBareWorld(t);
  assert.equal(await fetchReadinessStatus(world.readinessPort), 503);
  const asked = await sendClientRequest(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) > 0);
  await world.store.putConfig(CONFIG);
  await world.worker("i-1");
  assert.equal(await fetchReadinessStatus(world.readinessPort), 200);
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
});

test("stop fails readiness at once and completes requests in flight", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.hang = 1;
  const running = sendClientRequest(world, "/brief/a");
  await until(() => worker.runs.length === 1);
  const stopped = world.router.drain();
  assert.equal(await fetchReadinessStatus(world.readinessPort), 503);
  assert.equal((await running).status, 504);
  await stopped;
});

test("lease holder orders the named weights with its fencing number", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => workers.every(({ version }) => version === 2));
  const orders = workers.flatMap((worker) => worker.orders);
  assert.equal(orders.length, 2);
  assert.ok(orders.every(({ holder }) => holder === "entry-1"));
  const [first] = orders;
  assert.ok(first && first.fencingToken > 0);
  assert.ok(
    orders.every(({ fencingToken }) => fencingToken === first.fencingToken),
  );
  const asked = await sendClientRequest(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(asked.headers["weight-versions"], "2");
});
