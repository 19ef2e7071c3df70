import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { seededRandom } from "../base/random.ts";
import { TestClock } from "../router/_kit.ts";
import { CRASHES_TO_QUARANTINE, PartTable } from "./part_table.ts";

const SEED = 20_261_204;
/** Longer than an unfinished suspicion lasts. */
const QUIET_MS = 600_000;

class Fixture {
  readonly clock = new TestClock();
  readonly table = PartTable.create(this.clock);
  #servers = 0;

  /** Crashes a server, one second after the previous crash. */
  crash(...parts: string[]): void {
    this.clock.advance(1000);
    this.crashNow(...parts);
  }

  crashNow(...parts: string[]): void {
    const server = `s${this.#servers++}/0`;
    this.table.record({ server, atMs: this.clock.nowMs() }, parts);
  }

  /** Answers a request with these parts, long after the crashes before it. */
  answer(...parts: string[]): void {
    for (const part of parts) this.table.clear(part, this.clock.nowMs());
  }

  kind(...parts: string[]): string {
    return this.table.verdict(parts).kind;
  }
}

function crashOften(fixture: Fixture, ...parts: string[]): void {
  for (let i = 0; i < CRASHES_TO_QUARANTINE; i++) fixture.crash(...parts);
}

test("part is quarantined at the fifth crash", () => {
  const fixture = new Fixture();
  for (let i = 1; i < CRASHES_TO_QUARANTINE; i++) fixture.crash("bad");
  assert.equal(fixture.kind("bad"), "clear");
  fixture.crash("bad");
  assert.equal(fixture.kind("bad"), "quarantined");
  assert.equal(fixture.kind("other"), "clear");
});

test("crash that several entries report counts once", () => {
  const { clock, table, kind } = bind(new Fixture());
  for (let i = 0; i < 8; i++) {
    clock.advance(100);
    table.record({ server: "s/0", atMs: clock.nowMs() - 100 * i }, ["bad"]);
  }
  assert.equal(kind("bad"), "clear");
  assert.equal(table.suspects(2).length, 0);
});

test("server that returns under its id and crashes again counts again", () => {
  const { clock, table, kind } = bind(new Fixture());
  for (let i = 0; i < CRASHES_TO_QUARANTINE; i++) {
    clock.advance(2500);
    table.record({ server: "s/0", atMs: clock.nowMs() }, ["bad"]);
  }
  assert.equal(kind("bad"), "quarantined");
});

test("crashes that overlap each count", () => {
  const fixture = new Fixture();
  fixture.crash("bad");
  fixture.crashNow("bad");
  fixture.crash("bad");
  fixture.crashNow("bad");
  fixture.crashNow("bad");
  assert.equal(fixture.kind("bad"), "quarantined");
});

test("servers that end at one moment condemn no part", () => {
  const fixture = new Fixture();
  for (let i = 0; i < 2 * CRASHES_TO_QUARANTINE; i++) fixture.crashNow("part");
  assert.equal(fixture.kind("part"), "clear");
});

test("answer clears a part of earlier crashes", () => {
  const fixture = new Fixture();
  crashOften(fixture, "part");
  assert.equal(fixture.kind("part"), "quarantined");
  fixture.answer("part");
  assert.equal(fixture.kind("part"), "clear");
  assert.ok(fixture.table.isCleared("part"));
});

test("part that was answered just before a crash is not suspected", () => {
  const fixture = new Fixture();
  fixture.answer("part");
  fixture.crash("part");
  assert.equal(fixture.table.size, 0);
});

test("part that crashes servers since an update is quarantined, though it was answered before", () => {
  const fixture = new Fixture();
  fixture.answer("part");
  fixture.clock.advance(2000);
  crashOften(fixture, "part");
  assert.equal(fixture.kind("part"), "quarantined");
});

test("requests with one of two inseparable parts decide which is the cause", () => {
  const fixture = new Fixture();
  crashOften(fixture, "beside", "bad");
  assert.equal(fixture.kind("beside", "bad"), "quarantined");
  assert.equal(fixture.kind("beside"), "ambiguous");
  assert.equal(fixture.kind("bad"), "ambiguous");
  fixture.answer("beside");
  assert.equal(fixture.kind("beside"), "clear");
  assert.equal(fixture.kind("bad"), "quarantined");
});

test("two further crashes with one of two inseparable parts quarantine it alone", () => {
  const fixture = new Fixture();
  crashOften(fixture, "beside", "bad");
  fixture.crash("bad");
  assert.equal(fixture.kind("bad"), "ambiguous");
  fixture.crash("bad");
  assert.equal(fixture.kind("bad"), "quarantined");
  assert.equal(fixture.kind("beside"), "ambiguous");
});

test("two bad parts are both quarantined", () => {
  const fixture = new Fixture();
  for (let i = 0; i < CRASHES_TO_QUARANTINE; i++) {
    fixture.crash("one");
    fixture.crash("two");
  }
  assert.equal(fixture.kind("one"), "quarantined");
  assert.equal(fixture.kind("two"), "quarantined");
});

test("quarantine ends some time after the last crash and doubles with each failed trial", () => {
  const fixture = new Fixture();
  crashOften(fixture, "bad");
  const first = fixture.table.verdict(["bad"]);
  assert.ok(first.kind === "quarantined");
  fixture.clock.advance(first.leftMs);
  assert.equal(fixture.kind("bad"), "due");
  fixture.crashNow("bad");
  const second = fixture.table.verdict(["bad"]);
  assert.ok(second.kind === "quarantined");
  assert.equal(second.leftMs, 2 * first.leftMs);
});

test("suspicion with too few crashes expires", () => {
  const fixture = new Fixture();
  for (let i = 1; i < CRASHES_TO_QUARANTINE; i++) fixture.crash("part");
  fixture.clock.advance(QUIET_MS);
  fixture.crash("other");
  assert.equal(fixture.table.suspects(2).length, 0);
});

test("crash from the store's record is the one that another entry tells with an exact age", () => {
  const { clock, table } = bind(new Fixture());
  table.restore({ server: "s/0", atMs: clock.nowMs() - 60_000 }, ["bad"]);
  table.record({ server: "s/0", atMs: clock.nowMs() - 5000 }, ["bad"]);
  assert.equal(table.suspects(1)[0]!.ends.length, 1);
});

test("table is bounded and keeps the parts with the most crashes", () => {
  const fixture = new Fixture();
  crashOften(fixture, "bad");
  for (let i = 0; i < 5000; i++) fixture.crashNow(`p${i}`);
  assert.ok(fixture.table.size <= 2048);
  assert.equal(fixture.kind("bad"), "quarantined");
});

test("no part that is answered between crashes is refused, and the bad one always is", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
      const random = seededRandom(seed);
      const fixture = new Fixture();
      const sound = ["a", "b", "c", "d"];
      for (let i = 0; i < 12; i++) {
        fixture.crash("bad", ...sound.filter(() => random() < 0.6));
        fixture.clock.advance(2000);
        const answered = sound.filter(() => random() < 0.4);
        fixture.answer(...answered);
        for (const part of answered) assert.equal(fixture.kind(part), "clear");
      }
      assert.equal(fixture.kind("bad", ...sound), "quarantined");
      fixture.answer(...sound);
      assert.equal(fixture.kind("bad"), "quarantined");
    }),
    { seed: SEED, numRuns: 200 },
  );
});

function bind(fixture: Fixture) {
  const { clock, table } = fixture;
  return { clock, table, kind: (...parts: string[]) => fixture.kind(...parts) };
}
