import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { Result } from "true-myth";
import type { Instance, InstanceChanges } from "../backends/instance_list.ts";
import { ChannelPool } from "../wire/mod.ts";
import { BRANCH, FakeAgent } from "./_fake_agent.ts";
import { ABC, errorOf, send, startEntry } from "./_fixture.ts";
import { InstanceFollower } from "./instance_follower.ts";
import { Members } from "./members.ts";

function agentRow(id: string, change: Partial<Instance> = {}): Instance {
  const address = `127.0.0.1:${id.length}`;
  const zone = "a";
  return {
    id,
    role: "agent",
    zone,
    address,
    pool: "p",
    state: "live",
    ...change,
  };
}

function idsOf(members: Members): string[] {
  return members.pool("p").members.map(({ id }) => id);
}

test("changes update the list of instances", () => {
  const members = Members.create(systemClock);
  const rows = [agentRow("a"), agentRow("b"), agentRow("c", { pool: "q" })];
  members.apply({ revision: 1, full: true, instances: rows });
  assert.deepEqual(idsOf(members), ["a", "b"]);
  const leaving = [agentRow("a", { state: "leaving" })];
  members.apply({ revision: 2, full: false, instances: leaving });
  assert.deepEqual(idsOf(members), ["b"]);
  const gone = [agentRow("b", { state: "gone" })];
  members.apply({ revision: 3, full: false, instances: gone });
  assert.deepEqual(idsOf(members), []);
  assert.equal(members.isGone("b"), true);
  assert.equal(members.isGone("a"), false);
});

test("an agent's leaving report overrides the list until it expires", () => {
  let nowMs = 0;
  const members = Members.create({ ...systemClock, nowMs: () => nowMs });
  const rows = [agentRow("a"), agentRow("b")];
  members.apply({ revision: 1, full: true, instances: rows });
  members.markLeaving("a");
  assert.deepEqual(idsOf(members), ["b"]);
  members.apply({ revision: 2, full: true, instances: rows });
  assert.deepEqual(idsOf(members), ["b"]);
  nowMs = 60_000;
  assert.deepEqual(idsOf(members), ["a", "b"]);
});

test("seeds override what is known of themselves, but not of other instances", () => {
  const members = Members.create(systemClock);
  const options = { isSelfReported: true };
  members.addReported([agentRow("a")], options);
  const reported = [agentRow("a", { state: "gone" }), agentRow("bb")];
  members.addReported(reported, { isSelfReported: false });
  assert.deepEqual(idsOf(members), ["a", "bb"]);
  members.addReported([agentRow("c")], options);
  assert.deepEqual(idsOf(members), ["bb", "c"]);
});

test("a malformed list is ignored and the next valid one is applied", async () => {
  const members = Members.create(systemClock);
  const rows = [agentRow("a")];
  const answers = [
    { revision: 1, full: true, instances: [{ id: 1 }] },
    { revision: 2, full: false, instances: rows },
  ] as InstanceChanges[];
  const end = new AbortController();
  const channels = ChannelPool.create({
    security: { kind: "plain" },
    clock: systemClock,
  });
  const follower = InstanceFollower.create({
    list: {
      changes: () => {
        const next = answers.shift();
        if (!next) end.abort();
        return Promise.resolve(
          next
            ? Result.ok(next)
            : Result.err({ kind: "unavailable", message: "" }),
        );
      },
      close: () => {},
    },
    seedAddresses: [],
    members,
    channels,
    clock: systemClock,
    log: createSilentLogger(),
    random: () => 0,
    waitMs: 1,
  });
  await follower.followList(end.signal);
  assert.deepEqual(idsOf(members), ["a"]);
  channels.close();
});

test("a starting entry gets instances and configuration from another entry", async () => {
  const agent = await FakeAgent.create("a0", (run) => {
    run.started();
    run.pieces(0, ABC);
    run.end(3);
  });
  const first = await startEntry([agent]);
  const second = await startEntry([{ address: first.peerAddress }]);
  assert.equal((await send(second)).status, 200);
  const shown = second.dumpState().instances.map(({ id }) => id).sort();
  assert.deepEqual(shown, ["a0", "entry-1"]);
  await second.stop();
  await first.stop();
  agent.close();
});

test("requests over the team's limit in flight are refused immediately", async () => {
  const { maxInFlight } = BRANCH.limits;
  let open = () => {};
  const gate = new Promise<void>((resolve) => open = resolve);
  const agent = await FakeAgent.create("a0", async (run) => {
    run.started();
    await gate;
    run.pieces(0, ABC);
    run.end(3);
  });
  const entry = await startEntry([agent], { progressMs: 20_000 });
  const refusals: Response[] = [];
  const sent = Array.from({ length: maxInFlight + 5 }, async () => {
    const answer = await send(entry);
    if (answer.status === 429) refusals.push(answer);
    if (refusals.length === 5) open();
    return answer.status;
  });
  const statuses = await Promise.all(sent);
  assert.ok(statuses.filter((status) => status === 200).length <= maxInFlight);
  for (const refusal of refusals) {
    assert.ok(Number(refusal.headers.get("retry-after-ms")) > 0);
    assert.equal((await errorOf(refusal)).code, "team_limit");
  }
  await entry.stop();
  agent.close();
});
