import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger } from "../base/mod.ts";
import { BranchSet } from "../config/branch_set.ts";
import { ManualClock } from "../lease/manual_clock.ts";
import { Priority, RefusalCode } from "../wire/gen/cicadahitch.ts";
import { AgentCore } from "./agent_core.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { testAsk, testStart } from "./_test_kit.ts";
import { ModelServer } from "./model_server.ts";
import type { OpenResult } from "./open_result.ts";
import { RunTable } from "./run_table.ts";

const HOLD_MS = 50;

/** An agent core with a manual clock and an engine that runs one request at a time. */
class CoreSetup {
  readonly engine = FakeEngine.create();
  readonly clock = ManualClock.create();
  readonly core: AgentCore;
  readonly model: ModelServer;

  private constructor() {
    const { clock } = this;
    const log = createSilentLogger();
    const runs = RunTable.create({ clock });
    this.model = ModelServer.create({
      engine: this.engine,
      clock,
      log,
      seed: "s",
      liveRuns: () => runs.live,
    });
    const branches = BranchSet.create();
    const options = { agentIncarnation: "a", branches, runs, clock, log };
    const server = { kind: "engine", model: this.model } as const;
    this.core = AgentCore.create(options, server);
  }

  static async create(): Promise<CoreSetup> {
    const setup = new CoreSetup();
    setup.engine.maxRunning = 1;
    await setup.model.watch.poll();
    return setup;
  }

  hold(runId: string, holdMs = HOLD_MS): string {
    const { verdict } = this.core.ask(this.#askOf(runId, holdMs));
    return verdict?.$case === "offer" ? verdict.value.holdId : "";
  }

  start(runId: string, holdId: string): OpenResult {
    const ask = this.#askOf(runId, HOLD_MS);
    return this.core.open(testStart(runId, { ask, holdId }));
  }

  #askOf(runId: string, holdMs: number) {
    const issuedWallMs = BigInt(this.clock.wallMs());
    const priority = Priority.URGENT;
    return testAsk(runId, { holdMs, issuedWallMs, priority });
  }
}

test("a run with an expired hold is still admitted", async () => {
  const setup = await CoreSetup.create();
  const holdId = setup.hold("r1");
  await setup.clock.advance(HOLD_MS + 1);
  assert.equal(setup.start("r1", holdId).kind, "attached");
  await setup.engine.waitForRun(0);
});

test("a run with an expired hold runs only once", async () => {
  const setup = await CoreSetup.create();
  const holdId = setup.hold("r1");
  await setup.clock.advance(HOLD_MS + 1);
  setup.start("r1", holdId);
  await setup.engine.waitForRun(0);
  assert.equal(setup.start("r1", holdId).kind, "attached");
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(setup.engine.runs.length, 1);
});

test("a cancelled run id does not start with its expired hold", async () => {
  const setup = await CoreSetup.create();
  const holdId = setup.hold("r1");
  await setup.clock.advance(HOLD_MS + 1);
  const issuedWallMs = BigInt(setup.clock.wallMs());
  setup.core.cancel({ runId: "r1", reason: "", issuedWallMs });
  assert.equal(setup.start("r1", holdId).kind, "refused");
  assert.equal(setup.engine.runs.length, 0);
});

test("with a full queue, a valid hold is admitted and an expired one is refused", async () => {
  const setup = await CoreSetup.create();
  const [kept, lapsed] = [setup.hold("kept", 5000), setup.hold("lapsed")];
  await setup.clock.advance(HOLD_MS + 1);
  for (let i = 0; i < 1100; i++) setup.start(`r${i}`, "");
  const refused = setup.start("lapsed", lapsed);
  assert.ok(refused.kind === "refused", refused.kind);
  assert.equal(refused.refusal.code, RefusalCode.OVERLOADED);
  assert.ok(refused.refusal.retryAfterMs > 0);
  assert.equal(setup.start("kept", kept).kind, "attached");
});

test("a hold of another process is refused", async () => {
  const [setup, other] = [await CoreSetup.create(), await CoreSetup.create()];
  const refused = setup.start("r1", other.hold("r1"));
  assert.ok(refused.kind === "refused", refused.kind);
  assert.equal(refused.refusal.code, RefusalCode.HOLD_GONE);
  assert.equal(setup.engine.runs.length, 0);
});
