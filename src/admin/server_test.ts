import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import type { Result } from "true-myth";
import { historyPrefix, teamKey } from "../config/mod.ts";
import { prefixRange } from "../store/revision_table.ts";
import {
  ADMIN_KEY,
  BRANCH,
  startTestCluster,
  type TestCluster,
} from "./_test_cluster.ts";
import type { AdminClientFailure } from "./client.ts";

async function withTestCluster(
  count: number,
  body: (cluster: TestCluster) => Promise<void>,
): Promise<void> {
  const cluster = await startTestCluster(count);
  try {
    await body(cluster);
  } finally {
    await cluster.close();
  }
}

function unwrapValue<T>(result: Result<T, AdminClientFailure>): T {
  assert(result.isOk, JSON.stringify(result));
  return result.value;
}

function unwrapRefusal<T>(result: Result<T, AdminClientFailure>) {
  assert(result.isErr && result.error.kind === "refused", String(result));
  return result.error;
}

const withDeadline = (deadlineMs: number) => ({
  ...BRANCH,
  classes: { desk: { ...BRANCH.classes.desk, deadlineMs } },
});

test("a team is created, shown, replaced, deleted and created again", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    assert(node);
    const { client } = node;
    const created = unwrapValue(await client.create("a", BRANCH));
    const shown = unwrapValue(await client.show("a"));
    assert.deepEqual(shown.branch, BRANCH);
    assert.equal(shown.version, created.version);
    assert.equal(shown.writer, "node-0");
    const again = unwrapRefusal(await client.create("a", BRANCH));
    assert.equal(again.status, 409);
    const second = unwrapValue(
      await client.replace("a", withDeadline(1), created.version),
    );
    const gone = unwrapValue(await client.delete("a", second.version));
    assert.equal(unwrapRefusal(await client.show("a")).status, 404);
    const back = unwrapValue(await client.create("a", BRANCH));
    assert(back.version > gone.version);
    assert.equal(back.number, 4);
    assert.equal(node.branches.get("a")?.revision, BigInt(back.version));
  }));

test("requests without a valid key are rejected with 401", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    const url = `${node?.url}/admin/v1/teams`;
    for (const key of ["", "Bearer ", "Bearer wrong", ADMIN_KEY]) {
      const answer = await fetch(url, { headers: { authorization: key } });
      assert.equal(answer.status, 401);
      await answer.body?.cancel();
    }
    const unknown = await fetch(`${node?.url}/other`);
    assert.equal(unknown.status, 401);
    await unknown.body?.cancel();
  }));

test("an unknown path is rejected with route_not_found", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    const answer = await fetch(`${node?.url}/admin/v1/team`, {
      headers: { authorization: `Bearer ${ADMIN_KEY}` },
    });
    const { error } = await answer.json() as { error: { code: string } };
    assert.equal(answer.status, 404);
    assert.equal(error.code, "route_not_found");
  }));

test("all problems of an invalid branch are reported together", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    assert(node);
    const wrong = {
      ...BRANCH,
      colour: "red",
      classes: { desk: { priority: "first", deadlineMs: 0 } },
    };
    const { status, error } = unwrapRefusal(
      await node.client.create("a", wrong),
    );
    assert.equal(status, 422);
    assert.equal(error.problems?.length, 3);
    const checked = unwrapValue(await node.client.validate("a", wrong));
    assert.deepEqual(checked.problems, error.problems);
    assert.equal(unwrapRefusal(await node.client.show("a")).status, 404);
  }));

test("a conflicting write is rejected with the current version", () =>
  withTestCluster(2, async ({ nodes: [one, two] }) => {
    assert(one && two);
    const { version } = unwrapValue(await one.client.create("a", BRANCH));
    const outcomes = await Promise.all([
      one.client.replace("a", withDeadline(1), version),
      two.client.replace("a", withDeadline(2), version),
    ]);
    const won = outcomes.filter(({ isOk }) => isOk);
    assert.equal(won.length, 1);
    const receipt = won.map(unwrapValue)[0];
    const lost = outcomes.find(({ isErr }) => isErr);
    const { status, error } = unwrapRefusal(lost ?? outcomes[0]);
    assert.equal(status, 409);
    assert.equal(error.current?.version, receipt?.version);
    assert.equal(error.current?.writer, receipt?.writer);
  }));

test("a delete without If-Match is rejected", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    assert(node);
    unwrapValue(await node.client.create("a", BRANCH));
    const answer = await fetch(`${node.url}/admin/v1/teams/a`, {
      method: "DELETE",
      headers: { authorization: `Bearer ${ADMIN_KEY}` },
    });
    assert.equal(answer.status, 428);
    await answer.body?.cancel();
  }));

