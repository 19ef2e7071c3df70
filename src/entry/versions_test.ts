import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../lease/manual_clock.ts";
import {
  type AskReply,
  type AskRequest,
  type Offer,
  RefusalCode,
} from "../wire/gen/cicadahitch.ts";
import { FakeAgent, type FakeRun } from "./_fake_agent.ts";
import { ABC, send, startEntry } from "./_fixture.ts";
import { MissingVersions } from "./missing_versions.ts";

const OFFER: Offer = {
  holdId: "h",
  matchedTokens: 0,
  recomputeTokens: 1,
  expectedTtftMs: 1,
  queueMs: 0,
  engineIncarnation: "e",
  weightsVersion: "1",
  running: 0,
  waiting: 0,
};
const WANTED = { model: "m", adapter: "", weightsVersion: "1" };

/** Makes offers of one version only, to requests for that version and for any version. */
function serve(weightsVersion: string) {
  return (ask: AskRequest): AskReply["verdict"] => {
    if (ask.weightsVersion === "" || ask.weightsVersion === weightsVersion) {
      return { $case: "offer", value: { ...OFFER, weightsVersion } };
    }
    const code = RefusalCode.MODEL_NOT_LOADED;
    const value = { code, message: "", retryAfterMs: 0, tryAddress: "" };
    return { $case: "refusal", value };
  };
}

function answer(run: FakeRun): void {
  run.started();
  run.pieces(0, ABC);
  run.end(3);
}

test("another weights version serves, without retries, while no server has the wanted one", async () => {
  const agent = await FakeAgent.create("a0", answer);
  agent.onAsk = serve("0");
  const entry = await startEntry([agent]);
  for (let count = 0; count < 30; count++) {
    assert.equal((await send(entry)).status, 200);
  }
  const used = new Set(agent.starts.map(({ ask }) => ask?.weightsVersion));
  assert.deepEqual([...used], ["0"]);
  await entry.stop();
});

test("wanted weights version serves as soon as one server has it", async () => {
  const old = await FakeAgent.create("a0", answer);
  const next = await FakeAgent.create("a1", answer);
  old.onAsk = serve("0");
  next.onAsk = serve("1");
  const entry = await startEntry([old, next]);
  for (let count = 0; count < 5; count++) {
    assert.equal((await send(entry)).status, 200);
  }
  assert.equal(old.starts.length, 0);
  assert.equal(next.starts.length, 5);
  await entry.stop();
});

test("missing version is searched again after its entry expires", async () => {
  const clock = ManualClock.create();
  const memory = MissingVersions.create(clock);
  memory.noteMissing(WANTED);
  assert.equal(memory.isMissing(WANTED), true);
  assert.equal(memory.isMissing({ ...WANTED, weightsVersion: "2" }), false);
  await clock.advance(1000);
  assert.equal(memory.isMissing(WANTED), false);
  memory.noteMissing(WANTED);
  memory.noteOffered(WANTED);
  assert.equal(memory.isMissing(WANTED), false);
});
