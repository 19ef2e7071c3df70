import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../lease/manual_clock.ts";
import type { TeamShare } from "../wire/gen/cicadahitch.ts";
import type { Limits } from "./_division.ts";
import { ShareLedger } from "./share_ledger.ts";
import { type Admission, TeamLimiter } from "./team_limiter.ts";

const SEED = 20261202;
const TEAM = "team-a";
const LIMITS: Limits = { maxInFlight: 100, tokensPerSecond: 1000 };

function setUp(entryCount: number, limits = LIMITS, random = () => 0) {
  const clock = ManualClock.create();
  const limiter = TeamLimiter.create({
    clock,
    random,
    limitsOf: (team) => team === TEAM ? limits : undefined,
    entryCount: () => entryCount,
  });
  const fill = (tokens = 0) => {
    const admissions: Admission[] = [];
    for (;;) {
      const verdict = limiter.tryAdmit(TEAM, tokens);
      if (verdict.kind === "refused") return { admissions, verdict };
      admissions.push(verdict.admission);
    }
  };
  return { clock, limiter, fill };
}

function share(changes: Partial<TeamShare> = {}): TeamShare {
  return {
    team: TEAM,
    inFlight: 50,
    tokensPerSecond: 500,
    ttlMs: 3000,
    nextReportMs: 1000,
    ...changes,
  };
}

test("an entry without a share admits its floor", () => {
  assert.equal(setUp(2).fill().admissions.length, 10);
  assert.equal(setUp(360).fill().admissions.length, 1);
});

test("an entry admits its share until it expires", async () => {
  const { clock, limiter, fill } = setUp(2);
  limiter.tryAdmit(TEAM, 0);
  limiter.applyShare(share(), clock.nowMs());
  assert.equal(fill().admissions.length, 49);
  await clock.advance(3000);
  assert.equal(limiter.state()[0]!.maxInFlight, 10);
});

test("the lifetime of a share starts when the demand is sent", async () => {
  const { clock, limiter } = setUp(2);
  limiter.tryAdmit(TEAM, 0);
  const sentAtMs = clock.nowMs();
  await clock.advance(3000);
  limiter.applyShare(share(), sentAtMs);
  assert.equal(limiter.state()[0]!.maxInFlight, 10);
});

test("an expired share below the floor applies until the next report", async () => {
  const { clock, limiter } = setUp(2);
  limiter.tryAdmit(TEAM, 0);
  limiter.applyShare(share({ inFlight: 1 }), clock.nowMs());
  assert.equal(limiter.tryAdmit(TEAM, 0).kind, "refused");
  await clock.advance(3000);
  assert.equal(limiter.state()[0]!.maxInFlight, 1);
  assert.equal(limiter.dueDemands()[0]!.hasShare, false);
  assert.equal(limiter.state()[0]!.maxInFlight, 10);
});

test("a late answer to an earlier report is ignored", async () => {
  const { clock, limiter, fill } = setUp(2);
  fill();
  assert.equal(limiter.dueDemands().length, 1);
  const sentAtMs = clock.nowMs();
  await clock.advance(4000);
  assert.equal(limiter.dueDemands().length, 1);
  limiter.applyShare(share({ ttlMs: 9000 }), sentAtMs);
  assert.equal(limiter.state()[0]!.maxInFlight, 10);
});

test("settling an admission twice frees one slot", () => {
  const { limiter, fill } = setUp(2);
  const { admissions } = fill();
  admissions[0]!.settle(0);
  admissions[0]!.settle(0);
  assert.equal(limiter.state()[0]!.inFlight, 9);
});

