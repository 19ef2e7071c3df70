import assert from "node:assert/strict";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  headWithoutLength,
  MODEL_REQUEST_HEADERS,
  type RawResponder,
  SEALED_HEAD,
} from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld, type World } from "./_world.ts";

/** More than a router needs to notice that a connection was closed. */
const NOTICE_MS = 50;

/** Records unhandled rejections, which would end a router's process and all requests in flight. */
function watchRejections(t: TestContext): unknown[] {
  const rejections: unknown[] = [];
  const note = (reason: unknown) => rejections.push(reason);
  process.on("unhandledRejection", note);
  t.after(() => process.off("unhandledRejection", note));
  return rejections;
}

// Truncated responses, by how they declare their end; none may look complete to the client.
const TRUNCATED_RESPONSES: Record<string, (id: string) => string> = {
  "length, and closes": (id) =>
    `${SEALED_HEAD}attempt-id: ${id}\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf`,
  "chunks, and closes, cut in one": (id) =>
    `${SEALED_HEAD}attempt-id: ${id}\r\nconnection: close\r\n` +
    `transfer-encoding: chunked\r\n\r\n9\r\nhalf`,
  "chunks, and closes, cut between two": (id) =>
    `${SEALED_HEAD}attempt-id: ${id}\r\nconnection: close\r\n` +
    `transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
  "chunks, and closes, cut in the last": (id) =>
    `${SEALED_HEAD}attempt-id: ${id}\r\nconnection: close\r\n` +
    `transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n`,
};

for (const [name, bytes] of Object.entries(TRUNCATED_RESPONSES)) {
  for (const isReset of [false, true]) {
    const end = isReset ? "reset" : "closed";
    test(`truncated response is not forwarded as complete: ${name}, ${end}`, async (t) => {
      const world = await openWorld(t);
      await serveBytes(t, world, {
        id: "i-raw",
        service: "plain",
        answer: (socket, attemptId) => {
          socket.write(bytes(attemptId), () => {
            setTimeout(() => {
              if (isReset) socket.resetAndDestroy();
              else socket.end();
            }, 20);
          });
        },
      });
      assert.equal((await askUntilAccepted(world, "/book/a")).status, 502);
    });
  }
}

// Without a length, the end of the connection is the end of the response.
const RESPONSES_WITHOUT_LENGTH: Record<string, (id: string) => string> = {
  "no length": (id) => `${headWithoutLength(id)}half`,
  "no length, of an older protocol": (id) =>
    `HTTP/1.0 200 OK\r\nserver-seal: s\r\nattempt-id: ${id}\r\n\r\nhalf`,
  "an encoding that is not chunked": (id) =>
    `${SEALED_HEAD}attempt-id: ${id}\r\ntransfer-encoding: identity\r\n\r\nhalf`,
};

for (const [name, bytes] of Object.entries(RESPONSES_WITHOUT_LENGTH)) {
  test(`truncated response is not forwarded as complete: ${name}, reset`, async (t) => {
    const world = await openWorld(t);
    await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, attemptId) => {
        socket.write(bytes(attemptId), () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      },
    });
    assert.equal((await askUntilAccepted(world, "/book/a")).status, 502);
  });

  test(`truncated response is not forwarded as complete: ${name}, closed by a crash`, async (t) => {
    const world = await openWorld(t);
    const server = await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, attemptId) => {
        socket.write(bytes(attemptId), () => {
          server.stopListening();
          socket.end();
        });
      },
    });
    assert.equal((await askUntilAccepted(world, "/book/a")).status, 502);
  });

  test(`response that ends with its connection is forwarded: ${name}`, async (t) => {
    const world = await openWorld(t);
    const server = await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, attemptId) => {
        socket.write(bytes(attemptId), () => {
          setTimeout(() => socket.end("over"), 20);
        });
      },
    });
    for (const path of ["/book/a", "/look/a"]) {
      const asked = await askUntilAccepted(world, path);
      assert.equal(asked.status, 200);
      assert.equal(asked.body, "halfover");
      assert.ok(asked.isComplete);
    }
    assert.equal(server.requests.length, 2);
  });
}

test("interim responses are skipped", async (t) => {
  for (const interim of ["103 Early Hints", "102 Processing"]) {
    const world = await openWorld(t);
    await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, id) => {
        socket.write(`HTTP/1.1 ${interim}\r\nserver-seal: no\r\n\r\n`);
        socket.write(
          `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: 4\r\n\r\ndone`,
        );
      },
    });
    const asked = await askUntilAccepted(world, "/book/a");
    assert.equal(asked.status, 200);
    assert.equal(asked.headers["server-seal"], "s");
    assert.equal(asked.body, "done");
    await world.router.stop();
  }
});

// A server may send an extra response where the one to the next request is expected. It carries the id
// of its own request, so it can be told apart.
test("late extra response to an earlier request is not forwarded", async (t) => {
  const world = await openWorld(t);
  const { requests } = await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id, nth) => {
      const of = nth === 2 ? "attempt-0" : id;
      const answer =
        `${SEALED_HEAD}attempt-id: ${of}\r\ncontent-length: 4\r\n\r\ndone`;
      socket.write(answer);
    },
  });
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 200);
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 502);
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 200);
  assert.equal(requests.length, 3);
});

test("response without a request id is not forwarded", async (t) => {
  const world = await openWorld(t);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id, nth) => {
      const name = nth === 2 ? "" : `attempt-id: ${id}\r\n`;
      socket.write(`${SEALED_HEAD}${name}content-length: 4\r\n\r\ndone`);
    },
  });
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 200);
  assert.equal((await askUntilAccepted(world, "/book/a")).status, 502);
});

test("extra bytes after a response are not read as the next response", async (t) => {
  for (const behindMs of [0, 1, 20]) {
    const world = await openWorld(t);
    const server = await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, id, nth) => {
        socket.write(
          `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: 4\r\n\r\ndone`,
        );
        if (nth > 1) return;
        const extra =
          `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: 4\r\n\r\nevil`;
        if (behindMs === 0) socket.write(extra);
        else setTimeout(() => socket.write(extra), behindMs);
      },
    });
    assert.equal((await askUntilAccepted(world, "/book/a")).body, "done");
    await sleep(NOTICE_MS);
    const second = await askUntilAccepted(world, "/book/b", {
      "attempt-id": "attempt-2",
    });
    assert.equal(second.status, 200);
    assert.equal(second.body, "done");
    assert.equal(server.connections, 2);
    await world.router.stop();
  }
});

// The router writes a new response head for the client, and Node rejects some bytes that a server's
// header may contain.
for (
  const [name, value] of [["beyond ASCII", "caf\xe9"], ["control", "a\x01b"]]
) {
  test(`response header with a byte ${name} doesn't end the process`, async (t) => {
    const rejections = watchRejections(t);
    const world = await openWorld(t);
    await serveBytes(t, world, {
      id: "i-raw",
      service: "plain",
      answer: (socket, id) => {
        const head = `${SEALED_HEAD}attempt-id: ${id}\r\nx-note: ${value}\r\n`;
        socket.write(`${head}content-length: 4\r\n\r\ndone`, "latin1");
      },
    });
    const asked = askUntilAccepted(world, "/book/a");
    const answered = await Promise.race([asked, sleep(2000)]);
    assert.deepEqual(rejections, []);
    assert.ok(answered, "no response arrived in time");
    assert.ok([200, 502].includes(answered.status));
  });
}

