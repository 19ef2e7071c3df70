import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestFacts, Workspace } from "./model.ts";
import { digestOf } from "./request_digest.ts";

const WORKSPACE: Workspace = { name: "w", keys: ["k"], isolated: false };

function digest(
  fields: Partial<RequestFacts> = {},
  { workspace = WORKSPACE, body = "payload" } = {},
): string {
  const facts = {
    requestId: "attempt-1",
    host: "salon.example",
    target: "/notes/a?b=c",
    method: "POST",
    ...fields,
  };
  return digestOf({ facts, workspace, body: Buffer.from(body) });
}

test("attempts of the same request have the same digest", () => {
  assert.equal(digest(), digest({ requestId: "attempt-2", deadlineMs: 7 }));
});

test("requests that differ in path, host, method, caller or body have different digests", () => {
  const all = [
    digest(),
    digest({ target: "/notes/a" }),
    digest({ host: "salon.exampl", target: "e/notes/a?b=c" }),
    digest({ method: "PUT" }),
    digest({}, { workspace: { ...WORKSPACE, name: "other" } }),
    digest({}, { body: "payload2" }),
  ];
  assert.equal(new Set(all).size, all.length);
});
