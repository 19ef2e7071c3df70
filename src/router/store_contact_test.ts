import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { StoreContact } from "./store_contact.ts";

const HEARTBEAT_MS = 1000;
const CALL_MS = 900;

interface Made {
  contact: StoreContact;
  clock: TestClock;
}

/** Contact that was made long ago. */
function create(): Made {
  const made = createNew();
  made.contact.answered();
  made.clock.advance(60_000);
  for (let i = 0; i < 3; i++) answer(made);
  return made;
}

function createNew(): Made {
  const clock = new TestClock();
  return {
    contact: StoreContact.create({ clock, heartbeatMs: HEARTBEAT_MS }),
    clock,
  };
}

/** A call that is answered at once, the usual pause after the one before. */
function answer({ contact, clock }: Made): void {
  clock.advance(HEARTBEAT_MS);
  contact.answered();
}

/** Calls in vain, one behind the other, and one that is answered. */
function outage({ contact, clock }: Made, calls: number): void {
  for (let i = 0; i < calls; i++) {
    clock.advance(CALL_MS);
    contact.failed();
  }
  contact.answered();
}

/** A call that fails at once. */
function refused({ contact }: Made): void {
  contact.failed();
}

test("without an outage nothing has lapsed", () => {
  const { contact } = create();
  assert.equal(contact.outage, undefined);
  assert.equal(contact.awaitsReturns, false);
});

test("call in vain and silence of less than two heartbeat intervals lapse nothing", () => {
  const made = create();
  outage(made, 2);
  assert.equal(made.contact.outage, undefined);
  assert.equal(made.contact.awaitsReturns, false);
});

test("store that refuses calls for a heartbeat interval may have missed two heartbeats", () => {
  for (const [refusedMs, mayLapse] of [[999, false], [1000, true]] as const) {
    const made = create();
    refused(made);
    made.clock.advance(refusedMs);
    made.contact.answered();
    assert.equal(made.contact.outage !== undefined, mayLapse);
  }
});

test("outage is as long as the time without an answer", () => {
  const made = create();
  made.clock.advance(2 * HEARTBEAT_MS - CALL_MS);
  outage(made, 1);
  const lengthMs = 2 * HEARTBEAT_MS;
  assert.deepEqual(made.contact.outage, { isOver: true, lengthMs });
});

test("what is deleted while the store is away may have lapsed", () => {
  const { contact, clock } = create();
  clock.advance(60_000);
  refused({ contact, clock });
  const lengthMs = 60_000;
  assert.deepEqual(contact.outage, { isOver: false, lengthMs });
  assert.equal(contact.awaitsReturns, true);
});

test("what is deleted a heartbeat interval after the outage has not lapsed", () => {
  const made = create();
  outage(made, 5);
  made.clock.advance(HEARTBEAT_MS - 1);
  assert.deepEqual(made.contact.outage, {
    isOver: true,
    lengthMs: 5 * CALL_MS,
  });
  made.clock.advance(1);
  assert.equal(made.contact.outage, undefined);
});

test("returns are awaited for some two seconds after the store's", () => {
  const made = create();
  outage(made, 5);
  made.clock.advance(1899);
  assert.equal(made.contact.awaitsReturns, true);
  made.clock.advance(1);
  assert.equal(made.contact.awaitsReturns, false);
});

test("answers that follow the first one change nothing", () => {
  const made = create();
  outage(made, 5);
  answer(made);
  answer(made);
  assert.equal(made.contact.awaitsReturns, false);
});

test("process that was frozen may have missed an outage", () => {
  const made = create();
  made.clock.advance(60_000);
  made.contact.answered();
  assert.deepEqual(made.contact.outage, { isOver: true, lengthMs: 60_000 });
  assert.equal(made.contact.awaitsReturns, true);
});

test("short outage soon after a long one gives what lapsed time anew", () => {
  const made = create();
  outage(made, 5);
  made.clock.advance(HEARTBEAT_MS);
  outage(made, 1);
  assert.equal(made.contact.outage?.isOver, true);
  made.clock.advance(1899);
  assert.equal(made.contact.awaitsReturns, true);
  made.clock.advance(1);
  assert.equal(made.contact.awaitsReturns, false);
});

test("short outage long after a long one lapses nothing", () => {
  const made = create();
  outage(made, 5);
  for (let i = 0; i < 3; i++) answer(made);
  outage(made, 1);
  assert.equal(made.contact.outage, undefined);
  assert.equal(made.contact.awaitsReturns, false);
});

test("process that has just begun knows no end of what lapsed before it", () => {
  const made = createNew();
  assert.equal(made.contact.connected, false);
  assert.equal(made.contact.outage?.isOver, false);
  made.contact.answered();
  assert.equal(made.contact.connected, true);
  assert.deepEqual(made.contact.outage, { isOver: true, lengthMs: undefined });
  assert.equal(made.contact.awaitsReturns, true);
  made.clock.advance(1900);
  assert.equal(made.contact.awaitsReturns, false);
});

test("what is heard first may be of any age", () => {
  const { contact } = createNew();
  assert.equal(contact.maxAgeMs, Infinity);
  contact.answered();
  assert.equal(contact.maxAgeMs, Infinity);
  contact.caughtUp();
  assert.equal(contact.maxAgeMs, 0);
});

test("what is heard after calls in vain may be as old as the last answer", () => {
  const made = create();
  const { contact, clock } = made;
  contact.caughtUp();
  assert.equal(contact.maxAgeMs, 0);
  clock.advance(CALL_MS);
  contact.failed();
  // A peer may tell meanwhile.
  assert.equal(contact.maxAgeMs, CALL_MS);
  clock.advance(CALL_MS);
  // Steps of one answer count as answers each.
  for (let step = 0; step < 2; step++) {
    contact.answered();
    assert.equal(contact.maxAgeMs, 2 * CALL_MS);
  }
  contact.caughtUp();
  answer(made);
  assert.equal(contact.maxAgeMs, 0);
});

// A version that was named while a process stood still came as news when it went on, and the old
// weights were used for as long again: up to 2 s where no other entry had heard it in time.
test("what comes right behind a standstill may be as old as that", () => {
  const made = create();
  made.contact.caughtUp();
  made.contact.tick();
  made.clock.advance(2000);
  made.contact.tick();
  made.contact.answered();
  assert.equal(made.contact.maxAgeMs, 2000);
  // What was waiting has been read by then.
  for (let i = 0; i < 10; i++) {
    made.clock.advance(100);
    made.contact.tick();
  }
  assert.equal(made.contact.maxAgeMs, 0);
});

test("process that runs all the time takes what it hears for new", () => {
  const made = create();
  made.contact.caughtUp();
  for (let i = 0; i < 20; i++) {
    made.clock.advance(100);
    made.contact.tick();
    assert.equal(made.contact.maxAgeMs, 0);
  }
});

test("what comes before a late tick may be as old as the tick is late", () => {
  const made = create();
  made.contact.caughtUp();
  made.contact.tick();
  made.clock.advance(1500);
  made.contact.answered();
  assert.equal(made.contact.maxAgeMs, 1500);
});
