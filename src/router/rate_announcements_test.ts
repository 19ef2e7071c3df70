import assert from "node:assert/strict";
import { test } from "node:test";
import { registration, TestClock, testFleet } from "./_kit.ts";
import { AnswerRateKind } from "./model.ts";
import { RateAnnouncements, type RateRow } from "./rate_announcements.ts";

/** More servers than rows fit into a datagram. */
const SERVER_COUNT = 60;
const ROWS_PER_DATAGRAM = 24;

/** An entry that was told the rates of some servers, and announces them. */
function create({ serverCount = 1 } = {}) {
  const clock = new TestClock();
  const fleet = testFleet(clock, {
    onRate: (server) => rates.announce(server),
  });
  const rates: RateAnnouncements = RateAnnouncements.create({
    clock,
    fleet,
    mayGrantFor: () => true,
  });
  const nameRate = (id: string, perSecond: number | undefined) => {
    const rate = perSecond === undefined
      ? { kind: AnswerRateKind.none }
      : { kind: AnswerRateKind.limited, perSecond };
    const answer = { rate, isRefusal: false, sentAtMs: clock.nowMs() };
    fleet.recordRate(fleet.get(id)!, answer);
  };
  for (let i = 0; i < serverCount; i++) {
    fleet.put(registration(`i-${i}`));
    nameRate(`i-${i}`, 2);
  }
  const send = () => {
    clock.advance(50);
    return rates.nextRows();
  };
  return { clock, fleet, rates, nameRate, send };
}

test("change of a rate is told three times, then every two seconds", () => {
  const { send } = create();
  const counts = Array.from({ length: 90 }, () => send().length);
  // The repetition that is due at first falls together with the change.
  assert.deepEqual(counts.slice(0, 4), [1, 1, 1, 0]);
  assert.equal(counts.reduce((sum, count) => sum + count), 3 + 2);
});

test("end of a rate is told, and not repeated", () => {
  const { nameRate, send, clock } = create();
  for (let i = 0; i < 3; i++) send();
  nameRate("i-0", undefined);
  const [row] = send();
  assert.deepEqual(row, ["i-0", 0, null, 50]);
  for (let i = 0; i < 2; i++) send();
  clock.advance(5000);
  assert.deepEqual(send(), []);
});

test("all rates are told although few fit into a datagram", () => {
  const { send, rates, clock } = create({ serverCount: SERVER_COUNT });
  const idsOf = (rows: RateRow[]) => rows.map(([id]) => id);
  const told = new Set<string>();
  for (let i = 0; i < 9; i++) {
    const rows = send();
    assert.ok(rows.length <= ROWS_PER_DATAGRAM);
    for (const id of idsOf(rows)) told.add(id);
  }
  assert.equal(told.size, SERVER_COUNT);
  assert.equal(rates.hasNews, false);
  // Ends the repetition that began beside the last changes.
  for (let i = 0; i < 3; i++) send();
  clock.advance(5000);
  const repeated = [send(), send(), send(), send()].flatMap(idsOf);
  assert.equal(new Set(repeated).size, SERVER_COUNT);
  assert.equal(repeated.length, SERVER_COUNT);
});

test("entry that hears of a rate does not tell it on", () => {
  const teller = create();
  const listener = create({ serverCount: 0 });
  listener.fleet.put(registration("i-0"));
  listener.rates.applyRows(teller.send());
  const { rate } = listener.fleet.get("i-0")!.announcements;
  assert.equal(rate.perSecond, 2);
  assert.equal(listener.rates.hasNews, false);
});
