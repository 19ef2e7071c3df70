import assert from "node:assert/strict";
import { test } from "node:test";
import { Child, type ExitStatus } from "./_child.ts";

async function run(
  ...args: string[]
): Promise<{ ending: ExitStatus; log: string }> {
  const child = Child.create({ program: "cli/main", args });
  const ending = await child.exited;
  return { ending, log: child.log };
}

test("invalid settings exit with status 2 and are all reported", async () => {
  const { ending, log } = await run(
    "entry",
    ...["--http-address", "localhost:1", "--drain-ms", "soon", "--typo", "x"],
  );
  assert.equal(ending.code, 2);
  const named = ["http-address", "drain-ms", "typo", "instance-id", "zone"];
  for (const flag of named) assert.match(log, new RegExp(`--${flag}: `));
  assert.match(log, /"soon".*Expected a whole number of ms/);
});

test("an unknown command exits with status 2", async () => {
  for (const args of [["router"], ["admin", "router"], ["admin"], []]) {
    const { ending, log } = await run(...args);
    assert.equal(ending.code, 2, args.join(" "));
    assert.match(log, /See cicadahitch --help/);
  }
});

test("an address in use exits with status 1", async () => {
  const args = ["--instance-id", "a", "--zone", "a", "--pool", "p"];
  const engine = ["--engine-url", "http://127.0.0.1:1"];
  const listen = ["--listen-address", "127.0.0.1:1"];
  const first = Child.create({
    program: "cli/main",
    args: ["agent", ...args, ...engine, "--listen-address", "127.0.0.1:0"],
  });
  try {
    const { listening } = await first.started<
      { listening: { agent: string } }
    >();
    listen[1] = listening.agent;
    const { ending, log } = await run("agent", ...args, ...engine, ...listen);
    assert.equal(ending.code, 1);
    assert.match(log, /Could not listen/);
  } finally {
    await first.close();
  }
});
