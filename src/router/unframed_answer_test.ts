import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import {
  type ClientResponse,
  completeStreamBody,
  headWithoutLength,
  MODEL_REQUEST_HEADERS,
  PLAIN_ANSWER_BODY,
  type RawResponder,
  SEALED_HEAD,
} from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld } from "./_world.ts";

/*
 * Answers that have neither a length nor chunks end with their connection. They were all refused, as a
 * server that crashes may end its connections in the same way.
 */

/** The first two events of a stream, and its other two. */
const EVENTS = "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n";
const REST = "id: 3\ndata: x3\n\nid: 4\ndata: x4\n\n";
const WHOLE = completeStreamBody(4);
const REFUSAL =
  "HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
const RESUMABLE_PATH = "/stream/a";
const ONCE_PATH = "/once/a";

interface Asked extends ClientResponse {
  /** Runs at the server without framing, and at the other one. */
  runs: number[];
}

/** Asks for a stream of a server with raw responses; another server takes what that one leaves. */
async function askStream(
  t: TestContext,
  path: string,
  answer: (...args: [...Parameters<RawResponder>, () => void]) => void,
): Promise<Asked> {
  const world = await openWorld(t);
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "engines",
    answer: (socket, id, nth) => {
      if (nth === 1) answer(socket, id, nth, () => raw.stopListening());
      else socket.write(REFUSAL);
    },
  });
  const others = path === RESUMABLE_PATH ? [await world.engine("i-2")] : [];
  // The first run goes to the server without framing.
  for (const { faults } of others) faults.refuse = 1;
  const asked = await askUntilAccepted(world, path, MODEL_REQUEST_HEADERS);
  const runs = [raw.requests, ...others.map((other) => other.runs)];
  return { ...asked, runs: runs.map(({ length }) => length) };
}

for (const path of [RESUMABLE_PATH, ONCE_PATH]) {
  test(`stream that ends with its connection is forwarded: ${path}`, async (t) => {
    const asked = await askStream(t, path, (socket, id) => {
      socket.write(headWithoutLength(id) + EVENTS);
      setTimeout(() => socket.end(REST), 20);
    });
    assert.equal(asked.status, 200);
    assert.equal(asked.body, WHOLE);
    assert.ok(asked.isComplete);
    assert.deepEqual(asked.runs, path === RESUMABLE_PATH ? [1, 0] : [1]);
  });
}

test("stream without a length that ends inside an event is resumed", async (t) => {
  const asked = await askStream(t, RESUMABLE_PATH, (socket, id) => {
    socket.end(`${headWithoutLength(id)}${EVENTS}id: 3\nda`);
  });
  assert.equal(asked.body, WHOLE);
  assert.ok(asked.isComplete);
});

test("stream without a length that ends inside an event and can't be resumed ends broken", async (t) => {
  const asked = await askStream(t, ONCE_PATH, (socket, id) => {
    socket.end(`${headWithoutLength(id)}${EVENTS}id: 3\nda`);
  });
  assert.equal(asked.body, EVENTS);
  assert.ok(!asked.isComplete);
});

for (const path of [RESUMABLE_PATH, ONCE_PATH]) {
  const end = path === RESUMABLE_PATH ? "is resumed" : "ends broken";
  test(`stream in chunks whose last one ends inside an event ${end}`, async (t) => {
    const asked = await askStream(t, path, (socket, id) => {
      const bytes = `${EVENTS}id: 3\nda`;
      const size = bytes.length.toString(16);
      socket.write(
        `${SEALED_HEAD}attempt-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n` +
          `${size}\r\n${bytes}\r\n0\r\n\r\n`,
      );
    });
    assert.equal(asked.body, path === RESUMABLE_PATH ? WHOLE : EVENTS);
    assert.equal(asked.isComplete, path === RESUMABLE_PATH);
  });
}

