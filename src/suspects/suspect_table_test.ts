import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { TestClock } from "../router/_kit.ts";
import { SuspectTable } from "./suspect_table.ts";

const SEED = 20_261_203;
/** Longer than the expiry time of suspicion. */
const LONG_MS = 3_600_000;

class Fixture {
  readonly clock = new TestClock();
  readonly table = SuspectTable.create(this.clock);

  /** Ends a server, one second after the previous end; it began the first of its requests last. */
  end(server: string, digests: string[]): void {
    this.clock.advance(1000);
    this.endTogether(server, digests);
  }

  /** Ends a server at the time of the previous end; its requests had run for a while. */
  endTogether(server: string, digests: string[]): void {
    digests.forEach((digest, i) =>
      this.table.recordEnd(digest, {
        server,
        answeringMs: i < 2 ? 200 + 100 * i : undefined,
        atMs: this.clock.nowMs(),
        runMs: 500,
      })
    );
  }

  kind(digest: string): string {
    return this.table.verdict(digest).kind;
  }
}

test("a request is quarantined when the third server ends", () => {
  const fixture = new Fixture();
  fixture.end("s1", ["cause"]);
  fixture.end("s2", ["cause"]);
  assert.equal(fixture.kind("cause"), "suspected");
  fixture.end("s3", ["cause"]);
  assert.equal(fixture.kind("cause"), "quarantined");
});

test("an end that is reported repeatedly counts once", () => {
  const fixture = new Fixture();
  for (let i = 0; i < 5; i++) fixture.end("s1", ["cause"]);
  assert.equal(fixture.kind("cause"), "suspected");
});

test("requests that were queued or began before the cause are not quarantined", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2", "s3"]) {
    fixture.end(server, ["cause", "beside", "waiting"]);
  }
  assert.equal(fixture.kind("cause"), "quarantined");
  assert.equal(fixture.kind("beside"), "suspected");
  assert.equal(fixture.kind("waiting"), "suspected");
});

test("a request that ran beside the cause is released once the cause has more ends", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2", "s3"]) {
    fixture.end(server, ["beside", "cause"]);
  }
  assert.equal(fixture.kind("beside"), "quarantined");
  fixture.end("s4", ["cause"]);
  assert.equal(fixture.kind("cause"), "quarantined");
  assert.equal(fixture.kind("beside"), "suspected");
});

test("simultaneous ends of servers that all run attempts of a request count once", () => {
  const fixture = new Fixture();
  fixture.end("s1", ["beside"]);
  for (const server of ["s2", "s3", "s4"]) {
    fixture.endTogether(server, ["beside"]);
  }
  assert.equal(fixture.kind("beside"), "suspected");
  fixture.end("s5", ["beside"]);
  fixture.end("s6", ["beside"]);
  assert.equal(fixture.kind("beside"), "quarantined");
});

test("ends of attempts in immediate succession each count", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2", "s3"]) {
    fixture.clock.advance(10);
    const atMs = fixture.clock.nowMs();
    fixture.table.recordEnd("cause", {
      server,
      answeringMs: 5,
      atMs,
      runMs: 8,
    });
  }
  assert.equal(fixture.kind("cause"), "quarantined");
});

test("ends of attempts that were queued in parallel but began in sequence each count", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2", "s3"]) {
    fixture.clock.advance(100);
    const atMs = fixture.clock.nowMs();
    fixture.table.recordEnd("cause", {
      server,
      answeringMs: 50,
      atMs,
      runMs: 900,
    });
  }
  assert.equal(fixture.kind("cause"), "quarantined");
});

test("two causes that once ran on the same server are both quarantined", () => {
  const fixture = new Fixture();
  fixture.end("s1", ["one", "two"]);
  for (const server of ["s2", "s3"]) fixture.end(server, ["one"]);
  for (const server of ["s4", "s5"]) fixture.end(server, ["two"]);
  assert.equal(fixture.kind("one"), "quarantined");
  assert.equal(fixture.kind("two"), "quarantined");
});

test("a successful answer clears a request, even of earlier ends reported later", () => {
  const fixture = new Fixture();
  const early = {
    server: "s0",
    answeringMs: 5,
    atMs: fixture.clock.nowMs(),
    runMs: 50,
  };
  for (const server of ["s1", "s2", "s3"]) fixture.end(server, ["cause"]);
  assert.ok(fixture.table.clear("cause", fixture.clock.nowMs()));
  assert.equal(fixture.kind("cause"), "clear");
  assert.ok(!fixture.table.recordEnd("cause", early));
  assert.equal(fixture.kind("cause"), "clear");
});

test("quarantine expires some time after the last end", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2", "s3"]) fixture.end(server, ["cause"]);
  const verdict = fixture.table.verdict("cause");
  assert.ok(verdict.kind === "quarantined");
  fixture.clock.advance(verdict.leftMs - 1);
  assert.equal(fixture.kind("cause"), "quarantined");
  fixture.clock.advance(1);
  assert.equal(fixture.kind("cause"), "clear");
});

test("expired ends are not recorded", () => {
  const fixture = new Fixture();
  const end = {
    server: "s1",
    answeringMs: 5,
    atMs: fixture.clock.nowMs(),
    runMs: 50,
  };
  fixture.clock.advance(LONG_MS);
  assert.ok(!fixture.table.recordEnd("cause", end));
  assert.equal(fixture.table.size, 0);
});

test("the table is bounded and keeps the suspects with the most ends", () => {
  const fixture = new Fixture();
  for (const server of ["s1", "s2"]) fixture.end(server, ["cause"]);
  for (let i = 0; i < 3000; i++) fixture.endTogether("s3", [`r${i}`]);
  assert.ok(fixture.table.size <= 1024);
  assert.equal(fixture.kind("cause"), "suspected");
});

test("no request that ran beside a single cause stays quarantined", () => {
  const beside = fc.subarray(["a", "b", "c", "d", "e", "f"]);
  fc.assert(
    fc.property(fc.array(beside, { minLength: 5, maxLength: 5 }), (ends) => {
      const fixture = new Fixture();
      // The other requests are answered in the end, or were never sent to a fifth server.
      ends.forEach((digests, i) => {
        const others = i < 4 ? digests : [];
        fixture.end(`s${i}`, ["cause", ...others]);
      });
      assert.equal(fixture.kind("cause"), "quarantined");
      for (const digest of "abcdef") {
        assert.notEqual(fixture.kind(digest), "quarantined");
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
