import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { StoreContact } from "./store_contact.ts";

const HEARTBEAT_MS = 1000;
const CALL_MS = 900;

interface Fixture {
  contact: StoreContact;
  clock: TestClock;
}

/** Creates a contact that has been stable for a long time. */
function create(): Fixture {
  const fixture = createUnused();
  fixture.contact.answered();
  fixture.clock.advance(60_000);
  for (let i = 0; i < 3; i++) answer(fixture);
  return fixture;
}

function createUnused(): Fixture {
  const clock = new TestClock();
  return {
    contact: StoreContact.create({ clock, heartbeatMs: HEARTBEAT_MS }),
    clock,
  };
}

/** Records an answered call, one heartbeat interval after the previous call. */
function answer({ contact, clock }: Fixture): void {
  clock.advance(HEARTBEAT_MS);
  contact.answered();
}

/** Records successive calls that time out, and one that is answered. */
function outage({ contact, clock }: Fixture, calls: number): void {
  for (let i = 0; i < calls; i++) {
    clock.advance(CALL_MS);
    contact.failed();
  }
  contact.answered();
}

/** Records a call that fails at once. */
function refused({ contact }: Fixture): void {
  contact.failed();
}

test("without an outage no registration may have lapsed", () => {
  const { contact } = create();
  assert.equal(contact.outage, undefined);
  assert.equal(contact.inRegistrationGrace, false);
});

