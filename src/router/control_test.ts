import assert from "node:assert/strict";
import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { closeServer, serveControl } from "./control.ts";

/*
 * The control address serves any client that can reach it. An invalid request target such as `//` must
 * not throw in the server's listener, which would end the process.
 */
test("request target that is not a valid URL gets 404", async (t) => {
  const server = await serveControl({ ipAddress: "127.0.0.1", port: 0 }, {
    relay: (after) => `{"after":"${after.revision}"}`,
    expectedCaches: () => "{}",
    metrics: () => "",
    state: () => ({}),
  });
  t.after(() => closeServer(server));
  const { port } = server.address() as AddressInfo;
  const ask = (path: string) =>
    new Promise<number>((resolve, reject) => {
      const call = request({ port, host: "127.0.0.1", path }, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
      call.on("error", reject);
      call.end();
    });
  for (const path of ["//", "///", "/%", "/?a=%", "/relay?after=x"]) {
    assert.equal(await ask(path), 404, path);
  }
  for (const path of ["/relay", "/relay?after=7", "/cached", "/state"]) {
    assert.equal(await ask(path), 200, path);
  }
});
