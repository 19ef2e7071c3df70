import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeldAnswers } from "./held_answers.ts";

/** More than the kernel takes of an answer that its client doesn't read. */
const ANSWER_BYTES = 16 * 1024 * 1024;
const KERNEL_BYTES = 8 * 1024 * 1024;

// Each client that didn't read held a whole answer in memory, for as long as it stayed connected.
test("oldest answers that clients don't take are aborted, others are delivered", async (t) => {
  const aborted: ServerResponse[] = [];
  const responses: ServerResponse[] = [];
  const held = HeldAnswers.create({
    maxBytes: 2 * ANSWER_BYTES,
    abort: (response) => {
      aborted.push(response);
      response.destroy();
    },
  });
  const server = createServer((_request, response) => {
    responses.push(response);
    response.end(Buffer.alloc(ANSWER_BYTES));
    held.add(response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clients: Socket[] = [];
  t.after(() => {
    for (const client of clients) client.destroy();
    server.close();
  });
  const ask = () => {
    const client = connect({ port, host: "127.0.0.1" }).on("error", () => {});
    clients.push(client);
    client.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    return client;
  };
  for (let count = 1; count <= 6; count++) {
    ask().pause();
    while (responses.length < count) await sleep(1);
    assert.ok(held.bytes <= 2 * ANSWER_BYTES);
  }
  assert.ok(held.bytes > 2 * (ANSWER_BYTES - KERNEL_BYTES));
  assert.ok(aborted.length >= 2);
  assert.deepEqual(aborted, responses.slice(0, aborted.length));
  const chunks = await ask().toArray();
  assert.ok(Buffer.concat(chunks).length > ANSWER_BYTES);
  const before = held.bytes;
  for (const client of clients) client.destroy();
  while (held.bytes > 0) await sleep(1);
  assert.ok(before <= 2 * ANSWER_BYTES);
});
