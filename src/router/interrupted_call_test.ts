/** What a client sends behind a request must not replace the answer to it. */
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Metrics, systemClock } from "../base/mod.ts";
import { silentLog, testIngressLimits } from "./_kit.ts";
import { Ingress } from "./ingress.ts";
import { type ClientLimits, RequestKind } from "./model.ts";
import type { AnswerSink } from "./request.ts";
import { RoutingTable } from "./routing_table.ts";
import { until } from "./_world.ts";

/** Time for an ingress to react to what it was sent. */
const REACTION_MS = 100;
const HEADER_TIMEOUT_MS = 100;
/** Longer than Node's interval of checking connections for timeouts. */
const TIMEOUT_CHECK_MS = 31_000;
const LARGE_HEADER_BYTES = 70 * 1024;

const LIMITS: ClientLimits = {
  headerBytes: 10_000,
  bodyBytes: 10_000,
  headerTimeoutMs: HEADER_TIMEOUT_MS,
  idleTimeoutMs: 30_000,
};

const TABLE = RoutingTable.create({
  version: 1,
  routes: [{
    name: "r",
    host: "a.example",
    pathPrefix: "/",
    kind: RequestKind.unsafe,
    timeoutMs: 60_000,
    targetLatencyMs: 100,
    priority: 0,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    anonymous: true,
    resumable: false,
  }],
  services: [],
  limits: LIMITS,
  workspaces: [],
});

/** An ingress whose requests run until the test answers them, and a client's connection to it. */
async function openIngress(t: TestContext) {
  const sinks = new Map<string, AnswerSink>();
  const ingress = Ingress.create({
    clock: systemClock,
    ...testIngressLimits(),
    log: silentLog,
    // Nothing is shed, whatever the load of the computer.
    random: () => Infinity,
    lag: { ms: 0 },
    peersHaveRoom: () => true,
    metrics: Metrics.create(),
    table: () => TABLE,
    knowledgeAgeMs: () => 0,
    serve: async ({ facts }, sink) => {
      sinks.set(facts.target, sink);
      await new Promise<void>((resolve) => sink.onGone(resolve));
      return { outcome: { kind: "client_gone" }, servers: [], ends: [] };
    },
    onServed: () => {},
    onLocalAnswer: () => {},
  });
  ingress.applyLimits();
  const port = await freePort();
  await ingress.listen("127.0.0.1", port);
  t.after(() => ingress.close());
  const client = connect(port, "127.0.0.1");
  client.on("error", () => {});
  const received = collect(client);
  const run = async (target: string) => {
    client.write(headOf(target));
    await until(() => sinks.has(target));
  };
  const answer = (target: string) =>
    sinks.get(target)!.send(
      { status: 200, headers: [] },
      Buffer.from(`answer to ${target}`),
    );
  return { ingress, client, received, run, answer, sinks };
}

function headOf(target: string): string {
  return `POST ${target} HTTP/1.1\r\nhost: a.example\r\n` +
    "content-length: 0\r\n\r\n";
}

function collect(client: Socket): () => string {
  let text = "";
  client.on("data", (bytes) => text += bytes.toString("latin1"));
  return () => text;
}

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

function statusesOf(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
}

const BEHIND: Record<string, { bytes: string; waitMs?: number }> = {
  "bytes that are no head": { bytes: "no head\r\n\r\n" },
  "a head that is too large": {
    bytes: `GET /b HTTP/1.1\r\nx: ${"x".repeat(LARGE_HEADER_BYTES)}`,
  },
  "a body with a wrong chunk": {
    bytes: "POST /b HTTP/1.1\r\nhost: a.example\r\n" +
      "transfer-encoding: chunked\r\n\r\nno chunk\r\n",
  },
  "a head that stays unfinished": {
    bytes: "POST /b HTTP/1.1\r\nho",
    waitMs: TIMEOUT_CHECK_MS,
  },
};

