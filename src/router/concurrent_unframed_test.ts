import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { headWithoutLength, PLAIN_ANSWER_BODY } from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld } from "./_world.ts";

const REQUESTS = 3;

// Guards against taking a server for ended whose answers all end with their connections.
test("whole answers without a length that end at the same time are delivered", async (t) => {
  const world = await openWorld(t);
  const open: { socket: Socket; id: string }[] = [];
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id) => {
      open.push({ socket, id });
      if (open.length < REQUESTS) return;
      for (const { socket, id } of open) {
        socket.end(headWithoutLength(id) + PLAIN_ANSWER_BODY);
      }
    },
  });
  const asked = await Promise.all(
    Array.from(
      { length: REQUESTS },
      (_, i) => askUntilAccepted(world, `/book/${i}`, { "attempt-id": `${i}` }),
    ),
  );
  assert.deepEqual(
    asked.map(({ status, body }) => `${status} ${body}`),
    asked.map(() => `200 ${PLAIN_ANSWER_BODY}`),
  );
  assert.equal(raw.requests.length, REQUESTS);
});
