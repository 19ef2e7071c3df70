import assert from "node:assert/strict";
import { test } from "node:test";
import { AdminClient } from "../admin/mod.ts";
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_POOLS,
  SAMPLE_TEAM,
  sha256Hex,
} from "../cli/sample_team.ts";
import { Child } from "../e2e/_child.ts";
import {
  callBooking,
  type CallResult,
  callStreaming,
  chatBody,
} from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";
import { moveAgentToProcess } from "./_agent_process.ts";

const KEY_COUNT = 24;
const SLOW_COMMIT_MS = 400;
const POLL_MS = 20;
const MAX_TRIES = 1500;

function runCount({ services }: ProofFleet, word: string): number {
  const runs = services.flatMap(({ executions }) => executions);
  return runs.filter(({ body }) => JSON.parse(body).word === word).length;
}

async function until(
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let tries = 0; !await isMet(); tries++) {
    assert.ok(tries < MAX_TRIES, "Condition was not met in time");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

test("an agent that was paused during its claims runs no call twice", async (context) => {
  const fleet = await ProofFleet.create({ engines: 0 });
  context.after(() => fleet.close());
  const [first, second] = fleet.entries;
  const paused = fleet.agentSlots[1]!;
  const child = await moveAgentToProcess(fleet, paused);
  context.after(() => child.close());
  await callBooking(first!, { word: "warm" }, "warm");
  const words = Array.from(
    { length: KEY_COUNT },
    (_, index) => `word-${index}`,
  );
  const book = (slot: typeof first, word: string) =>
    callBooking(slot!, { word }, word);
  // Pause the agent while its commits are in flight and before any claim is granted.
  await fleet.kv.setFaults({ slowMs: SLOW_COMMIT_MS });
  const firstTries = words.map((word) => book(first, word));
  await new Promise((resolve) => setTimeout(resolve, SLOW_COMMIT_MS / 2));
  child.kill("SIGSTOP");
  await fleet.kv.setFaults({ slowMs: 0 });
  fleet.setListedState(paused, "gone");
  const repeats = await Promise.all(words.map((word) => book(second, word)));
  child.kill("SIGCONT");
  const firsts = await Promise.all(firstTries);
  fleet.setListedState(paused, "live");
  const last = await Promise.all(words.map((word) => book(first, word)));
  for (const [index, word] of words.entries()) {
    const results: CallResult[] = [
      firsts[index]!,
      repeats[index]!,
      last[index]!,
    ];
    const runs = runCount(fleet, word);
    const details = `${word}: ${runs} runs, ${JSON.stringify(results)}`;
    assert.ok(runs <= 1, details);
    const isAnswered = results.some(({ kind }) => kind === "answer");
    if (isAnswered) assert.equal(runs, 1, details);
    const isRefused = results.every(({ execution }) => execution === "not_run");
    if (isRefused) assert.equal(runs, 0, details);
  }
});

test("an entry that was paused with an old configuration version adopts the new one", async (context) => {
  const fleet = await ProofFleet.create({ services: 0, entries: 1 });
  context.after(() => fleet.close());
  const [slot] = fleet.entries;
  const child = Child.create({
    program: "cli/main",
    args: [
      "entry",
      ...["--instance-id", "sleeper", "--zone", "a"],
      ...["--http-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"],
      ...["--admin-address", "127.0.0.1:0"],
      ...["--admin-key-sha256", sha256Hex(SAMPLE_ADMIN_KEY)],
      ...["--store-address", fleet.kv.address],
      ...["--seed-addresses", fleet.agentSlots.map((s) => s.address).join(",")],
    ],
  });
  context.after(() => child.close());
  const { listening } = await child.started<{
    listening: { http: string; admin: string };
  }>();
  const clientOf = (address: string) => {
    const client = AdminClient.create({
      url: `http://${address}`,
      key: SAMPLE_ADMIN_KEY,
      writer: "test",
    });
    context.after(() => client.close());
    return client;
  };
  const running = clientOf(slot!.entry.adminAddress);
  const resumed = clientOf(listening.admin);
  child.kill("SIGSTOP");
  const path = `/pools/${SAMPLE_POOLS.engines}/fencing`;
  const written = await running.patch(SAMPLE_TEAM, { path, value: "ignored" });
  const { version } = written.unwrapOrElse((failure) => {
    throw new Error(JSON.stringify(failure));
  });
  child.kill("SIGCONT");
  // A write that expects the version from before the pause must not overwrite the newer version.
  const stale = await resumed.patch(
    SAMPLE_TEAM,
    { path, value: "enforced" },
    version - 1,
  );
  assert.equal(stale.isErr && stale.error.kind, "refused");
  await until(async () => {
    const listed = await resumed.list();
    return listed.isOk && listed.value.teams[0]?.version === version;
  });
  const resumedSlot = { ...slot!, entry: { httpAddress: listening.http } };
  const result = await callStreaming(
    resumedSlot as typeof slot & object,
    chatBody("awake"),
  );
  assert.equal(result.kind, "answer", JSON.stringify(result));
  assert.equal(slot!.entry.branches.revisionOf(SAMPLE_TEAM), BigInt(version));
});