for (const [name, { bytes, waitMs = REACTION_MS }] of Object.entries(BEHIND)) {
  // Guards against a promise that a request has not run, while it runs.
  test(`running request is answered in spite of ${name} behind it`, async (t) => {
    const { client, received, run, answer } = await openIngress(t);
    await run("/a");
    client.write(bytes);
    await sleep(waitMs);
    assert.equal(received(), "");
    answer("/a");
    await until(() => client.closed);
    assert.deepEqual(statusesOf(received()), ["200"]);
    assert.match(received(), /answer to \/a$/);
  });
}

// Guards against a stream that is cut because of what its client sent behind its request.
test("begun stream goes on in spite of bytes that are no head behind its request", async (t) => {
  const { client, received, run, sinks } = await openIngress(t);
  await run("/a");
  const sink = sinks.get("/a")!;
  sink.begin({ status: 200, headers: [] });
  await sink.write(Buffer.from("first"));
  client.write("no head\r\n\r\n");
  await sleep(REACTION_MS);
  await sink.write(Buffer.from("last"));
  sink.end();
  await until(() => client.closed);
  assert.match(received(), /first[^]*last\r\n0\r\n\r\n$/);
});

// Guards against a call that goes on, and a connection that stays open, for a client that is gone.
test("client that closes behind bytes that are no head is gone", async (t) => {
  const { ingress, client, run, sinks } = await openIngress(t);
  await run("/a");
  client.write("no head\r\n\r\n");
  await sleep(REACTION_MS);
  client.end();
  await until(() => sinks.get("/a")!.gone);
  assert.equal(ingress.active, 0);
});

// Guards against answers that are lost behind the first one.
test("pipelined requests are all answered in spite of bytes that are no head behind them", async (t) => {
  const { client, received, run, answer } = await openIngress(t);
  await run("/a");
  await run("/b");
  client.write("no head\r\n\r\n");
  await sleep(REACTION_MS);
  answer("/b");
  answer("/a");
  await until(() => client.closed);
  assert.match(received(), /answer to \/a[^]*answer to \/b$/);
});

// Guards against answers that a stop cuts because they wait behind another one.
test("pipelined requests are all answered during a stop", async (t) => {
  const { ingress, received, run, answer } = await openIngress(t);
  await run("/a");
  await run("/b");
  const drained = ingress.drain(10_000, () => false);
  answer("/a");
  await sleep(REACTION_MS);
  answer("/b");
  await drained;
  assert.match(received(), /answer to \/a[^]*answer to \/b$/);
});

// Guards against a run whose answer can't be delivered.
test("request behind an answer that closes its connection is not run", async (t) => {
  const { ingress, client, received, run, sinks } = await openIngress(t);
  await run("/a");
  const drained = ingress.drain(10_000, () => false);
  const sink = sinks.get("/a")!;
  sink.begin({ status: 200, headers: [] });
  await sink.write(Buffer.from("first"));
  await until(() => received().includes("first"));
  client.write(headOf("/b"));
  await sleep(REACTION_MS);
  sink.end();
  await drained;
  assert.deepEqual([...sinks.keys()], ["/a"]);
});

const ALONE: Record<string, { bytes: string; status: string }> = {
  "bytes that are no head": { bytes: "no head\r\n\r\n", status: "400" },
  "a head that is too large": {
    bytes: BEHIND["a head that is too large"]!.bytes,
    status: "431",
  },
  "a body with a wrong chunk": {
    bytes: BEHIND["a body with a wrong chunk"]!.bytes,
    status: "400",
  },
};

for (const [name, { bytes, status }] of Object.entries(ALONE)) {
  // Guards against clients that wait for an answer which never comes.
  test(`connection without a running request is answered and closed: ${name}`, async (t) => {
    const { ingress, client, received } = await openIngress(t);
    client.write(bytes);
    await until(() => client.closed);
    assert.deepEqual(statusesOf(received()), [status]);
    assert.equal(ingress.active, 0);
  });
}
