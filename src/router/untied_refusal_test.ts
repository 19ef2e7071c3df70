/**
 * A refusal without an id may be the copy of an earlier one. It says nothing about a request on a
 * connection that has carried others.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MODEL_REQUEST_HEADERS, SEALED_HEAD } from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld } from "./_world.ts";

/** Time from the arrival of a request to the copy of an earlier refusal, and to the request's answer. */
const COPY_MS = 20;
const ANSWER_MS = 60;
/** More than a router needs to read an answer, and than it holds back a server that refused. */
const HOLD_MS = 400;

const REFUSAL =
  "HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
const REFUSAL_WITH_PAUSE =
  "HTTP/1.1 503 Full\r\nnot-executed: 1\r\nretry-after: 0.2\r\n" +
  "content-length: 0\r\n\r\n";
const OTHER_SERVER = "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n";

const EVENT = "id: 1\ndata: x1\n\n";

/** Routes whose requests may run at one server only, with its service. */
const ROUTES = [
  { path: "/open/a", service: "plain", headers: {} },
  { path: "/book/a", service: "plain", headers: {} },
  { path: "/once/a", service: "engines", headers: MODEL_REQUEST_HEADERS },
];

/** Answer to the first request on the connection, and the refusal that follows the next one. */
const PLAYS: Record<string, { first: string; copy: string }> = {
  "of a refusal": { first: REFUSAL, copy: REFUSAL },
  "with a pause, of a refusal": {
    first: REFUSAL_WITH_PAUSE,
    copy: REFUSAL_WITH_PAUSE,
  },
  "behind an answer": { first: "", copy: REFUSAL },
  "with a pause, behind an answer": { first: "", copy: REFUSAL_WITH_PAUSE },
  "for another server, behind an answer": { first: "", copy: OTHER_SERVER },
};

/** Answers whole, and repeats a refusal on the connection of its first answer. */
function createResponder({ first, copy }: { first: string; copy: string }) {
  const runIds: string[] = [];
  let firstSocket: Socket | undefined;
  const answer = (socket: Socket, attemptId: string, nth: number) => {
    if (nth === 1 && first !== "") {
      firstSocket = socket;
      socket.write(first);
      return;
    }
    runIds.push(attemptId);
    if (firstSocket) setTimeout(() => firstSocket?.write(copy), COPY_MS);
    firstSocket ??= socket;
    setTimeout(() => {
      socket.write(
        `${SEALED_HEAD}attempt-id: ${attemptId}\r\n` +
          `content-type: text/event-stream\r\n` +
          `content-length: ${EVENT.length}\r\n\r\n${EVENT}`,
      );
    }, ANSWER_MS);
  };
  return { runIds, answer };
}

for (const [name, play] of Object.entries(PLAYS)) {
  for (const { path, service, headers } of ROUTES) {
    // Guards against a promise that a request has not run, while its server runs it.
    test(`late refusal ${name} is not the answer to the next request: ${path}`, async (t) => {
      const world = await openWorld(t);
      const { runIds, answer } = createResponder(play);
      await serveBytes(t, world, { id: "i-raw", service, answer });
      const statuses: Record<string, number> = {};
      for (const id of ["call-1", "call-2", "call-3"]) {
        const asked = await askUntilAccepted(world, path, {
          ...headers,
          "attempt-id": id,
        });
        statuses[id] = asked.status;
        await sleep(HOLD_MS);
      }
      const answered = Object.keys(statuses).filter((id) =>
        statuses[id] === 200
      );
      // Each call that ran did so once, and has its answer.
      assert.deepEqual(runIds, answered, JSON.stringify(statuses));
      assert.equal(statuses["call-3"], 200);
    });
  }
}

// Guards against runs at more servers than the route allows.
test("late refusals don't run an idempotent request more often than its route allows", async (t) => {
  const world = await openWorld(t);
  const runIds: string[] = [];
  const used = new Set<Socket>();
  const answer = (socket: Socket, attemptId: string) => {
    runIds.push(attemptId);
    if (used.has(socket)) setTimeout(() => socket.write(REFUSAL), COPY_MS);
    used.add(socket);
    const head = `${SEALED_HEAD}attempt-id: ${attemptId}\r\n`;
    setTimeout(
      () => socket.write(`${head}content-length: 0\r\n\r\n`),
      ANSWER_MS,
    );
  };
  for (const id of ["i-raw1", "i-raw2", "i-raw3"]) {
    await serveBytes(t, world, { id, service: "plain", answer });
  }
  const calls = Array.from({ length: 12 }, (_, i) => `call-${i}`);
  for (const id of calls) {
    await askUntilAccepted(world, "/look/a", { "attempt-id": id });
  }
  const maxAttempts = 2;
  for (const id of calls) {
    const runCount = runIds.filter((one) => one === id).length;
    assert.ok(runCount <= maxAttempts, `${id} ran ${runCount} times`);
  }
});