test("failed calls within less than two heartbeat intervals are no outage", () => {
  const fixture = create();
  outage(fixture, 2);
  assert.equal(fixture.contact.outage, undefined);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("store that refuses calls for a heartbeat interval is an outage", () => {
  for (const [refusedMs, mayLapse] of [[999, false], [1000, true]] as const) {
    const fixture = create();
    refused(fixture);
    fixture.clock.advance(refusedMs);
    fixture.contact.answered();
    assert.equal(fixture.contact.outage !== undefined, mayLapse);
  }
});

test("length of an outage is the time without an answer", () => {
  const fixture = create();
  fixture.clock.advance(2 * HEARTBEAT_MS - CALL_MS);
  outage(fixture, 1);
  const lengthMs = 2 * HEARTBEAT_MS;
  assert.deepEqual(fixture.contact.outage, { isOver: true, lengthMs });
});

test("deletions during an outage may be lapses", () => {
  const { contact, clock } = create();
  clock.advance(60_000);
  refused({ contact, clock });
  const lengthMs = 60_000;
  assert.deepEqual(contact.outage, { isOver: false, lengthMs });
  assert.equal(contact.inRegistrationGrace, true);
});

test("deletions from one heartbeat interval after an outage on are no lapses", () => {
  const fixture = create();
  outage(fixture, 5);
  fixture.clock.advance(HEARTBEAT_MS - 1);
  assert.deepEqual(fixture.contact.outage, {
    isOver: true,
    lengthMs: 5 * CALL_MS,
  });
  fixture.clock.advance(1);
  assert.equal(fixture.contact.outage, undefined);
});

test("servers may register again for about two seconds after an outage", () => {
  const fixture = create();
  outage(fixture, 5);
  fixture.clock.advance(1899);
  assert.equal(fixture.contact.inRegistrationGrace, true);
  fixture.clock.advance(1);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("further answers after an outage do not extend the grace period", () => {
  const fixture = create();
  outage(fixture, 5);
  answer(fixture);
  answer(fixture);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("long silence without a failed call counts as an outage", () => {
  const fixture = create();
  fixture.clock.advance(60_000);
  fixture.contact.answered();
  assert.deepEqual(fixture.contact.outage, { isOver: true, lengthMs: 60_000 });
  assert.equal(fixture.contact.inRegistrationGrace, true);
});

test("short outage soon after a long one restarts the grace period", () => {
  const fixture = create();
  outage(fixture, 5);
  fixture.clock.advance(HEARTBEAT_MS);
  outage(fixture, 1);
  assert.equal(fixture.contact.outage?.isOver, true);
  fixture.clock.advance(1899);
  assert.equal(fixture.contact.inRegistrationGrace, true);
  fixture.clock.advance(1);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("short outage long after a long one does not count", () => {
  const fixture = create();
  outage(fixture, 5);
  for (let i = 0; i < 3; i++) answer(fixture);
  outage(fixture, 1);
  assert.equal(fixture.contact.outage, undefined);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("outage before the first answer has no known length", () => {
  const fixture = createUnused();
  assert.equal(fixture.contact.connected, false);
  assert.equal(fixture.contact.outage?.isOver, false);
  fixture.contact.answered();
  assert.equal(fixture.contact.connected, true);
  assert.deepEqual(fixture.contact.outage, {
    isOver: true,
    lengthMs: undefined,
  });
  assert.equal(fixture.contact.inRegistrationGrace, true);
  fixture.clock.advance(1900);
  assert.equal(fixture.contact.inRegistrationGrace, false);
});

test("first changes after a start may have any age", () => {
  const { contact } = createUnused();
  assert.equal(contact.maxAgeMs, Infinity);
  contact.answered();
  assert.equal(contact.maxAgeMs, Infinity);
  contact.markCaughtUp();
  assert.equal(contact.maxAgeMs, 0);
});

test("changes after failed calls may be as old as the last answer", () => {
  const fixture = create();
  const { contact, clock } = fixture;
  contact.markCaughtUp();
  assert.equal(contact.maxAgeMs, 0);
  clock.advance(CALL_MS);
  contact.failed();
  // A peer may relay changes meanwhile.
  assert.equal(contact.maxAgeMs, CALL_MS);
  clock.advance(CALL_MS);
  // Each step of an answer is recorded as an answer.
  for (let step = 0; step < 2; step++) {
    contact.answered();
    assert.equal(contact.maxAgeMs, 2 * CALL_MS);
  }
  contact.markCaughtUp();
  answer(fixture);
  assert.equal(contact.maxAgeMs, 0);
});

// Guards against taking a version that was named during a stall for new: the old weights were then used
// for the length of the stall again, up to 2 s, unless another entry reported the version in time.
test("changes right after a stall may be as old as the stall", () => {
  const fixture = create();
  fixture.contact.markCaughtUp();
  fixture.contact.tick();
  fixture.clock.advance(2000);
  fixture.contact.tick();
  fixture.contact.answered();
  assert.equal(fixture.contact.maxAgeMs, 2000);
  // The input that arrived during the stall has been read by then.
  for (let i = 0; i < 10; i++) {
    fixture.clock.advance(100);
    fixture.contact.tick();
  }
  assert.equal(fixture.contact.maxAgeMs, 0);
});

test("changes without a stall count as new", () => {
  const fixture = create();
  fixture.contact.markCaughtUp();
  for (let i = 0; i < 20; i++) {
    fixture.clock.advance(100);
    fixture.contact.tick();
    assert.equal(fixture.contact.maxAgeMs, 0);
  }
});

test("changes before an overdue tick may be as old as the time since the last tick", () => {
  const fixture = create();
  fixture.contact.markCaughtUp();
  fixture.contact.tick();
  fixture.clock.advance(1500);
  fixture.contact.answered();
  assert.equal(fixture.contact.maxAgeMs, 1500);
});

// Other entries reach the restored store, so the registrations that it lacks counted as deleted.
test("restore gives registrations time to return, also if the store serves other entries", () => {
  const fixture = create();
  const { contact, clock } = fixture;
  contact.restored();
  clock.advance(100);
  assert.ok(contact.outage?.isOver);
  assert.ok(contact.inRegistrationGrace);
  assert.equal(contact.isServedElsewhere(clock.nowMs()), false);
  clock.advance(HEARTBEAT_MS);
  contact.answered();
  assert.equal(contact.outage, undefined);
  assert.ok(contact.inRegistrationGrace);
  clock.advance(HEARTBEAT_MS);
  contact.answered();
  assert.equal(contact.inRegistrationGrace, false);
});

// An entry that can't reach the store learns of the restore from another one.
test("restore that a peer reports during an outage gives the same time", () => {
  const fixture = create();
  const { contact, clock } = fixture;
  clock.advance(CALL_MS);
  contact.failed();
  clock.advance(HEARTBEAT_MS);
  contact.restored();
  clock.advance(100);
  assert.equal(contact.isServedElsewhere(clock.nowMs()), false);
  assert.ok(contact.inRegistrationGrace);
  clock.advance(2 * HEARTBEAT_MS);
  assert.equal(contact.isServedElsewhere(clock.nowMs()), true);
});

// Weights that were named before the restore was found would count as named just now.
test("what a restored store holds may be as old as its last answer before", () => {
  const { contact, clock } = create();
  contact.markCaughtUp();
  clock.advance(1500);
  contact.answered();
  contact.restored();
  assert.equal(contact.maxAgeMs, 1500);
  contact.markCaughtUp();
  assert.equal(contact.maxAgeMs, 0);
});