test("tokens used beyond the estimate leave a debt", async () => {
  const { clock, limiter, fill } = setUp(2);
  const { admissions, verdict } = fill(100);
  assert.equal(admissions.length, 1);
  assert.equal(verdict.reason, "tokens");
  assert.equal(verdict.retryAfterMs, 1000);
  admissions[0]!.settle(300);
  await clock.advance(2000);
  assert.equal(limiter.tryAdmit(TEAM, 100).kind, "refused");
  await clock.advance(1000);
  assert.equal(limiter.tryAdmit(TEAM, 100).kind, "admitted");
});

test("a request larger than the burst is admitted alone", () => {
  const { limiter } = setUp(2);
  assert.equal(limiter.tryAdmit(TEAM, 100_000).kind, "admitted");
  assert.equal(limiter.tryAdmit(TEAM, 1).kind, "refused");
});

test("retry times grow and spread with the number of refusals", () => {
  const waits: number[] = [];
  let draw = 0;
  const { limiter, fill } = setUp(2, LIMITS, () => (draw++ % 10) / 10);
  fill();
  for (let next = 0; next < 100; next++) {
    const verdict = limiter.tryAdmit(TEAM, 0);
    if (verdict.kind === "refused") waits.push(verdict.retryAfterMs);
  }
  assert.equal(new Set(waits).size > 50, true);
  assert.equal(waits.at(-1)! > waits[0]!, true);
});

test("a request of an unknown team is refused", () => {
  const verdict = setUp(2).limiter.tryAdmit("team-b", 0);
  assert.deepEqual(verdict, {
    kind: "refused",
    retryAfterMs: 0,
    reason: "unknown_team",
  });
});

test("a team well below its floor reports no demand", () => {
  const { limiter } = setUp(2);
  for (let next = 0; next < 7; next++) limiter.tryAdmit(TEAM, 0);
  assert.equal(limiter.dueDemands().length, 0);
  limiter.tryAdmit(TEAM, 0);
  assert.equal(limiter.dueDemands().length, 1);
});

test("requests in flight at reporting entries never exceed the limit", async () => {
  const step = fc.record({
    entry: fc.nat(4),
    wanted: fc.nat(120),
    ended: fc.double({ min: 0, max: 1, noNaN: true }),
    waitMs: fc.nat(900),
    lostAnswer: fc.boolean(),
  });
  const steps = fc.array(step, { minLength: 20, maxLength: 80 });
  const property = fc.asyncProperty(steps, async (steps) => {
    const clock = ManualClock.create();
    await clock.advance(1_000_000);
    const reporters = createReporters(clock, 5);
    for (const { entry, wanted, ended, waitMs, lostAnswer } of steps) {
      await clock.advance(waitMs);
      const at = reporters[entry]!;
      for (const admission of at.running.splice(0, at.running.length * ended)) {
        admission.settle(0);
      }
      for (let next = 0; next < wanted; next++) at.admit();
      for (const reporter of reporters) reporter.report(lostAnswer);
      const total = reporters.reduce(
        (sum, { running }) => sum + running.length,
        0,
      );
      assert.ok(total <= LIMITS.maxInFlight, `Expected ${total} below limit`);
    }
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

/** @returns Entries that report to one ledger. */
function createReporters(clock: ManualClock, entryCount: number) {
  const settings = {
    clock,
    random: () => 0.5,
    limitsOf: () => LIMITS,
    entryCount: () => entryCount,
  };
  const ledger = ShareLedger.create({ ...settings, entriesChangedMs: () => 0 });
  return Array.from({ length: entryCount }, (_, index) => {
    const limiter = TeamLimiter.create(settings);
    const running: Admission[] = [];
    return {
      running,
      admit() {
        const verdict = limiter.tryAdmit(TEAM, 0);
        if (verdict.kind === "admitted") running.push(verdict.admission);
      },
      report(lostAnswer: boolean) {
        const demands = limiter.dueDemands();
        for (const answer of ledger.answer(`e${index}`, demands)) {
          if (lostAnswer) limiter.reportFailed(TEAM, 200);
          else limiter.applyShare(answer, clock.nowMs());
        }
      },
    };
  });
}