/** Breaks the first stream after two events, and answers the resumed one with given bytes. */
function breakFirst(resumed: (id: string) => string): RawResponder {
  return (socket, id, nth) => {
    const head = `${SEALED_HEAD}attempt-id: ${id}\r\n` +
      `content-type: text/event-stream\r\nweight-versions: 1\r\n`;
    if (nth > 1) return void socket.end(resumed(id), "latin1");
    const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const size = events.length.toString(16);
    socket.write(
      `${head}transfer-encoding: chunked\r\n\r\n${size}\r\n${events}\r\n`,
      () => setTimeout(() => socket.destroy(), 20),
    );
  };
}

/** Registers two engines, of which the first one asked breaks off; counts their requests. */
async function serveBroken(
  t: TestContext,
  world: World,
  resumed: (id: string) => string,
): Promise<{ count: number }> {
  const asked = { count: 0 };
  const answer = breakFirst(resumed);
  for (const id of ["i-1", "i-2"]) {
    await serveBytes(t, world, {
      id,
      service: "engines",
      answer: (socket, attemptId) => answer(socket, attemptId, ++asked.count),
    });
  }
  return asked;
}

// The client already has the head of the stream, so the head of another response can't follow.
const NON_STREAM_RESPONSES: Record<string, (id: string) => string> = {
  "server's own failure": (id) =>
    `HTTP/1.1 500 Failed\r\nserver-seal: s\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nno`,
  "refusal of the request": (id) =>
    `HTTP/1.1 400 Bad\r\nserver-seal: s\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nno`,
  "no content": (id) =>
    `HTTP/1.1 204 None\r\nserver-seal: s\r\nattempt-id: ${id}\r\n\r\n`,
};

for (const [name, resumed] of Object.entries(NON_STREAM_RESPONSES)) {
  test(`broken stream ends broken if the next server doesn't resume it: ${name}`, async (t) => {
    const rejections = watchRejections(t);
    const world = await openWorld(t);
    const asked = await serveBroken(t, world, resumed);
    const read = await Promise.race([
      askUntilAccepted(world, "/stream/a", MODEL_REQUEST_HEADERS),
      sleep(3000),
    ]);
    assert.deepEqual(rejections, []);
    assert.ok(read, "the stream did not end in time");
    assert.equal(asked.count, 2);
    assert.equal(read.isComplete, false);
    assert.equal(read.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  });
}

test("events that a resumed stream repeats are not forwarded", async (t) => {
  const world = await openWorld(t);
  const events = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  await serveBroken(
    t,
    world,
    (id) =>
      `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: ${events.length}\r\n\r\n${events}`,
  );
  const read = await askUntilAccepted(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(read.isComplete, false);
  assert.equal(read.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
});

test("resumed stream that is truncated between events ends broken", async (t) => {
  const world = await openWorld(t);
  const events = "id: 3\ndata: c\n\n";
  await serveBroken(
    t,
    world,
    (id) =>
      `${SEALED_HEAD}attempt-id: ${id}\r\nconnection: close\r\n` +
      `transfer-encoding: chunked\r\n\r\n${
        events.length.toString(16)
      }\r\n${events}\r\n`,
  );
  const read = await askUntilAccepted(
    world,
    "/stream/a",
    MODEL_REQUEST_HEADERS,
  );
  assert.equal(read.isComplete, false);
});
