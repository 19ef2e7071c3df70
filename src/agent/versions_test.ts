import assert from "node:assert/strict";
import { test } from "node:test";
import { promisify } from "node:util";
import {
  type AgentClient,
  type AskReply,
  type AskRequest,
  type ModelsReport,
  type OrderReply,
  type OrderRequest,
  RefusalCode,
  ReplicaPhase,
  type ReportModelsRequest,
} from "../wire/gen/cicadahitch.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { openAgent, RunReader, testAsk, testStart } from "./_test_kit.ts";

const OLD = { model: "m", adapter: "", weightsVersion: "1" };
const NEW = { model: "m", adapter: "", weightsVersion: "2" };

async function open(engine = FakeEngine.create()) {
  const { client } = await openAgent({ server: { kind: "engine", engine } });
  return { client, engine };
}

function sendAsk(client: AgentClient, request: AskRequest): Promise<AskReply> {
  const call = promisify<AskRequest, AskReply>(client.ask.bind(client));
  return call(request);
}

function sendOrder(client: AgentClient, request: OrderRequest) {
  const call = promisify<OrderRequest, OrderReply>(client.order.bind(client));
  return call(request);
}

function fetchReport(client: AgentClient): Promise<ModelsReport> {
  const call = promisify<ReportModelsRequest, ModelsReport>(
    client.reportModels.bind(client),
  );
  return call({});
}

function unloadOld(fencingNumber: bigint): OrderRequest {
  return {
    leaseKey: "lease",
    fencingNumber,
    order: { $case: "unloadModel", value: OLD },
  };
}

test("the engine call carries the requested weights version", async () => {
  const { client, engine } = await open();
  engine.models = [NEW, OLD];
  for (const [index, weightsVersion] of ["1", "2"].entries()) {
    await sendOrder(client, {
      leaseKey: "lease",
      fencingNumber: 1n,
      order: { $case: "loadModel", value: NEW },
    });
    const wanted = testAsk(`r${index}`, { weightsVersion });
    const reader = RunReader.open(
      client,
      testStart(`r${index}`, { ask: wanted }),
    );
    const run = await engine.waitForRun(index);
    assert.equal(run.call.weightsVersion, weightsVersion);
    run.end();
    await reader.readAll();
  }
});

test("a 404 from the engine is reported as model not loaded", async () => {
  const { client, engine } = await open();
  const reader = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  run.fail({ kind: "rejected", status: 404, body: "Model is not loaded" });
  assert.deepEqual(await reader.readAll(), [
    "started",
    `refusal ${RefusalCode.MODEL_NOT_LOADED}`,
  ]);
});

test("a model being unloaded serves its holds and runs but no new requests", async () => {
  const { client, engine } = await open();
  const offered = await sendAsk(client, testAsk("r1", { holdMs: 1000 }));
  assert(offered.verdict?.$case === "offer");
  const { holdId } = offered.verdict.value;
  assert.equal((await sendOrder(client, unloadOld(5n))).accepted, true);
  const refused = await sendAsk(client, testAsk("r2"));
  assert(refused.verdict?.$case === "refusal");
  assert.equal(refused.verdict.value.code, RefusalCode.MODEL_NOT_LOADED);
  const reader = RunReader.open(client, testStart("r1", { holdId }));
  const run = await engine.waitForRun(0);
  assert.deepEqual((await fetchReport(client)).replicas, [
    { ...OLD, phase: ReplicaPhase.UNLOADING, inFlight: 1 },
  ]);
  assert.equal(engine.orders.length, 0);
  run.emitPiece("a");
  run.end();
  assert.deepEqual(await reader.readAll(), ["started", "#0 a", "end 1 of 1"]);
});

test("an agent reports slots, limits and models", async () => {
  const { client } = await open();
  assert.deepEqual(await fetchReport(client), {
    leaving: false,
    slots: 2,
    maxRunning: 2,
    replicas: [{ ...OLD, phase: ReplicaPhase.READY, inFlight: 0 }],
  });
});
