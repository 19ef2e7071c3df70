import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpHost } from "./_http_host.ts";

const LOOKS = 100;

// Node refuses to reset a connection that it is shutting down, and then never closes it: a request on
// it stayed under way, and with it the process, until its long poll ended after 20 s.
test("connection that the client ends as it is cut is closed", async (t) => {
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
  for (let i = 0; i < LOOKS && !isClosed; i++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert(isClosed);
});
