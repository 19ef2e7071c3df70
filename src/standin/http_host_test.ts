import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpHost } from "./_http_host.ts";
import { sendClientRequest } from "./platform_client.ts";

const MAX_POLLS = 100;

// Node ignores a reset on a socket that is already being ended, and then never closes it. A pending
// long poll on such a connection kept the process alive until the poll ended after 20 s.
test("cut() closes a connection that the client is ending", async (t) => {
  let isClosed = false;
  const host = await HttpHost.create({
    listenAddress: "127.0.0.1:0",
    handle: ({ response }) => {
      response.once("close", () => isClosed = true);
      response.socket?.once("end", () => host.cut());
      response.writeHead(200).flushHeaders();
    },
  });
  t.after(() => host.down());
  const [ipAddress, port] = host.address.split(":");
  const client = connect(Number(port), ipAddress);
  client.on("error", () => {});
  client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await once(client, "data");
  client.end();
  for (let i = 0; i < MAX_POLLS && !isClosed; i++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert(isClosed);
});

test("host that closes connections accepts them and answers none", async (t) => {
  const host = await HttpHost.create({
    listenAddress: "127.0.0.1:0",
    handle: ({ response }) => void response.end("served"),
  });
  t.after(() => host.down());
  const [ipAddress = "", port] = host.address.split(":");
  const entry = { ipAddress, clientPort: Number(port) };
  assert.equal((await sendClientRequest(entry, "/")).body, "served");
  host.endConnections({ isReset: false, acceptance: "close" });
  const isRefused = (error: NodeJS.ErrnoException) =>
    error.code === "ECONNREFUSED";
  await assert.rejects(
    sendClientRequest(entry, "/"),
    (error: Error) => !isRefused(error),
  );
  await host.down();
  await assert.rejects(sendClientRequest(entry, "/"), isRefused);
  await host.up();
  assert.equal((await sendClientRequest(entry, "/")).body, "served");
});
