import assert from "node:assert/strict";
import { test } from "node:test";
import { SAMPLE_ADMIN_KEY, SAMPLE_TEAM } from "../cli/sample_team.ts";
import { chatBody, Client } from "./_client.ts";
import { Child } from "./_child.ts";
import { Fleet } from "./_fleet.ts";

test("a change through the admin API takes effect at every entry", async (context) => {
  const fleet = await Fleet.create({ engines: 1 });
  context.after(() => fleet.close());
  const client = Client.create(fleet);
  const first = await fleet.startEntry();
  const second = await fleet.startEntry();
  const variables = {
    CICADAHITCH_ADMIN_URL: first.adminUrl,
    CICADAHITCH_ADMIN_KEY: SAMPLE_ADMIN_KEY,
  };
  const admin = async (...args: string[]) => {
    const program = {
      program: "cli/main",
      args: ["admin", ...args],
      variables,
    };
    const child = Child.create(program);
    const status = await child.exited;
    assert.equal(status.code, 0, child.log);
  };
  await admin("patch", SAMPLE_TEAM, "/workspaces/notes/keys", "[]");
  await admin("in-force", SAMPLE_TEAM, "--wait-ms", "5000");
  for (const entry of [first, second]) {
    const response = await client.post(entry, chatBody("x"));
    await response.body?.cancel();
    assert.equal(response.status, 401);
  }
});
