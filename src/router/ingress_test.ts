import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Metrics, systemClock } from "../base/mod.ts";
import { silentLog, testIngressLimits } from "./_kit.ts";
import { Ingress } from "./ingress.ts";
import { RequestKind } from "./model.ts";
import type { LocalAnswer } from "./request.ts";
import { RoutingTable } from "./routing_table.ts";
import { until } from "./_world.ts";

const TABLE = RoutingTable.create({
  version: 1,
  routes: [{
    name: "r",
    host: "a.example",
    pathPrefix: "/",
    kind: RequestKind.safe,
    timeoutMs: 30_000,
    targetLatencyMs: 100,
    priority: 0,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    anonymous: true,
    resumable: false,
  }],
  services: [],
  limits: {
    headerBytes: 10_000,
    bodyBytes: 10_000,
    headerTimeoutMs: 30_000,
    idleTimeoutMs: 30_000,
  },
  workspaces: [],
});

/** An ingress whose requests are served until their client disconnects. */
async function openIngress(
  { lagMs = 0, peersHaveRoom = true, random = Infinity } = {},
) {
  const answers: LocalAnswer[] = [];
  const served: string[] = [];
  const targets: string[] = [];
  const ingress = Ingress.create({
    clock: systemClock,
    ...testIngressLimits(),
    log: silentLog,
    // By default nothing is shed, whatever the load of the computer.
    random: () => random,
    lag: { ms: lagMs },
    peersHaveRoom: () => peersHaveRoom,
    metrics: Metrics.create(),
    table: () => TABLE,
    knowledgeAgeMs: () => 0,
    serve: async ({ facts }, sink) => {
      targets.push(facts.target);
      await new Promise<void>((resolve) => sink.onGone(resolve));
      return { outcome: { kind: "client_gone" }, servers: [], ends: [] };
    },
    onServed: (_request, { outcome }) => served.push(outcome.kind),
    onLocalAnswer: (_facts, answer) => answers.push(answer),
  });
  const port = await freePort();
  await ingress.listen("127.0.0.1", port);
  const client = connect(port, "127.0.0.1");
  client.on("error", () => {});
  // A client that doesn't read an answer doesn't notice that its connection was closed after it.
  client.resume();
  const ask = (target: string) =>
    client.write(`GET ${target} HTTP/1.1\r\nhost: a.example\r\n\r\n`);
  return { ingress, client, ask, answers, served, targets, port };
}

// Guards against requests that end with the process and without a log line.
test("request that a stop aborts is logged as aborted, not as left by its client", async () => {
  const { ingress, client, ask, answers, served, targets } =
    await openIngress();
  ask("/a");
  await until(() => targets.length === 1);
  await ingress.drain(50, () => false);
  await until(() => client.closed);
  assert.deepEqual(answers, ["aborted"]);
  assert.deepEqual(served, []);
  assert.equal(ingress.active, 0);
});

// Guards against closing connections without an answer while something holds up those who serve them.
test("request that is still served at the end of a stop gets 502", async () => {
  const { ingress, client, ask, targets } = await openIngress();
  let answer = "";
  client.on("data", (bytes) => answer += bytes);
  ask("/a");
  await until(() => targets.length === 1);
  await ingress.drain(50, () => false);
  await until(() => client.closed);
  assert.match(answer, /^HTTP\/1\.1 502 [^]*connection: close/i);
});

// Guards against counting them for good, which makes each stop last its whole grace time.
test("pipelined requests of a client that disconnects are no longer in flight", async () => {
  const { ingress, client, ask, targets } = await openIngress();
  ask("/a");
  ask("/b");
  await until(() => targets.length === 2);
  client.destroy();
  await until(() => ingress.active === 0);
  await ingress.close();
});

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

// Guards against reading requests that this entry can only refuse, while others could serve them.
test("entry that stays behind closes new connections unread while others have room", async () => {
  const { ingress, answers, targets, port } = await openIngress({
    lagMs: 1000,
    random: 0,
  });
  await connectUntilClosed(port);
  const readCount = answers.length;
  await askOnce(port);
  assert.equal(answers.length, readCount);
  assert.deepEqual(targets, []);
  await ingress.close();
});

test("entry that stays behind reads and refuses requests if no other one has room", async () => {
  const { ingress, answers, port } = await openIngress({
    lagMs: 1000,
    random: 0,
    peersHaveRoom: false,
  });
  for (let i = 0; i < 50; i++) {
    const client = await askOnce(port);
    assert.ok(client.bytesRead > 0);
    await sleep(20);
  }
  assert.equal(answers.filter((answer) => answer === "overloaded").length, 50);
  await ingress.close();
});

/** Sends a request on a connection of its own and waits until it is answered or closed. */
async function askOnce(port: number): Promise<Socket> {
  const client = connect(port, "127.0.0.1");
  client.on("error", () => {});
  client.on("data", () => client.end());
  client.write("GET /a HTTP/1.1\r\nhost: a.example\r\n\r\n");
  await until(() => client.closed);
  return client;
}

/** Asks again and again until a connection is closed unread. */
async function connectUntilClosed(port: number): Promise<Socket> {
  while (true) {
    const client = await askOnce(port);
    if (client.bytesRead === 0) return client;
    await sleep(20);
  }
}
