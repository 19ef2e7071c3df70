/** Clients whose request bodies fill the memory of an entry. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { headOf } from "../standin/mod.ts";
import { chunkOf, Crowd } from "./_crowd.ts";
import { assertServesAfter, assertSurvives } from "./_check.ts";
import { eventually, startEntry } from "./_entry.ts";

const MAX_BODY_BYTES = 2_000_000;
const LIMITS = { max_body_bytes: MAX_BODY_BYTES };
const COUNT = 150;
const PIECE = Buffer.alloc(16_384, "x");
const FILLER = Buffer.alloc(MAX_BODY_BYTES, "x");
const CHUNKED_HEAD = headOf({ headers: ["transfer-encoding: chunked"] });
const DECLARED_HEAD = headOf({
  headers: [`content-length: ${MAX_BODY_BYTES}`],
});
const SMALL = FILLER.subarray(0, 15_999);
/** A chunk of one byte. */
const SMALL_CHUNK = "1\r\nx\r\n";
/** Ten of them; more would leave no body of legal size without its end. */
const SMALL_CHUNKS = SMALL_CHUNK.repeat(10);

function* inPieces(sizeBytes: number): Iterable<Buffer> {
  for (let left = sizeBytes; left > 0; left -= PIECE.length) {
    yield PIECE.subarray(0, left);
  }
}

function* endlessly<T>(piece: T, count = Infinity): Iterable<T> {
  for (let i = 0; i < count; i++) yield piece;
}

const STALLED: Record<string, () => Iterable<string | Buffer>> = {
  "declared bodies, all but a byte": function* () {
    yield DECLARED_HEAD;
    yield FILLER.subarray(1);
  },
  "declared bodies in pieces, all but a byte": function* () {
    yield DECLARED_HEAD;
    yield* inPieces(MAX_BODY_BYTES - 1);
  },
  "bodies in one chunk, without the last one": function* () {
    yield CHUNKED_HEAD;
    yield chunkOf(MAX_BODY_BYTES);
  },
  "bodies just over the limit, without their end": function* () {
    yield CHUNKED_HEAD;
    yield chunkOf(MAX_BODY_BYTES + 1);
  },
  "bodies under an unknown key, all but a byte": function* () {
    yield DECLARED_HEAD.replace(/Bearer .*/, "Bearer unknown");
    yield FILLER.subarray(1);
  },
};

for (const [name, pieces] of Object.entries(STALLED)) {
  // Guards against bodies that are kept for as long as their clients stay connected.
  test(`crowd with ${name}`, async (t) => {
    const { entry, crowd } = await assertSurvives(t, {
      count: COUNT,
      limits: LIMITS,
      script: { pieces },
    });
    await assertServesAfter(entry, crowd);
  });
}

// Guards against as many whole bodies in memory as there are requests.
test("crowd with whole bodies at once", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: COUNT,
    limits: LIMITS,
    script: { pieces: () => [DECLARED_HEAD, FILLER] },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against memory that was freed and is taken again before it is collected.
test("crowd with whole bodies that returns at once", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 60,
    limits: LIMITS,
    script: { returns: true, pieces: () => [DECLARED_HEAD, FILLER] },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against a crowd that knows which bodies go first, and holds a little on each connection.
test("crowd with small bodies on many connections, all but a byte", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 2500,
    script: {
      pieces: () => [headOf({ headers: ["content-length: 16000"] }), SMALL],
    },
    limits: { max_body_bytes: 1_000_000 },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against the same crowd if each client connects again as soon as it is refused.
test("crowd with small bodies on many connections that returns at once", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 2500,
    script: {
      returns: true,
      pieces: () => [headOf({ headers: ["content-length: 16000"] }), SMALL],
    },
    limits: { max_body_bytes: 1_000_000 },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against an object for each chunk: they fill the heap with a body of legal size.
test("crowd with chunks of one byte without end", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 30,
    script: {
      pieces: function* () {
        yield CHUNKED_HEAD;
        yield* endlessly(SMALL_CHUNKS.repeat(100), 100);
      },
    },
    limits: { max_body_bytes: 1_000_000 },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against the same where each chunk is read alone, and holds the buffer that it was read into.
test("crowd with chunks of one byte, each in its packet", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 300,
    script: {
      isPaced: true,
      pieces: function* () {
        yield CHUNKED_HEAD;
        yield* endlessly(SMALL_CHUNK, 2500);
      },
    },
    limits: { max_body_bytes: 1_000_000 },
  });
  await assertServesAfter(entry, crowd);
});

// Guards against refusing, or not surviving, what the limits allow.
test("whole body of legal size in chunks of one byte is served", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 1,
    script: {
      pieces: function* () {
        yield CHUNKED_HEAD;
        yield* endlessly(SMALL_CHUNKS.repeat(100), 1000);
        yield "0\r\n\r\n";
      },
    },
    limits: { max_body_bytes: 1_000_000 },
  });
  await eventually(() => crowd.statusLines[0] !== "");
  assert.equal(crowd.statusLines[0], "HTTP/1.1 200 OK");
  assert.ok(entry.bodies.includes(1_000_000));
});

const ENDLESS: Record<string, () => Iterable<string | Buffer>> = {
  "announced far over the limit": function* () {
    yield headOf({ headers: ["content-length: 1000000000"] });
    yield* endlessly(PIECE);
  },
  "far over the limit in chunks": function* () {
    yield CHUNKED_HEAD;
    yield* endlessly(chunkOf(16_384));
  },
};

for (const [name, pieces] of Object.entries(ENDLESS)) {
  // Guards against clients that may go on sending for as long as they like.
  test(`clients with bodies ${name} are refused and closed while they send`, async (t) => {
    const { entry, crowd } = await assertSurvives(t, {
      count: 50,
      script: { pieces },
      limits: { max_body_bytes: 1_000_000 },
    });
    await eventually(() => crowd.openCount === 0);
    await assertServesAfter(entry, crowd);
  });
}

// Guards against waiting for a body that can only be refused.
test("body that is announced far over the limit is refused before it is sent", async (t) => {
  const { entry, crowd } = await assertSurvives(t, {
    count: 1,
    script: {
      pieces: () => [headOf({ headers: ["content-length: 1000000000"] }), "x"],
    },
  });
  await eventually(() => crowd.openCount === 0);
  assert.equal(crowd.statusLines[0], "HTTP/1.1 413 Payload Too Large");
  await assertServesAfter(entry, crowd);
});

// Guards against a request that is kept although it can't be answered in time any more.
test("body that is not complete at the timeout of its route is given up", async (t) => {
  const entry = await startEntry(t);
  const crowd = await Crowd.create(1, entry.address, {
    pieces: () => [headOf({ headers: ["content-length: 10"] }), "x"],
  });
  t.after(() => crowd.close());
  await eventually(() => crowd.openCount === 0);
  assert.match(crowd.statusLines[0]!, /^HTTP\/1\.1 (408|503) /);
});

// Guards against keeping bodies that can only be refused, as their limit is unknown.
test("crowd with bodies before the entry has a configuration", async (t) => {
  await assertSurvives(t, {
    count: 30,
    hasConfig: false,
    script: {
      pieces: function* () {
        yield headOf({ headers: ["content-length: 16000000"] });
        yield* inPieces(15_999_999);
      },
    },
  });
});
