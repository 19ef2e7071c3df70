import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { StoreClaimsJournal } from "../journal/mod.ts";
import { TcpRelay } from "../standin/mod.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { RunOutcome } from "../wire/gen/cicadahitch.ts";
import { ChannelPool } from "../wire/mod.ts";
import { FakeService } from "./_fake_service.ts";
import { openAgent, RunReader, testAsk, testStart } from "./_test_kit.ts";
import { GrpcRelay } from "./relay.ts";
import { Run } from "./run.ts";

const CALL = {
  service: "s",
  method: "POST",
  path: "/",
  headers: [],
  body: Buffer.from("x"),
  idempotencyKey: "k",
  atMostOnce: true,
  fingerprint: Buffer.from("x"),
};

async function startClaimedRun(options: { silenceTimeoutMs?: number } = {}) {
  const service = FakeService.create();
  const store = MemoryStore.create();
  const clock = systemClock;
  const log = createSilentLogger();
  const journals: StoreClaimsJournal[] = [];
  const { agent, client, close } = await openAgent({
    server: { kind: "service", service },
    openJournal: (self) => {
      journals.push(StoreClaimsJournal.create({ ...self, store, clock, log }));
      return journals[0]!;
    },
  });
  const security = { kind: "plain" as const };
  const channels = ChannelPool.create({ security, clock });
  const closeAll = async () => {
    channels.close();
    await close();
    await journals[0]?.close();
  };
  const claimed = testStart("r1", {
    ask: testAsk("r1", { model: "" }),
    call: { $case: "plainCall", value: CALL },
  });
  const first = RunReader.open(client, claimed);
  return {
    agent,
    service,
    first,
    relay: GrpcRelay.create({ channels, clock, ...options }),
    closeAll,
  };
}

function createWaitingRun() {
  const limits = { maxBytes: 1000, repeatBytes: 1000 };
  const ask = testAsk("r2", { model: "" });
  return Run.create({ ask, attempt: 1, nowMs: 0, limits });
}

test("a run is copied from the agent that claimed its key", async () => {
  const { agent, service, first, relay, closeAll } = await startClaimedRun();
  await first.readAll();
  const run = createWaitingRun();
  const { address, agentIncarnation } = agent;
  const claimant = { address, agentIncarnation, runId: "r1" };
  const end = await relay.copy(run, { call: CALL, claimant });
  assert.deepEqual(end, { kind: "done", status: 201 });
  assert.equal(run.output.pieceCount, 1);
  assert.equal(service.calls.length, 1);
  await closeAll();
});

// A relay that gave up after a few silent seconds reported the run of a slow service as unknown,
// and so did all repeats of the request.
test("a run of a slow service is copied to its end", async (context) => {
  const { agent, service, first, relay, closeAll } = await startClaimedRun({
    silenceTimeoutMs: 30,
  });
  context.after(closeAll);
  service.hold();
  while (service.calls.length === 0) await service.callArrived.wait();
  const run = createWaitingRun();
  const { address, agentIncarnation } = agent;
  const claimant = { address, agentIncarnation, runId: "r1" };
  const copying = relay.copy(run, { call: CALL, claimant });
  await sleep(600);
  service.release();
  assert.deepEqual(await copying, { kind: "done", status: 201 });
  assert.equal(run.output.pieceCount, 1);
  assert.equal(service.calls.length, 1);
  await first.readAll();
});

// A failed connection does not mean that the run has failed.
test("a run is copied over a new connection after the first one is cut", async (context) => {
  const { agent, service, first, relay, closeAll } = await startClaimedRun();
  context.after(closeAll);
  service.hold();
  while (service.calls.length === 0) await service.callArrived.wait();
  const link = await TcpRelay.create({ targetAddress: agent.address });
  context.after(() => link.close());
  const run = createWaitingRun();
  const { agentIncarnation } = agent;
  const claimant = { address: link.address, agentIncarnation, runId: "r1" };
  const copying = relay.copy(run, { call: CALL, claimant });
  while (agent.dumpState().runs.attached < 2) await sleep(5);
  link.cutOpen();
  service.release();
  assert.deepEqual(await copying, { kind: "done", status: 201 });
  await first.readAll();
});

test("the outcome is unknown if another process took the claimant's place", async () => {
  const { agent, first, relay, closeAll } = await startClaimedRun();
  await first.readAll();
  const run = createWaitingRun();
  const { address } = agent;
  const claimant = { address, agentIncarnation: "earlier", runId: "r1" };
  assert.equal(await relay.copy(run, { call: CALL, claimant }), undefined);
  const { ending } = run.output;
  assert(ending?.kind === "end");
  assert.equal(ending.end.outcome, RunOutcome.UNKNOWN);
  await closeAll();
});
