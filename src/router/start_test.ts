import assert from "node:assert/strict";
import { execFileSync, spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import process from "node:process";
import { test } from "node:test";

const IP_ADDRESS = "127.9.7.1";
const ENV = {
  CICADAHITCH_INSTANCE: "e-1",
  CICADAHITCH_ZONE: "a",
  CICADAHITCH_IP_ADDRESS: IP_ADDRESS,
  CICADAHITCH_CLIENT_ADDRESS: `${IP_ADDRESS}:23711`,
  CICADAHITCH_READINESS_ADDRESS: `${IP_ADDRESS}:23712`,
  CICADAHITCH_CONTROL_ADDRESS: `${IP_ADDRESS}:23713`,
  CICADAHITCH_PEER_PORT: "23714",
  CICADAHITCH_STORE_ADDRESS: `${IP_ADDRESS}:23715`,
  CICADAHITCH_GRACE_S: "1",
  CICADAHITCH_SEED_ADDRESSES: "",
  CICADAHITCH_ENGINES_CHECK_FENCES: "",
};

/** What the platform runs on an entry instance. */
function deployedCommand(): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "node (.*)"$/m.exec(text)?.[1];
  assert.ok(run);
  return run.split(" ");
}

test("deployed program starts, from code that the build compiled", async (t) => {
  execFileSync(process.execPath, ["deploy/build.mjs"]);
  assert.ok(existsSync("target/router.cache"));
  const router = spawn(process.execPath, deployedCommand(), { env: ENV });
  t.after(() => router.kill("SIGKILL"));
  const events: string[] = [];
  for await (const line of createInterface({ input: router.stdout })) {
    events.push(JSON.parse(line).event);
    if (events.at(-1) === "listening") break;
  }
  assert.ok(events.includes("listening"));
  assert.ok(!events.includes("compiled_code_rejected"));
});