test("a patch changes one value, and concurrent patches both take effect", () =>
  withTestCluster(2, async ({ nodes: [one, two] }) => {
    assert(one && two);
    unwrapValue(await one.client.create("a", BRANCH));
    const outcomes = await Promise.all([
      one.client.patch("a", { path: "/limits", value: { maxInFlight: 5 } }),
      two.client.patch("a", { path: "/classes/desk/deadlineMs", value: 7 }),
    ]);
    outcomes.forEach(unwrapValue);
    const { branch } = unwrapValue(await one.client.show("a"));
    const expected = { ...withDeadline(7), limits: { maxInFlight: 5 } };
    assert.deepEqual(branch, expected);
    const path = "/nothing/here";
    const wrong = unwrapRefusal(
      await one.client.patch("a", { path, value: 1 }),
    );
    assert.equal(wrong.error.param, "path");
  }));

test("a write whose response or request was lost is retried and accepted", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    store.faults.loseNextAnswer = true;
    const created = unwrapValue(await node.client.create("a", BRANCH));
    store.faults.loseNextRequest = true;
    const second = unwrapValue(
      await node.client.replace("a", withDeadline(1), created.version),
    );
    assert.equal(second.number, 2);
    assert.equal(
      store.table.get(teamKey("a"))?.modPosition.revision,
      BigInt(second.version),
    );
  }));

test("a write whose response was lost before a later write is found in the history", () =>
  withTestCluster(2, async ({ nodes: [one, two], store }) => {
    assert(one && two);
    const { version } = unwrapValue(await one.client.create("a", BRANCH));
    const commit = one.store.commit.bind(one.store);
    let intruded = false;
    one.store.commit = async (...args) => {
      if (intruded) return await commit(...args);
      intruded = true;
      store.faults.loseNextAnswer = true;
      const outcome = await commit(...args);
      unwrapValue(await two.client.patch("a", { path: "/limits", value: {} }));
      return outcome;
    };
    const first = unwrapValue(
      await one.client.replace("a", withDeadline(1), version),
    );
    const history = unwrapValue(await one.client.history("a"));
    const [top, below] = history.versions;
    assert.equal(below?.version, first.version);
    assert.equal(top?.writer, "node-1");
  }));

test("a write whose outcome can't be determined is reported as unknown with its id", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    const { version } = unwrapValue(await node.client.create("a", BRANCH));
    const commit = store.commit.bind(store);
    store.commit = async (...args) => {
      store.commit = commit;
      store.faults.loseNextAnswer = true;
      const outcome = await commit(...args);
      store.faults.down = true;
      return outcome;
    };
    const answer = await fetch(`${node.url}/admin/v1/teams/a`, {
      method: "DELETE",
      headers: {
        authorization: `Bearer ${ADMIN_KEY}`,
        "if-match": `"${version}"`,
      },
    });
    const { error } = await answer.json() as {
      error: { execution: string; writeId: string };
    };
    assert.equal(answer.status, 503);
    assert.equal(error.execution, "unknown");
    store.faults.down = false;
    const { versions } = unwrapValue(await node.client.history("a"));
    assert.equal(versions[0]?.writeId, error.writeId);
  }));

test("a repeated request takes effect once", () =>
  withTestCluster(1, async ({ nodes: [node] }) => {
    assert(node);
    const headers = {
      authorization: `Bearer ${ADMIN_KEY}`,
      "x-write-id": "11111111-2222",
    };
    const body = JSON.stringify({ team: "a", branch: BRANCH });
    const url = `${node.url}/admin/v1/teams`;
    const send = () => fetch(url, { method: "POST", headers, body });
    const first = await (await send()).json() as { version: number };
    const second = await (await send()).json() as { version: number };
    assert.equal(second.version, first.version);
  }));

test("during a store outage writes are rejected and reads are served from memory", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    const { version } = unwrapValue(await node.client.create("a", BRANCH));
    store.faults.down = true;
    const refused = unwrapRefusal(await node.client.create("b", BRANCH));
    assert.equal(refused.status, 503);
    assert.equal(refused.error.execution, "not_run");
    const shown = unwrapValue(await node.client.show("a"));
    assert.equal(shown.version, version);
    assert.equal(shown.source, "memory");
    const listed = unwrapValue(await node.client.list());
    assert(listed.complete && listed.ageMs < 0xffff_ffff);
    assert.deepEqual(listed.teams.map(({ team }) => team), ["a"]);
  }));

