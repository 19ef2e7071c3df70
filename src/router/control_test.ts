import assert from "node:assert/strict";
import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { closeServer, serveControl } from "./control.ts";

/*
 * The control address answers whoever reaches it. A target that is no URL, such as `//`, threw out
 * of the server's listener and ended the process.
 */
test("target that is no URL is not found", async (t) => {
  const server = await serveControl({ ipAddress: "127.0.0.1", port: 0 }, {
    relay: (after) => `{"after":"${after}"}`,
    lessons: () => "{}",
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
