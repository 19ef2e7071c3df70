import assert from "node:assert/strict";
import {
  type ChildProcessWithoutNullStreams,
  execFileSync,
  spawn,
} from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import process from "node:process";
import { test, type TestContext } from "node:test";

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

/** Returns the arguments of the command that the platform runs to start a router. */
function deployedCommand(): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "node (.*)"$/m.exec(text)?.[1];
  assert.ok(run);
  return run.split(" ");
}

/** Module that emits a warning as soon as a byte arrives on stdin. */
const WARN_ON_INPUT = "data:text/javascript," + encodeURIComponent(
  'process.stdin.once("data", () => process.emitWarning("Odd", "OddWarning"));',
);

function startRouter(
  t: TestContext,
  options: string[] = [],
): ChildProcessWithoutNullStreams {
  const args = [...options, ...deployedCommand()];
  const router = spawn(process.execPath, args, { env: ENV });
  t.after(() => router.kill("SIGKILL"));
  return router;
}

test("deployed program starts from the compiled code of the build", async (t) => {
  execFileSync(process.execPath, ["deploy/build.mjs"]);
  assert.ok(existsSync("target/router.cache"));
  const router = startRouter(t);
  const events: string[] = [];
  for await (const line of createInterface({ input: router.stdout })) {
    events.push(JSON.parse(line).event);
    if (events.at(-1) === "listening") break;
  }
  assert.ok(events.includes("listening"));
  assert.ok(!events.includes("compiled_code_rejected"));
  // The next test uses the same addresses.
  const ended = once(router, "exit");
  router.kill("SIGKILL");
  await ended;
});

// Guards against Node's plain-text warnings between the log lines, which log tools can't read.
test("Node warnings are written as log lines, not as plain text", async (t) => {
  const router = startRouter(t, ["--import", WARN_ON_INPUT]);
  const ended = once(router, "close");
  let plain = "";
  router.stderr.on("data", (chunk: Buffer) => {
    plain += chunk;
    // Ends the test, which would otherwise wait for a log line that never comes.
    router.kill("SIGKILL");
  });
  const lines: { event: string; name?: string; message?: string }[] = [];
  for await (const line of createInterface({ input: router.stdout })) {
    lines.push(JSON.parse(line));
    if (lines.at(-1)?.event === "listening") router.stdin.write("\n");
    if (lines.at(-1)?.event === "process_warning") router.kill("SIGKILL");
  }
  await ended;
  assert.equal(plain, "");
  const { name, message } = lines.at(-1) ?? {};
  assert.deepEqual({ name, message }, { name: "OddWarning", message: "Odd" });
});

// Guards against a second signal that ends the process with its requests in flight.
test("router that stops goes on to its grace time after a second SIGTERM", async (t) => {
  const router = startRouter(t);
  const exited = once(router, "exit");
  const events: string[] = [];
  for await (const line of createInterface({ input: router.stdout })) {
    const { event } = JSON.parse(line);
    events.push(event);
    if (event === "listening" || event === "stopping") router.kill("SIGTERM");
  }
  assert.deepEqual(await exited, [0, null]);
  assert.ok(events.includes("stop_asked_again"), events.join());
  assert.ok(events.includes("stopped"));
});
