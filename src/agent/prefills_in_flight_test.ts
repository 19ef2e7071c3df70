import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger } from "../base/mod.ts";
import { ManualClock } from "../lease/manual_clock.ts";
import { promptChain, selectPoints } from "../placement/chain.ts";
import type { AskRequest } from "../wire/gen/cicadahitch.ts";
import { FakeEngine, type FakeRun } from "./_fake_engine.ts";
import { testAsk } from "./_test_kit.ts";
import { ModelServer } from "./model_server.ts";
import { Run } from "./run.ts";

const PROMPT_TOKENS = 1000;
const SHARED_TOKENS = 640;
const TEXT = "x".repeat(4 * PROMPT_TOKENS);
const LIMITS = { maxBytes: 1 << 20, repeatBytes: 0 };

function createAsk(runId: string, changes: Partial<AskRequest> = {}) {
  const ask = testAsk(runId, { promptTokens: PROMPT_TOKENS, ...changes });
  const scope = { ...ask, weightsVersion: "1" };
  const text = Buffer.from(TEXT.slice(0, 4 * SHARED_TOKENS));
  return { ...ask, chain: selectPoints(promptChain(scope, text), [4]) };
}

/** A model server with a fake engine and a manual clock. */
class EngineSetup {
  readonly engine = FakeEngine.create();
  readonly clock = ManualClock.create();
  readonly server: ModelServer;

  private constructor(countsPrefillsInFlight?: boolean) {
    this.server = ModelServer.create({
      engine: this.engine,
      clock: this.clock,
      log: createSilentLogger(),
      seed: "s",
      liveRuns: () => [],
      countsPrefillsInFlight,
    });
  }

  static async create(countsPrefillsInFlight?: boolean): Promise<EngineSetup> {
    const setup = new EngineSetup(countsPrefillsInFlight);
    await setup.server.watch.poll();
    return setup;
  }

  async start(ask: AskRequest): Promise<{ run: Run; engineRun: FakeRun }> {
    const nowMs = this.clock.nowMs();
    const run = Run.create({ ask, attempt: 1, nowMs, limits: LIMITS });
    const options = { isHeld: false, teamMaxInFlight: Infinity };
    const ticket = this.server.admit(run, options).unwrapOrElse((refusal) => {
      throw new Error(refusal.message);
    });
    const call = { body: Buffer.from("{}"), api: "chat" };
    const index = this.engine.runs.length;
    void this.server.serve(run, call, ticket);
    return { run, engineRun: await this.engine.waitForRun(index) };
  }

  offer(ask: AskRequest) {
    return this.server.offer(ask, Infinity).unwrapOrElse((refusal) => {
      throw new Error(refusal.message);
    });
  }

  recomputeTokens(changes: Partial<AskRequest> = {}): number {
    return this.offer(createAsk("other", changes)).recomputeTokens;
  }
}

async function waitForEnd(run: Run): Promise<void> {
  while (!run.output.ending) await run.output.changed.wait();
  await new Promise((resolve) => setImmediate(resolve));
}

async function waitForFirstPiece(run: Run): Promise<void> {
  while (run.output.pieceCount === 0) await run.output.changed.wait();
}

test("a prefix in prefill is not counted as work of later requests", async () => {
  const setup = await EngineSetup.create();
  await setup.start(createAsk("r1"));
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS - SHARED_TOKENS);
});

test("a prefix in prefill is not reported as cached", async () => {
  const setup = await EngineSetup.create();
  await setup.start(createAsk("r1"));
  assert.equal(setup.offer(createAsk("r2")).matchedTokens, 0);
  const { run } = await setup.start(createAsk("r3"));
  assert.equal(run.matchedTokens, 0);
});

test("a prefix in prefill counts only in its own scope", async () => {
  const setup = await EngineSetup.create();
  await setup.start(createAsk("r1"));
  const { chain } = createAsk("r1");
  const { server } = setup;
  const missing = (changes: Partial<AskRequest>) =>
    server.offer({ ...testAsk("r2"), chain, promptTokens: 900, ...changes }, 9)
      .unwrapOr(undefined)?.recomputeTokens;
  assert.equal(missing({}), 900 - SHARED_TOKENS);
  // All scopes have the same chain keys here, as in a collision of truncated digests.
  assert.equal(missing({ team: "u" }), 900);
  assert.equal(missing({ workspace: "v" }), 900);
  assert.equal(
    server.prefills.inFlightTokens(createAsk("r2"), "1"),
    SHARED_TOKENS,
  );
  assert.equal(server.prefills.inFlightTokens(createAsk("r2"), "2"), 0);
});

test("an engine restart clears the prefixes in prefill", async () => {
  const setup = await EngineSetup.create();
  const { run, engineRun } = await setup.start(createAsk("r1"));
  setup.engine.incarnation = "engine-2";
  await setup.server.watch.poll();
  assert.equal(setup.server.watch.incarnation, "engine-2");
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
  engineRun.emitPiece("late");
  await waitForFirstPiece(run);
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
  assert.equal(setup.server.prefills.size, 0);
});

test("a prefix is dropped 150 ms after the first piece if no cache event arrives", async () => {
  const setup = await EngineSetup.create();
  const { run, engineRun } = await setup.start(createAsk("r1"));
  engineRun.emitPiece("a");
  await waitForFirstPiece(run);
  engineRun.end();
  await waitForEnd(run);
  await setup.clock.advance(149);
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS - SHARED_TOKENS);
  await setup.clock.advance(2);
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
  assert.equal(setup.server.prefills.size, 0);
});

test("a failed or cancelled request leaves no prefix", async () => {
  const setup = await EngineSetup.create();
  const failed = await setup.start(createAsk("r1"));
  failed.engineRun.fail({ kind: "broken", message: "gone" });
  await waitForEnd(failed.run);
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
  const cancelled = await setup.start(createAsk("r2"));
  cancelled.run.cancel("nobody waits");
  cancelled.engineRun.emitPiece("a");
  await waitForEnd(cancelled.run);
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
  assert.equal(setup.server.prefills.size, 0);
});

test("counting of prefixes in prefill can be disabled", async () => {
  const setup = await EngineSetup.create(false);
  await setup.start(createAsk("r1"));
  assert.equal(setup.recomputeTokens(), PROMPT_TOKENS);
});
