import assert from "node:assert/strict";
import { test } from "node:test";
import { readState } from "../cli/state_command.ts";
import { answerTo, chatBody, Client } from "./_client.ts";
import { Fleet } from "./_fleet.ts";

const TOKEN = "0123456789abcdef";

test("with a token, processes serve and calls without it are refused", async (context) => {
  const daemonArgs = ["--token", TOKEN];
  const fleet = await Fleet.create({ engines: 1, daemonArgs });
  context.after(() => fleet.close());
  const entry = await fleet.startEntry();
  const body = chatBody("With a token");
  const { text } = await Client.create(fleet).whole(entry, body);
  assert.equal(text, answerTo(body));
  const { agentAddress } = fleet.slots[0]!;
  for (const address of [entry.peerAddress, agentAddress]) {
    const readDump = (flags: object) =>
      readState({ flags: { address, ...flags }, variables: {} });
    assert.ok((await readDump({ token: TOKEN })).isOk);
    const refused = await readDump({});
    assert.ok(refused.isErr);
    assert.equal(refused.error.kind, "rejected");
  }
});
