import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger } from "../base/mod.ts";
import { TestClock } from "../router/_kit.ts";
import { RunOutcome, type VersionDigest } from "../wire/gen/cicadahitch.ts";
import { RunSuspects, type SuspectedCall } from "./run_suspects.ts";

const DIGEST: VersionDigest = {
  processId: "p",
  address: "a",
  versions: [],
  revision: 0n,
  confirmedAgeMs: 0,
  hash: 0n,
};

function create(clock: TestClock): RunSuspects {
  const log = createSilentLogger();
  return RunSuspects.create({ clock, log, store: undefined });
}

function callWith(text: string): SuspectedCall {
  const value = { api: "chat", body: Buffer.from(text) };
  return { team: "t", workspace: "w", call: { $case: "modelCall", value } };
}

/** Records that a number of engines ended, one after the other, while running a call. */
function recordServerEnds(
  suspects: RunSuspects,
  clock: TestClock,
  { call, count }: { call: SuspectedCall; count: number },
): void {
  for (let i = 0; i < count; i++) {
    const sentAtMs = clock.nowMs();
    clock.advance(1000);
    suspects.ended(call, {
      memberId: `m${i}`,
      sentAtMs,
      firstPieceAtMs: undefined,
      end: {
        outcome: RunOutcome.FAILED,
        pieceCount: 0,
        message: "",
        promptTokens: 0,
        completionTokens: 0,
        cachedTokens: 0,
        endedEngine: "e",
      },
    });
  }
}

test("entry refuses a request after its peers report three server ends", () => {
  const clock = new TestClock();
  const entries = [create(clock), create(clock), create(clock)];
  const call = callWith("poison");
  entries.forEach((entry, i) =>
    recordServerEnds(entry, clock, { call, count: i + 1 })
  );
  const [first, , last] = entries;
  first!.mergeDigest(last!.addSuspects(DIGEST));
  assert.equal(first!.refusalOf(call)?.code, "quarantined");
  assert.ok(first!.refusalOf(call)!.retryAfterMs! > 0);
  assert.equal(first!.refusalOf(callWith("other")), undefined);
});

test("successful answer at one entry clears a request at the others", () => {
  const clock = new TestClock();
  const [near, far] = [create(clock), create(clock)];
  const call = callWith("unlucky");
  recordServerEnds(near, clock, { call, count: 3 });
  far.mergeDigest(near.addSuspects(DIGEST));
  near.answered(call);
  far.mergeDigest(near.addSuspects(DIGEST));
  assert.equal(far.refusalOf(call), undefined);
  near.mergeDigest(far.addSuspects(DIGEST));
  assert.equal(near.refusalOf(call), undefined);
});

test("entry without suspects adds nothing to its digest", () => {
  assert.equal(create(new TestClock()).addSuspects(DIGEST), DIGEST);
});
