import assert from "node:assert/strict";
import { test } from "node:test";
import {
  StandinInstanceList,
  StandinService,
  StandinWeightStore,
} from "../standin/mod.ts";
import {
  HttpInstanceList,
  HttpService,
  HttpWeightStore,
  type Instance,
  type ServiceCall,
} from "./mod.ts";

const BOOKING: ServiceCall = {
  method: "POST",
  path: "/bookings",
  headers: [
    { name: "Idempotency-Key", value: "k1" },
    { name: "Connection", value: "close" },
  ],
  body: Buffer.from("first bath"),
};

async function openService() {
  const server = await StandinService.create();
  const service = HttpService.create({ url: server.url });
  const close = async () => {
    service.close();
    await server.close();
  };
  return { server, service, close };
}

async function collectCall(service: HttpService, call: ServiceCall) {
  const { signal } = new AbortController();
  const kinds: string[] = [];
  let body = "";
  for await (const step of service.run(call, signal)) {
    kinds.push(step.isOk ? step.value.kind : step.error.kind);
    if (step.isOk && step.value.kind === "piece") body += step.value.data;
  }
  return { kinds, body };
}

function instance(id: string, state: Instance["state"]): Instance {
  const address = "127.0.0.1:1";
  return { id, role: "agent", zone: "z1", address, pool: "notes", state };
}

test("a call is forwarded once with its body and idempotency key", async () => {
  const { server, service, close } = await openService();
  const { kinds, body } = await collectCall(service, BOOKING);
  assert.deepEqual(kinds, ["head", "piece", "end"]);
  assert.equal(JSON.parse(body).execution, 1);
  assert.deepEqual(server.executions, [
    { number: 1, idempotencyKey: "k1", body: "first bath" },
  ]);
  await close();
});

test("a lost response and a lost request both fail as broken", async () => {
  const { server, service, close } = await openService();
  await server.setFaults({ dropAnswers: 1 });
  assert.deepEqual((await collectCall(service, BOOKING)).kinds, ["broken"]);
  assert.equal(server.executions.length, 1);
  await server.setFaults({ dropRequests: 1 });
  assert.deepEqual((await collectCall(service, BOOKING)).kinds, ["broken"]);
  assert.equal(server.executions.length, 1);
  await close();
});

test("a refused connection is reported as unreachable", async () => {
  const { server, service, close } = await openService();
  await server.down();
  assert.deepEqual((await collectCall(service, BOOKING)).kinds, [
    "unreachable",
  ]);
  await close();
});

test("a call that cannot be sent is reported as unreachable", async () => {
  const { server, service, close } = await openService();
  const call = { ...BOOKING, path: "no-slash" };
  assert.deepEqual((await collectCall(service, call)).kinds, ["unreachable"]);
  assert.equal(server.executions.length, 0);
  await close();
});

test("the instance list returns all instances, then changes", async () => {
  const server = await StandinInstanceList.create();
  const list = HttpInstanceList.create({ url: server.url });
  const { signal } = new AbortController();
  server.set([instance("a", "live"), instance("b", "live")]);
  const all = await list.changes(0, 0, signal);
  assert.ok(all.isOk && all.value.full);
  assert.equal(all.value.instances.length, 2);
  const waiting = list.changes(all.value.revision, 10_000, signal);
  server.set([instance("b", "leaving")]);
  const changes = await waiting;
  assert.ok(changes.isOk && !changes.value.full);
  assert.deepEqual(changes.value.instances, [instance("b", "leaving")]);
  await server.down();
  const failed = await list.changes(0, 0, signal);
  assert.ok(failed.isErr);
  list.close();
  await server.close();
});

test("the weight store client reports missing weights and rate limiting", async () => {
  const server = await StandinWeightStore.create({ callsPerSecond: 2 });
  const weights = HttpWeightStore.create({ url: server.url });
  const found = await weights.find("notes", "1");
  assert.ok(found.isOk);
  const missing = await weights.find("notes", "2");
  assert.ok(missing.isErr && missing.error.kind === "not_found");
  const limited = await weights.find("notes", "1");
  assert.ok(limited.isErr && limited.error.kind === "rate_limited");
  weights.close();
  await server.close();
});