test("the history is bounded, and an earlier version can be rolled forward", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    let { version } = unwrapValue(await node.client.create("a", BRANCH));
    for (let deadlineMs = 1; deadlineMs <= 24; deadlineMs++) {
      const branch = withDeadline(deadlineMs);
      ({ version } = unwrapValue(
        await node.client.replace("a", branch, version),
      ));
    }
    const { versions } = unwrapValue(await node.client.history("a"));
    assert.equal(versions.length, 20);
    const kept = store.table.list(prefixRange(historyPrefix("a")));
    assert.equal(kept.length, 21);
    const earlier = versions[4]?.version ?? 0;
    const forward = unwrapValue(await node.client.rollForward("a", earlier));
    assert(forward.version > version);
    const shown = unwrapValue(await node.client.show("a"));
    assert.deepEqual(shown.branch, withDeadline(20));
    const old = unwrapValue(await node.client.show("a", earlier));
    assert.deepEqual(old.branch, withDeadline(20));
    const lost = unwrapRefusal(await node.client.rollForward("a", 1));
    assert.equal(lost.error.code, "version_not_found");
  }));

test("a branch in a newer format is not overwritten", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    const { version } = unwrapValue(await node.client.create("a", BRANCH));
    const stored = {
      writeId: "newer",
      writer: "newer",
      writtenAtMs: 1,
      number: 2,
      signature: "kept",
      branch: { format: 2, anything: {} },
    };
    const key = teamKey("a");
    const bytes = Buffer.from(JSON.stringify(stored));
    store.table.commit([], [{ kind: "put", key, value: bytes }]);
    const listed = async () => unwrapValue(await node.client.list()).teams[0];
    while ((await listed())?.version === version);
    assert.equal((await listed())?.inForceHere, false);
    assert.equal(node.branches.get("a")?.branch?.format, 1);
    const newer = unwrapValue(await node.client.show("a")).version;
    for (
      const refused of [
        await node.client.replace("a", BRANCH, newer),
        await node.client.patch("a", { path: "/limits", value: {} }),
        await node.client.rollForward("a", version),
      ]
    ) {
      assert.equal(unwrapRefusal(refused).error.code, "newer_format");
    }
    assert.deepEqual(Buffer.from(store.table.get(key)?.value ?? []), bytes);
  }));

test("a change of one team does not affect other teams", () =>
  withTestCluster(2, async ({ nodes: [one, two], store }) => {
    assert(one && two);
    unwrapValue(await one.client.create("a", BRANCH));
    unwrapValue(await one.client.create("b", BRANCH));
    const { version } = unwrapValue(await one.client.create("c", BRANCH));
    unwrapValue(await two.client.inForce("c", 60_000, version));
    const before = store.table.get(teamKey("b"));
    const held = two.branches.get("b");
    const changed: string[] = [];
    two.branches.onChange(({ team }) => changed.push(team));
    unwrapValue(await one.client.patch("a", { path: "/limits", value: {} }));
    unwrapValue(await one.client.issueKey("a", "salon"));
    const gone = unwrapValue(await one.client.delete("c", version));
    unwrapValue(await two.client.inForce("c", 60_000, gone.version));
    assert.deepEqual(store.table.get(teamKey("b")), before);
    assert.equal(two.branches.get("b"), held);
    assert(!changed.includes("b"));
  }));

test("a new key is returned once and stored as a hash", () =>
  withTestCluster(1, async ({ nodes: [node], store }) => {
    assert(node);
    unwrapValue(await node.client.create("a", BRANCH));
    const { id, key } = unwrapValue(await node.client.issueKey("a", "salon"));
    assert.match(key, /^a\.salon\.[A-Za-z0-9_-]{43}$/);
    const sha256 = createHash("sha256").update(key).digest("hex");
    const branch = node.branches.get("a")?.branch;
    assert.deepEqual(branch?.workspaces.salon?.keys, [{ id, sha256 }]);
    const all = store.table.list({ from: "/", to: undefined });
    const text = all.map(({ value }) => Buffer.from(value).toString()).join();
    assert(!text.includes(key));
    const wrong = unwrapRefusal(await node.client.issueKey("a", "none"));
    assert.equal(wrong.error.code, "workspace_not_found");
  }));

test("in-force waits for all entries and reports those without the version", () =>
  withTestCluster(3, async ({ nodes: [one, two, three], fleet }) => {
    assert(one && two && three);
    three.store.open = false;
    fleet.isolated.add(three.address);
    const { version } = unwrapValue(await one.client.create("a", BRANCH));
    const partly = unwrapValue(await one.client.inForce("a", 0, version));
    assert.equal(partly.inForceEverywhere, false);
    const last = partly.processes.at(-1);
    assert.equal(last?.address, three.address);
    assert.notEqual(last?.inForce, "yes");
    fleet.isolated.delete(three.address);
    const all = unwrapValue(await one.client.inForce("a", 60_000, version));
    assert(all.inForceEverywhere);
    assert.equal(three.branches.get("a")?.revision, BigInt(version));
  }));