test("stream without a length that a crash ends between events is resumed", async (t) => {
  const asked = await askStream(t, RESUMABLE_PATH, (socket, id, _nth, stop) => {
    stop();
    socket.end(headWithoutLength(id) + EVENTS);
  });
  assert.equal(asked.body, WHOLE);
  assert.ok(asked.isComplete);
});

test("stream without a length that a crash ends and that can't be resumed ends broken", async (t) => {
  const asked = await askStream(t, ONCE_PATH, (socket, id, _nth, stop) => {
    stop();
    socket.end(headWithoutLength(id) + EVENTS);
  });
  assert.equal(asked.body, EVENTS);
  assert.ok(!asked.isComplete);
});

test("stream without a length that is reset ends broken", async (t) => {
  const asked = await askStream(t, ONCE_PATH, (socket, id) => {
    socket.write(headWithoutLength(id) + EVENTS);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.ok(!asked.isComplete);
});

test("stream without a length and without events is not complete", async (t) => {
  const asked = await askStream(t, ONCE_PATH, (socket, id) => {
    socket.end(headWithoutLength(id));
  });
  assert.equal(asked.status, 502);
});

test("stream without a length and without events is run at another server", async (t) => {
  const asked = await askStream(t, RESUMABLE_PATH, (socket, id) => {
    socket.end(headWithoutLength(id));
  });
  assert.equal(asked.body, WHOLE);
  assert.ok(asked.isComplete);
});

test("idempotent call whose answer without a length is reset is sent to another server", async (t) => {
  const world = await openWorld(t);
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id) => {
      socket.write(`${headWithoutLength(id)}do`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  });
  const other = await world.worker("i-2");
  other.faults.refuse = 1;
  const asked = await askUntilAccepted(world, "/look/a");
  assert.equal(asked.body, PLAIN_ANSWER_BODY);
  assert.deepEqual([raw.requests.length, other.runs.length], [1, 1]);
});

test("error response without a length is forwarded if its server lives on", async (t) => {
  const world = await openWorld(t);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id) => {
      socket.end(headWithoutLength(id).replace("200 OK", "500 Error") + "no");
    },
  });
  const asked = await askUntilAccepted(world, "/book/a");
  assert.equal(asked.status, 500);
  assert.equal(asked.body, "no");
});

/** Writes a part of an answer and resets the connection, so that both arrive together. */
function resetWithData(socket: Socket, text: string): void {
  socket.write(text, () => socket.resetAndDestroy());
}

/*
 * Guards against taking a reset for the end of an answer: if it arrives together with data, Node reports
 * an orderly end.
 */
for (const path of [RESUMABLE_PATH, ONCE_PATH]) {
  const end = path === RESUMABLE_PATH ? "is resumed" : "ends broken";
  test(`stream without a length whose reset arrives with its last event ${end}`, async (t) => {
    const asked = await askStream(t, path, (socket, id) => {
      resetWithData(socket, headWithoutLength(id) + EVENTS);
    });
    assert.equal(asked.isComplete, path === RESUMABLE_PATH);
    if (path === RESUMABLE_PATH) assert.equal(asked.body, WHOLE);
  });
}

for (const path of ["/look/a", "/book/a"]) {
  const end = path === "/look/a" ? "is sent to another server" : "fails";
  test(`call whose answer without a length is reset with its data ${end}`, async (t) => {
    const world = await openWorld(t);
    const raw = await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, id) => {
        resetWithData(socket, `${headWithoutLength(id)}do`);
      },
    });
    const other = await world.worker("i-2");
    other.faults.refuse = 1;
    const asked = await askUntilAccepted(world, path);
    const isRepeatable = path === "/look/a";
    assert.equal(asked.status, isRepeatable ? 200 : 502);
    assert.equal(asked.body, isRepeatable ? PLAIN_ANSWER_BODY : "");
    const runs = [raw.requests.length, other.runs.length];
    assert.deepEqual(runs, isRepeatable ? [1, 1] : [1, 0]);
  });
}
