/** Clients whose connections, heads or pipelined requests fill the memory of an entry. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EntryAddress, headOf } from "../standin/mod.ts";
import { Crowd } from "./_crowd.ts";
import {
  assertServesAfter,
  assertSurvives,
  assertWithinInstance,
} from "./_check.ts";
import { askOrdinary, eventually, startEntry } from "./_entry.ts";

/** Header lines that take far more memory than bytes on the wire. */
const SMALL_LINES = "ab:cd\r\n".repeat(100);
const OPEN_HEAD = headOf({ method: "GET" }).slice(0, -2);
const SMALL_REQUEST = headOf({ path: "/look/a", method: "GET" });
const LARGE_REQUEST = headOf({ headers: ["content-length: 65536"] }) +
  "x".repeat(65_536);

function* head(sizeBytes: number): Iterable<string> {
  yield OPEN_HEAD;
  for (let size = 0; size < sizeBytes; size += SMALL_LINES.length) {
    yield SMALL_LINES;
  }
}

function* repeated(request: string, count: number): Iterable<string> {
  for (let i = 0; i < count; i++) yield request;
}

// Guards against heads of four times the limit, which are kept until they end.
test("crowd with heads over the limit, without their end", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 1500,
    script: { pieces: () => head(60_000) },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against heads of legal size, which take ten times their size once they are parsed.
test("crowd with heads of legal size, without their end", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 2000,
    script: { pieces: () => head(14_000) },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against a check of the configured time that runs every 30 s only.
test("head that is not complete within its timeout is given up", async (t) => {
  const entry = await startEntry(t, { limits: { header_timeout_ms: 1000 } });
  const crowd = await Crowd.create(20, entry.address, {
    pieces: () => [OPEN_HEAD],
  });
  t.after(() => crowd.close());
  const endMs = Date.now() + 15_000;
  await eventually(() => crowd.openCount === 0 || Date.now() > endMs);
  assert.equal(crowd.openCount, 0);
  await askOrdinary(entry);
});

// Guards against reading all requests of a connection before the first one is answered.
test("crowd with bodies one behind the other on each connection", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 50,
    script: { pieces: () => repeated(LARGE_REQUEST, 200) },
    limits: { max_body_bytes: 100_000 },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against the same with requests that take more memory than bytes on the wire.
test("crowd with small requests one behind the other, whose answers are not read", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 50,
    script: {
      reads: false,
      pieces: () => repeated(SMALL_REQUEST.repeat(100), 200),
    },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against connections of clients that use up the descriptors for servers and the store.
test("crowd of connections that send nothing leaves descriptors free", async (t) => {
  const maxDescriptors = 500;
  const { entry, crowd } = await assertSurvives(t, {
    count: 600,
    script: { pieces: () => [] },
    variables: { CICADAHITCH_MAX_DESCRIPTORS: `${maxDescriptors}` },
  });
  const { descriptors } = entry.process;
  assert.ok(descriptors <= maxDescriptors, `${descriptors} descriptors`);
  await assertServesAfter(entry, crowd);
});

/** Listeners beside that for clients, by the offset of their ports. */
const OTHER_LISTENERS = { readiness: 1, control: 2 };

for (const [name, offset] of Object.entries(OTHER_LISTENERS)) {
  // Guards against listeners without the limits of that for clients.
  test(`crowd with heads without their end at the ${name} listener`, async (t) => {
    const entry = await startEntry(t);
    const address = atOffset(entry.address, offset);
    const crowd = await Crowd.create(1500, address, {
      pieces: () => head(14_000),
    });
    t.after(() => crowd.close());
    await askOrdinary(entry);
    assertWithinInstance(entry);
    await assertServesAfter(entry, crowd);
  });
}

// Guards against answers that are kept for clients which don't read them.
test("crowd that asks for the state one behind the other and doesn't read", async (t) => {
  const entry = await startEntry(t);
  const ask = "GET /state HTTP/1.1\r\nhost: a\r\n\r\n".repeat(20);
  const crowd = await Crowd.create(200, atOffset(entry.address, 2), {
    reads: false,
    pieces: () => repeated(ask, 100),
  });
  t.after(() => crowd.close());
  await askOrdinary(entry);
  assertWithinInstance(entry);
  await assertServesAfter(entry, crowd);
});

function atOffset(
  { ipAddress, clientPort }: EntryAddress,
  offset: number,
): EntryAddress {
  return { ipAddress, clientPort: clientPort + offset };
}
