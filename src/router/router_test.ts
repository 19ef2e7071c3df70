import assert from "node:assert/strict";
import { createServer, request as httpRequest } from "node:http";
import { test, type TestContext } from "node:test";
import {
  PLAIN_BODY,
  StandinPlatformStore,
  StandinPlatformWorker,
  type StandinPlatformWorkerOptions,
} from "../standin/mod.ts";
import { silentLog } from "./_kit.ts";
import { ChoiceName } from "./choose.ts";
import { Router } from "./router.ts";

const HOST = "salon.example";
const KEY = "key-of-w";
const CONFIG = {
  version: 1,
  routes: [
    route("stream", { kind: "streaming", allow_resume: true, max_attempts: 2 }),
    route("once", { kind: "streaming", allow_resume: false }),
    route("book", { kind: "unsafe", service: "plain" }),
    route("look", { kind: "safe", service: "plain", max_attempts: 2 }),
    route("open", { kind: "safe", service: "plain", allow_anonymous: true }),
    route("brief", { kind: "unsafe", service: "plain", timeout_ms: 300 }),
  ],
  services: [
    {
      name: "engines",
      health_path: "/health",
      max_connections: 100,
      engine: {
        slots: 4,
        kv_capacity_tokens: 100_000,
        models: [{ name: "m" }],
      },
    },
    { name: "plain", health_path: "/health", max_connections: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1000,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: "w", api_keys: [KEY], priority: 1, isolated: true }],
};

function route(name: string, fields: object): Record<string, unknown> {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    timeout_ms: 5000,
    target_latency_ms: 500,
    priority: 1,
    service: "engines",
    max_attempts: 1,
    allow_anonymous: false,
    allow_resume: false,
    ...fields,
  };
}

interface World {
  store: StandinPlatformStore;
  router: Router;
  clientPort: number;
  readinessPort: number;
  worker(
    id: string,
    options?: Partial<StandinPlatformWorkerOptions>,
  ): Promise<StandinPlatformWorker>;
  engine(id: string): Promise<StandinPlatformWorker>;
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  assert.ok(address && typeof address === "object");
  await new Promise((resolve) => server.close(resolve));
  return address.port;
}

async function openWorld(t: TestContext): Promise<World> {
  const world = await openBareWorld(t);
  await world.store.put("op/config", CONFIG);
  await until(async () => await readiness(world.readinessPort) === 200);
  return world;
}

/** A world whose store is empty. */
async function openBareWorld(t: TestContext): Promise<World> {
  const store = await StandinPlatformStore.create();
  const at = (port: number) => ({ ipAddress: "127.0.0.1", port });
  const [storeHost = "", storePort] = store.address.split(":");
  const clientPort = await freePort();
  const readinessPort = await freePort();
  const router = await Router.create({
    log: silentLog,
    settings: {
      instance: "entry-1",
      zone: "a",
      ipAddress: "127.0.0.1",
      clientAddress: at(clientPort),
      readinessAddress: at(readinessPort),
      controlAddress: at(await freePort()),
      peerPort: await freePort(),
      seedAddresses: [],
      storeAddress: { ipAddress: storeHost, port: Number(storePort) },
      graceMs: 2000,
      orderTurnMs: 0,
      logLevel: "silent",
      choice: ChoiceName.cost,
    },
  });
  const workers: StandinPlatformWorker[] = [];
  const worker: World["worker"] = async (id, options = {}) => {
    const made = await StandinPlatformWorker.create({ id, ...options });
    workers.push(made);
    const service = options.model ? "engines" : "plain";
    await store.put(`servers/${id}`, made.entry(service));
    await until(() => JSON.stringify(router.state()).includes(id));
    return made;
  };
  t.after(async () => {
    await router.stop();
    for (const made of workers) await made.close();
    await store.close();
  });
  const engine = (id: string) => worker(id, { model: "m" });
  return { store, router, clientPort, readinessPort, worker, engine };
}

async function useConfig(world: World, config: typeof CONFIG): Promise<void> {
  await world.store.put("op/config", config);
  const inForce = `"configVersion":${config.version}`;
  await until(() => JSON.stringify(world.router.state()).includes(inForce));
}

async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!await holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

interface Asked {
  status: number;
  headers: Record<string, unknown>;
  body: string;
  /** Whether the answer came to its end. */
  isWhole: boolean;
}

