import assert from "node:assert/strict";
import { test } from "node:test";
import { StandinPlatformStore } from "../standin/mod.ts";
import { recordedLog } from "./_kit.ts";
import { createStore } from "./store_client.ts";

// An unreadable registration was logged as an item at each of its writes and listings, and once more as a
// malformed registration.
test("unreadable value is left to the line about a malformed one, if there is one", async (t) => {
  const server = await StandinPlatformStore.create();
  const { log, lines } = recordedLog();
  const [ip, port] = server.address.split(":");
  const storeAddress = { ipAddress: ip!, port: Number(port) };
  const store = createStore({ storeAddress, heartbeatMs: 1000 }, log);
  t.after(async () => {
    store.close();
    await server.close();
  });
  for (const key of ["servers/i-1", "op/config", "elsewhere"]) {
    server.fieldOverrides.set(key, { value: "%%%%" });
    await server.put(key, {});
  }
  const listed = await store.list("");
  assert.equal(listed.isOk && listed.value.entries.length, 3);
  assert.deepEqual(lines.map(({ key }) => key), ["elsewhere"]);
});
