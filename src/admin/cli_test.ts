import assert from "node:assert/strict";
import { test } from "node:test";
import yargs from "yargs";
import { ADMIN_KEY, BRANCH, startTestCluster } from "./_test_cluster.ts";
import { addAdminCommands, ADMIN_EXIT, type AdminIo } from "./cli.ts";

/** Exit status and output of a command. */
interface CommandOutcome {
  status: number | undefined;
  output: string;
  problem: string;
}

async function runCommand(
  url: string,
  args: string[],
  input: unknown = BRANCH,
): Promise<CommandOutcome> {
  const result: CommandOutcome = { status: undefined, output: "", problem: "" };
  const io: AdminIo = {
    write: (line) => result.output += line,
    writeError: (line) => result.problem += line,
    setExitStatus: (status) => result.status = status,
    readInput: () => Promise.resolve(JSON.stringify(input)),
    environment: {
      CICADAHITCH_ADMIN_URL: url,
      CICADAHITCH_ADMIN_KEY: ADMIN_KEY,
    },
  };
  const cli = yargs(["admin", ...args])
    .parserConfiguration({
      "camel-case-expansion": false,
      "dot-notation": false,
    })
    .exitProcess(false)
    .fail(false);
  await addAdminCommands(cli, io).parseAsync();
  return result;
}

test("the commands create, change, show and delete a team", async (context) => {
  const cluster = await startTestCluster(1);
  context.after(cluster.close);
  const url = cluster.nodes[0]?.url ?? "";
  const good = async (...args: string[]) => {
    const { status, output, problem } = await runCommand(url, args);
    assert.equal(status, ADMIN_EXIT.Done, problem);
    return JSON.parse(output);
  };
  const first = await good("create", "007");
  assert.equal(first.team, "007");
  assert.equal((await good("list")).teams.length, 1);
  await good("validate", "007");
  const patched = await good("patch", "007", "/limits", '{"maxInFlight":3}');
  const shown = await good("show", "007");
  assert.deepEqual(shown.branch.limits, { maxInFlight: 3 });
  const earlier = await good("show", "007", "--version", `${first.version}`);
  assert.deepEqual(earlier.branch, BRANCH);
  await good("patch", "007", "/limits", "--remove");
  await good("roll-forward", "007", `${patched.version}`);
  const { key } = await good("new-key", "007", "salon");
  assert(key.startsWith("007.salon."));
  assert((await good("in-force", "007")).inForceEverywhere);
  const { versions } = await good("history", "007");
  assert.equal(versions.length, 5);
  const last = `${versions[0].version}`;
  const replaced = await good("replace", "007", "--if-match", last);
  await good("delete", "007", "--if-match", `${replaced.version}`);
});

test("a rejected request exits with 1 and prints the reason", async (context) => {
  const cluster = await startTestCluster(1);
  context.after(cluster.close);
  const url = cluster.nodes[0]?.url ?? "";
  const { status, problem } = await runCommand(url, ["create", "a"], {
    format: 1,
  });
  assert.equal(status, ADMIN_EXIT.Refused);
  assert.equal(JSON.parse(problem).error.code, "invalid_branch");
  const checked = await runCommand(url, ["validate", "a"], { format: 1 });
  assert.equal(checked.status, ADMIN_EXIT.Refused);
  await cluster.close();
  const gone = await runCommand(url, ["delete", "a", "--if-match", "1"]);
  assert.equal(gone.status, ADMIN_EXIT.Refused);
  assert.equal(JSON.parse(gone.problem).kind, "unreachable");
});

test("invalid usage exits with 2", async () => {
  const { status } = await runCommand("", ["list"]);
  assert.equal(status, ADMIN_EXIT.WrongUsage);
  await assert.rejects(runCommand("http://127.0.0.1:1", ["replace", "a"]));
});

test("an unknown outcome exits with 3", async (context) => {
  const cluster = await startTestCluster(1);
  context.after(cluster.close);
  const node = cluster.nodes[0];
  assert(node);
  node.store.commit = (...args) => {
    cluster.store.faults.loseNextRequest = true;
    return cluster.store.commit(...args);
  };
  const { status, problem } = await runCommand(node.url, ["create", "a"]);
  assert.equal(status, ADMIN_EXIT.Unknown);
  assert.notEqual(JSON.parse(problem).writeId, "");
});