function ask(
  { clientPort }: World,
  path: string,
  headers: Record<string, string> = {},
): Promise<Asked> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: "127.0.0.1",
      port: clientPort,
      method: "POST",
      path,
      agent: false,
      headers: {
        host: HOST,
        "attempt-id": "attempt-1",
        "deadline-ms": "4000",
        authorization: `Bearer ${KEY}`,
        ...headers,
      },
    }, (response) => {
      let body = "";
      const settle = (isWhole: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isWhole,
        });
      response.on("data", (chunk) => body += chunk);
      response.on("end", () => settle(response.complete));
      response.on("error", () => settle(false));
    });
    request.on("error", reject);
    request.end("payload");
  });
}

const PROMPT = {
  model: "m",
  "token-usage": "1200,80",
  "prompt-prefix": "aa:1000,bb:200",
};

function streamOf(events: number): string {
  return StandinPlatformWorker.streamText("x", events);
}

test("call passes to its service and back, without the key", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const asked = await ask(world, "/book/a?b=%2F", {
    "cache-salt": "forged",
    tenant: "forged",
    connection: "close, x-mine",
    "x-mine": "1",
    "x-kept": "2",
  });
  assert.equal(asked.status, 200);
  assert.equal(asked.body, PLAIN_BODY);
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

test("stream passes whole, under the workspace's own salt", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  const asked = await ask(world, "/stream/a", PROMPT);
  assert.equal(asked.body, streamOf(4));
  assert.ok(asked.isWhole);
  const { headers } = worker.runs[0]!;
  assert.equal(headers["cache-salt"], "w1.w");
  assert.equal(headers["expect-version"], "1");
});

test("broken stream goes on at another server behind the last event", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  for (const worker of workers) worker.faults.cutAfterEvents = 2;
  const first = ask(world, "/stream/a", PROMPT);
  await until(() => workers.some(({ runs }) => runs.length > 0));
  for (const worker of workers) {
    if (worker.runs.length === 0) worker.faults.cutAfterEvents = undefined;
  }
  const asked = await first;
  assert.equal(asked.body, streamOf(4));
  assert.ok(asked.isWhole);
  const resumed = workers.flatMap(({ runs }) => runs).filter(({ headers }) =>
    headers["last-event-id"] !== undefined
  );
  assert.deepEqual(resumed.map(({ headers }) => headers["last-event-id"]), [
    "2",
  ]);
});

test("broken stream that may not be resumed ends broken, run once", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  for (const worker of workers) worker.faults.cutAfterEvents = 2;
  const asked = await ask(world, "/once/a", PROMPT);
  assert.equal(asked.body, streamOf(2));
  assert.equal(asked.isWhole, false);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("call that may have run is not sent again", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  for (const worker of workers) worker.faults.loseAnswer = 9;
  const asked = await ask(world, "/book/a");
  assert.equal(asked.status, 502);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("idempotent call is sent to another server", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  for (const fault of ["loseAnswer", "fail", "unframed", "foreign"] as const) {
    for (const worker of workers) worker.runs.length = 0;
    workers[0]!.faults[fault] = 9;
    const asked = await ask(world, "/look/a");
    assert.equal(asked.status, 200, fault);
    assert.equal(asked.headers["server-seal"], "seal-i-2", fault);
    workers[0]!.faults[fault] = 0;
  }
});

test("refused call goes elsewhere, and is refused as not run if all refuse", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  workers[0]!.faults.refuse = 1;
  assert.equal((await ask(world, "/book/a")).status, 200);
  for (const worker of workers) worker.faults.refuse = 99;
  const asked = await ask(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) <= 4 / 3);
  assert.equal(asked.headers["server-seal"], undefined);
  assert.equal(workers.flatMap(({ runs }) => runs).length, 1);
});

test("server's own failure passes with its signature", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.fail = 1;
  const asked = await ask(world, "/book/a");
  assert.equal(asked.status, 500);
  assert.equal(asked.headers["server-seal"], "seal-i-1");
});

test("answer without framing is not passed on as whole", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.unframed = 1;
  assert.equal((await ask(world, "/book/a")).status, 502);
});

test("answer to another request reaches nobody", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.foreign = 1;
  assert.equal((await ask(world, "/book/a")).status, 502);
});

