import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { BRANCH, FakeAgent, KEY } from "./_fake_agent.ts";
import {
  ABC,
  type Call,
  CHAT,
  errorOf,
  send,
  startEntry,
  STREAM,
} from "./_fixture.ts";
import type { Entry } from "./mod.ts";

let agent: FakeAgent;
let entry: Entry;

before(async () => {
  agent = await FakeAgent.create("a0", (run) => {
    run.started();
    run.pieces(0, ABC);
    run.end(3);
  });
  entry = await startEntry([agent]);
});
after(async () => {
  await entry.stop();
  agent.close();
});

const BIG = { ...CHAT, user: "x".repeat(BRANCH.limits.maxBodyBytes) };
const BAD_INPUT: [name: string, call: Call, status: number, code: string][] = [
  ["no key", { headers: { authorization: "" } }, 401, "invalid_api_key"],
  ["wrong key", { headers: bearer(`${KEY}x`) }, 401, "invalid_api_key"],
  ["no team", { headers: bearer("no.notes.secret") }, 503, "not_ready"],
  [
    "inherited workspace",
    { headers: bearer("acme.constructor.secret") },
    401,
    "invalid_api_key",
  ],
  ["no JSON", { body: "{" }, 400, "bad_json"],
  ["bad UTF-8", { body: '{"a":"\ud800"}' }, 400, "invalid_body"],
  ["JSON list", { body: [] }, 400, "invalid_body"],
  ["no model", { body: { messages: CHAT.messages } }, 400, "invalid_body"],
  ["no messages", { body: { model: "m" } }, 400, "invalid_body"],
  [
    "empty messages",
    { body: { model: "m", messages: [] } },
    400,
    "invalid_body",
  ],
  ["bad stream", { body: { ...CHAT, stream: "yes" } }, 400, "invalid_body"],
  ["bad n", { body: { ...CHAT, n: 0 } }, 400, "invalid_body"],
  [
    "bad max_tokens",
    { body: { ...CHAT, max_tokens: -1 } },
    400,
    "invalid_body",
  ],
  [
    "options without stream",
    {
      body: { ...CHAT, stream_options: { include_usage: true } },
    },
    400,
    "invalid_body",
  ],
  ["other model", { body: { ...CHAT, model: "x" } }, 404, "model_not_found"],
  [
    "inherited model",
    {
      body: { ...CHAT, model: "toString" },
    },
    404,
    "model_not_found",
  ],
  [
    "other adapter",
    { body: { ...CHAT, model: "m:x" } },
    404,
    "model_not_found",
  ],
  ["large body", { body: BIG }, 413, "body_too_large"],
  ["class", header("x-cicadahitch-class", "nope"), 400, "invalid_header"],
  ["priority", header("x-cicadahitch-priority", "top"), 400, "invalid_header"],
  [
    "deadline 0",
    header("x-cicadahitch-deadline-ms", "0"),
    400,
    "invalid_header",
  ],
  [
    "deadline text",
    header("x-cicadahitch-deadline-ms", "1s"),
    400,
    "invalid_header",
  ],
  [
    "long key",
    header("idempotency-key", "k".repeat(256)),
    400,
    "invalid_header",
  ],
  ["path", { path: "/v2/none" }, 404, "not_found"],
  ["encoding", { path: "/services/booking/%E0%A4%A" }, 404, "not_found"],
  ["method", { method: "PUT" }, 405, "method_not_allowed"],
  ["text body", { path: "/v1/completions" }, 400, "invalid_body"],
  ["service", { path: "/services/none/x" }, 404, "service_not_found"],
  ["no service", { path: "/services/" }, 404, "service_not_found"],
];

for (const [name, call, status, code] of BAD_INPUT) {
  test(`bad input: ${name}`, async () => {
    const starts = agent.starts.length;
    const answer = await send(entry, call);
    const error = await errorOf(answer);
    assert.equal(error.code, code, JSON.stringify(error));
    assert.equal(answer.status, status);
    assert.equal(error.execution, "not_run");
    assert.equal(agent.starts.length, starts);
  });
}

test("error bodies have the OpenAI format", async () => {
  const answer = await send(entry, { body: { ...CHAT, n: 0 } });
  const error = await errorOf(answer);
  assert.deepEqual(Object.keys(error), [
    "message",
    "type",
    "code",
    "param",
    "execution",
  ]);
  assert.equal(error.type, "invalid_request_error");
  assert.equal(error.param, "n");
});

test("the model list contains the models of the branch", async () => {
  const answer = await send(entry, { path: "/v1/models", method: "GET" });
  const { data } = await answer.json() as { data: { id: string }[] };
  assert.deepEqual(data.map(({ id }) => id), ["m"]);
});

test("text completions are served", async () => {
  const body = { model: "m", prompt: "hi", stream: true };
  const answer = await send(entry, { path: "/v1/completions", body });
  assert.match(await answer.text(), /\[DONE\]/);
  const { call } = agent.starts.at(-1)!;
  assert.equal(call?.$case === "modelCall" && call.value.api, "text");
});

test("a query string does not change the route", async () => {
  const answer = await send(entry, {
    path: "/v1/chat/completions?x=1",
    body: STREAM,
  });
  assert.equal(answer.status, 200);
  assert.match(await answer.text(), /\[DONE\]/);
});

test("state dump and metrics contain no API key and no prompt", async () => {
  const secret = "a secret prompt";
  const messages = [{ role: "user", content: secret }];
  await (await send(entry, { body: { ...STREAM, messages } })).text();
  const metrics = await fetch(`http://${entry.httpAddress}/metrics`);
  const shown = JSON.stringify(entry.dumpState()) + await metrics.text();
  assert.match(shown, /cicadahitch_entry_requests_total\{/);
  assert.match(shown, /cicadahitch_entry_ttft_ms_count\{class="desk"/);
  assert.ok(!shown.includes(secret));
  assert.ok(!shown.includes(KEY));
});

test("health and readiness checks succeed", async () => {
  for (const path of ["/healthz", "/readyz"]) {
    const answer = await fetch(`http://${entry.httpAddress}${path}`);
    await answer.text();
    assert.equal(answer.status, 200, path);
  }
});

function bearer(key: string): Record<string, string> {
  return { authorization: `Bearer ${key}` };
}

function header(name: string, value: string): Call {
  return { headers: { [name]: value } };
}
