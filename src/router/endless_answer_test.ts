import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  headWithoutLength,
  HOST,
  KEY,
  MODEL_REQUEST_HEADERS,
  SEALED_HEAD,
} from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld, until } from "./_world.ts";

/*
 * A faulty server sends bytes without end that are not a valid answer. The entry must not keep them,
 * nor read them until the request's deadline.
 */

/** Most that an entry reads of an answer, 16 MB, and what the kernel and streams hold on the way. */
const MAX_WRITTEN_BYTES = 32 * 1024 * 1024;
/** Most that an entry reads of an event, or of what is no part of a body, and what is on the way. */
const MAX_OVERHEAD_BYTES = 12 * 1024 * 1024;
const PIECE_BYTES = 64 * 1024;
/** Time after which an answer has been read and its connection is unused. */
const LATER_MS = 50;
/** Most time to wait for a blocked connection before it is checked again. */
const CLOSE_MS = 2000;

/** Writes the piece again and again until the connection is closed; returns the written bytes. */
async function writeEndlessly(socket: Socket, piece: string): Promise<number> {
  let sentBytes = 0;
  while (!socket.destroyed && sentBytes <= 2 * MAX_WRITTEN_BYTES) {
    sentBytes += piece.length;
    if (socket.write(piece, "latin1")) await new Promise(setImmediate);
    else await Promise.race([onceAny(socket), sleep(CLOSE_MS)]);
  }
  return sentBytes;
}

function onceAny(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}

interface EndlessAnswer {
  start: (attemptId: string) => string;
  piece: string;
  maxBytes: number;
}

const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const headOf = (id: string) => `${SEALED_HEAD}attempt-id: ${id}\r\n`;
const filler = "x".repeat(PIECE_BYTES);
const headerLines = "x-a: b\r\n".repeat(PIECE_BYTES / 8);

const ENDLESS: Record<string, EndlessAnswer> = {
  "no answer": {
    start: () => "",
    piece: filler,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "a status line": {
    start: () => "HTTP/1.1 200 ",
    piece: filler,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "interim answers": {
    start: () => "",
    piece: "HTTP/1.1 102 Processing\r\n\r\n".repeat(2000),
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "valid header lines": {
    start: headOf,
    piece: headerLines,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "a body without a length": {
    start: (id) => `${headOf(id)}\r\n`,
    piece: filler,
    maxBytes: MAX_WRITTEN_BYTES,
  },
  "a body of chunks": {
    start: (id) => headOf(id) + CHUNKED,
    piece: `${PIECE_BYTES.toString(16)}\r\n${filler}\r\n`,
    maxBytes: MAX_WRITTEN_BYTES,
  },
  "a chunk's extensions": {
    start: (id) => `${headOf(id)}${CHUNKED}1;a=`,
    piece: filler,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "a chunk's length": {
    start: (id) => headOf(id) + CHUNKED,
    piece: "0".repeat(PIECE_BYTES),
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "trailers": {
    start: (id) => `${headOf(id)}${CHUNKED}0\r\n`,
    piece: headerLines,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
};

for (const [name, { start, piece, maxBytes }] of Object.entries(ENDLESS)) {
  test(`call that is answered by ${name} without end fails, others are served`, async (t) => {
    const world = await openWorld(t);
    const written: number[] = [];
    const raw = await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, attemptId) => {
        socket.write(start(attemptId), "latin1");
        void writeEndlessly(socket, piece).then((bytes) => written.push(bytes));
      },
    });
    const engine = await world.engine("i-2");
    const faulty = askUntilAccepted(world, "/book/a");
    const other = await askUntilAccepted(
      world,
      "/stream/a",
      MODEL_REQUEST_HEADERS,
    );
    assert.equal(other.status, 200);
    assert.equal(engine.runs.length, 1);
    // The call may have run, so it must not be refused as not run.
    assert.equal((await faulty).status, 502);
    assert.equal(raw.requests.length, 1);
    await until(() => written.length === 1);
    assert.ok(written[0]! <= maxBytes, `${written[0]} bytes`);
  });
}

const ENDLESS_EVENTS: Record<string, EndlessAnswer> = {
  "an event": {
    start: (id) => `${headOf(id)}${CHUNKED}`,
    piece: `${PIECE_BYTES.toString(16)}\r\n${filler}\r\n`,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "an event without chunks": {
    start: (id) => `${headOf(id)}\r\ndata: `,
    piece: filler,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
  "a chunk's extensions": {
    start: (id) => `${headOf(id)}${CHUNKED}1;a=`,
    piece: filler,
    maxBytes: MAX_OVERHEAD_BYTES,
  },
};

for (const [name, answer] of Object.entries(ENDLESS_EVENTS)) {
  const { start, piece, maxBytes } = answer;
  test(`stream that continues with ${name} without end is broken off`, async (t) => {
    const world = await openWorld(t);
    const written: number[] = [];
    await serveBytes(t, world, {
      id: "i-raw",
      service: "engines",
      answer: (socket, attemptId) => {
        socket.write(start(attemptId), "latin1");
        void writeEndlessly(socket, piece).then((bytes) => written.push(bytes));
      },
    });
    const asked = await askUntilAccepted(world, "/once/a", {
      ...MODEL_REQUEST_HEADERS,
    });
    assert.ok(
      asked.status !== 503 && !(asked.status === 200 && asked.isComplete),
    );
    await until(() => written.length === 1);
    assert.ok(written[0]! <= maxBytes, `${written[0]} bytes`);
  });
}

// An answer without a length can't be paused: it was held whole for each client that did not read it.
test("stream without a length that clients don't read is broken off, others are served", async (t) => {
  const world = await openWorld(t);
  const clients: Socket[] = [];
  t.after(() => clients.forEach((client) => client.destroy()));
  const written: number[] = [];
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "engines",
    answer: (socket, attemptId) => {
      socket.write(headWithoutLength(attemptId));
      const piece = `data: ${filler}\n\n`;
      void writeEndlessly(socket, piece).then((bytes) => written.push(bytes));
    },
  });
  await world.worker("i-2");
  for (let i = 0; i < 2; i++) {
    const { ipAddress: host, clientPort: port } = world;
    const client = connect({ host, port }).on("error", () => {}).pause();
    clients.push(client);
    client.write(
      `POST /once/a${i} HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: a${i}\r\n` +
        `deadline-ms: 4000\r\nauthorization: Bearer ${KEY}\r\nmodel: m\r\n` +
        "content-length: 1\r\n\r\nx",
    );
    await until(() => raw.requests.length === i + 1);
  }
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 200);
  await until(() => written.length === 2);
  for (const bytes of written) {
    assert.ok(bytes <= MAX_WRITTEN_BYTES, `${bytes} bytes`);
  }
});

// Guards against an unused connection on which the entry reads line breaks for as long as they come.
test("line breaks without end after an answer close its connection, others are served", async (t) => {
  const world = await openWorld(t);
  const written: number[] = [];
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, attemptId) => {
      socket.write(`${headOf(attemptId)}content-length: 1\r\n\r\nx`);
      const piece = "\r\n".repeat(PIECE_BYTES / 2);
      setTimeout(async () => {
        written.push(await writeEndlessly(socket, piece));
      }, LATER_MS);
    },
  });
  for (let i = 1; i <= 3; i++) {
    assert.equal((await askUntilAccepted(world, "/book/a")).status, 200);
    await until(() => written.length === i);
    assert.ok(written[i - 1]! <= MAX_OVERHEAD_BYTES, `${written} bytes`);
  }
});