test("request gets its final answer at the route's time", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.hang = 1;
  assert.equal((await ask(world, "/brief/a")).status, 504);
});

test("headers over the configured bound are refused", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const limits = { ...CONFIG.limits, max_header_bytes: 2000 };
  await useConfig(world, { ...CONFIG, version: 2, limits });
  const asked = await ask(world, "/book/a", { "x-long": "x".repeat(2000) });
  assert.equal(asked.status, 431);
  assert.equal(asked.headers["connection"], "close");
  assert.equal(worker.runs.length, 0);
  const within = await ask(world, "/book/a", { "x-long": "x".repeat(1500) });
  assert.equal(within.status, 200);
});

test("server with as many connections as it takes gets no further call", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const services = CONFIG.services.map((service) => ({
    ...service,
    max_connections: 1,
  }));
  await useConfig(world, { ...CONFIG, version: 2, services });
  worker.faults.hang = 1;
  const first = ask(world, "/brief/a");
  await until(() => worker.runs.length === 1);
  assert.equal((await ask(world, "/book/a")).status, 503);
  assert.equal((await first).status, 504);
  assert.equal((await ask(world, "/book/a")).status, 200);
});

test("without a server the request is refused as not run", async (t) => {
  const world = await openWorld(t);
  const asked = await ask(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) > 0);
});

test("unknown key, route and too large a body are refused", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const other = { authorization: "Bearer other" };
  assert.equal((await ask(world, "/book/a", other)).status, 401);
  assert.equal((await ask(world, "/open/a", other)).status, 200);
  assert.equal((await ask(world, "/none/a")).status, 404);
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

test("server at an address that was used by another gets nothing", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-2");
  await world.store.put("servers/i-1", worker.entry("plain"));
  await until(() => JSON.stringify(world.router.state()).includes("i-1"));
  for (let i = 0; i < 4; i++) {
    assert.equal((await ask(world, "/book/a")).status, 200);
  }
  assert.ok(
    worker.runs.every(({ headers }) => headers["expect-instance"] === "i-2"),
  );
});

test("newer configuration is in force, an older one never again", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  assert.equal((await ask(world, "/book/a")).status, 200);
  const revoked = { ...CONFIG, version: 3, tenants: [{ name: "w" }] };
  await world.store.put("op/config", revoked);
  await until(async () => (await ask(world, "/book/a")).status === 401);
  await world.store.put("op/config", { ...CONFIG, version: 2 });
  await world.worker("i-2");
  assert.equal((await ask(world, "/book/a")).status, 401);
});

test("malformed values are left aside", async (t) => {
  const world = await openWorld(t);
  await world.store.put("servers/i-bad", { service: 1 });
  await world.store.put("op/config", { version: 9 });
  const worker = await world.worker("i-1");
  assert.equal((await ask(world, "/book/a")).status, 200);
  assert.equal(worker.runs.length, 1);
});

test("entry serves on while the store is down", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  await world.store.down();
  for (let i = 0; i < 3; i++) {
    assert.equal((await ask(world, "/book/a")).status, 200);
  }
  await world.store.up();
  await world.worker("i-2");
});

test("entry that knows no configuration refuses and is not ready", async (t) => {
  const world = await openBareWorld(t);
  assert.equal(await readiness(world.readinessPort), 503);
  const asked = await ask(world, "/book/a");
  assert.equal(asked.status, 503);
  assert.ok(Number(asked.headers["retry-after"]) > 0);
  await world.store.put("op/config", CONFIG);
  await world.worker("i-1");
  assert.equal(await readiness(world.readinessPort), 200);
  assert.equal((await ask(world, "/book/a")).status, 200);
});

async function readiness(port: number): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${port}/v1/readiness`);
  await response.body?.cancel();
  return response.status;
}

test("stop fails readiness at once and ends what runs", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.hang = 1;
  const running = ask(world, "/brief/a");
  await until(() => worker.runs.length === 1);
  const stopped = world.router.drain();
  assert.equal(await readiness(world.readinessPort), 503);
  assert.equal((await running).status, 504);
  await stopped;
});

test("named weights are ordered under a fencing number by the lease's holder", async (t) => {
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
  const asked = await ask(world, "/stream/a", PROMPT);
  assert.equal(asked.headers["weight-versions"], "2");
});
