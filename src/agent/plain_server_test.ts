import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { StoreClaimsJournal } from "../journal/mod.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { RefusalCode, RunOutcome } from "../wire/gen/cicadahitch.ts";
import type { AgentDependencies } from "./agent_dependencies.ts";
import { FakeService } from "./_fake_service.ts";
import { openAgent, RunReader, testAsk, testStart } from "./_test_kit.ts";

const ANSWER = ["started", "head 201", "#0 answer 1", "end 1 of 1"];
const REPEATED = ["started again", ...ANSWER.slice(1)];
const UNKNOWN = ["started", `end ${RunOutcome.UNKNOWN} of 0`];

async function openPlain(
  store = MemoryStore.create(),
  service = FakeService.create(),
) {
  const log = createSilentLogger();
  const journals: StoreClaimsJournal[] = [];
  const openJournal: AgentDependencies["openJournal"] = (self) => {
    const options = { ...self, store, clock: systemClock, log };
    const journal = StoreClaimsJournal.create(options);
    journals.push(journal);
    return journal;
  };
  const server = { kind: "service" as const, service };
  const { agent, client, close } = await openAgent({ server, openJournal });
  return {
    agent,
    client,
    crash: close,
    close: async () => {
      await close();
      await journals[0]?.close();
    },
  };
}

function start(
  runId: string,
  { key = "k", body = "x", atMostOnce = true } = {},
) {
  return testStart(runId, {
    ask: testAsk(runId, { model: "" }),
    call: {
      $case: "plainCall",
      value: {
        service: "s",
        method: "POST",
        path: "/bookings",
        headers: [],
        body: Buffer.from(body),
        idempotencyKey: key,
        atMostOnce,
        fingerprint: Buffer.from(body),
      },
    },
  });
}

test("a second caller with the same key gets the same answer", async () => {
  const service = FakeService.create();
  const { client, close } = await openPlain(MemoryStore.create(), service);
  service.hold();
  const arrived = service.callArrived.wait();
  const first = RunReader.open(client, start("r1"));
  await arrived;
  const second = RunReader.open(client, start("r2"));
  const step = await second.next();
  assert(step?.$case === "started" && step.value.repeated);
  service.release();
  assert.deepEqual(await first.readAll(), ANSWER);
  assert.deepEqual(await second.readAll(), ANSWER.slice(1));
  const third = RunReader.open(client, start("r3"));
  assert.deepEqual(await third.readAll(), REPEATED);
  assert.equal(service.calls.length, 1);
  await close();
});

test("a key reused for another request is refused", async () => {
  const service = FakeService.create();
  const { client, close } = await openPlain(MemoryStore.create(), service);
  await RunReader.open(client, start("r1")).readAll();
  const other = RunReader.open(client, start("r2", { body: "y" }));
  assert.deepEqual(await other.readAll(), [
    `refusal ${RefusalCode.KEY_REUSED}`,
  ]);
  assert.equal(service.calls.length, 1);
  await close();
});

test("a call that failed after it was sent is never resent", async () => {
  const service = FakeService.create();
  const { client, close } = await openPlain(MemoryStore.create(), service);
  service.failure = { kind: "broken", message: "" };
  assert.deepEqual(
    await RunReader.open(client, start("r1")).readAll(),
    UNKNOWN,
  );
  service.failure = undefined;
  const repeat = await RunReader.open(client, start("r2")).readAll();
  assert.equal(repeat.at(-1), UNKNOWN.at(-1));
  assert.equal(service.calls.length, 1);
  await close();
});

test("a call that never reached the service may be resent", async () => {
  const service = FakeService.create();
  const { client, close } = await openPlain(MemoryStore.create(), service);
  service.failure = { kind: "unreachable", message: "" };
  const refused = await RunReader.open(client, start("r1")).readAll();
  assert.equal(refused.at(-1), `refusal ${RefusalCode.SERVER_DOWN}`);
  service.failure = undefined;
  assert.deepEqual(await RunReader.open(client, start("r2")).readAll(), ANSWER);
  await close();
});

test("a call that can't be claimed is not run", async () => {
  const service = FakeService.create();
  const store = MemoryStore.create();
  const { client, close } = await openPlain(store, service);
  store.faults.down = true;
  const refused = await RunReader.open(client, start("r1")).readAll();
  assert.equal(refused.at(-1), `refusal ${RefusalCode.STORE_DOWN}`);
  assert.equal(service.calls.length, 0);
  const free = start("r2", { key: "", atMostOnce: false });
  assert.deepEqual(await RunReader.open(client, free).readAll(), ANSWER);
  store.faults.down = false;
  await close();
});

test("after a crash a claimed call is not resent", async () => {
  const service = FakeService.create();
  const store = MemoryStore.create();
  const before = await openPlain(store, service);
  service.hold();
  const arrived = service.callArrived.wait();
  RunReader.open(before.client, start("r1"));
  await arrived;
  await before.crash();
  const after = await openPlain(store, service);
  const repeat = await RunReader.open(after.client, start("r2")).readAll();
  assert(!repeat.includes("head 201"));
  assert.equal(service.calls.length, 1);
  await after.close();
  await before.close();
});

test("a repeat is told when the answer is no longer kept", async () => {
  const service = FakeService.create();
  const { client, close } = await openPlain(undefined, service);
  service.padding = "x".repeat(512 * 1024);
  await RunReader.open(client, start("r1")).readAll();
  const repeat = await RunReader.open(client, start("r2")).readAll();
  assert.equal(repeat.at(-1), `end ${RunOutcome.ANSWER_GONE} of 0`);
  assert.equal(service.calls.length, 1);
  await close();
});
