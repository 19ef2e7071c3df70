import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { decodeFact } from "./decode.ts";
import { forwardHeaders, readAnswer, readRequest } from "./headers.ts";

const SEED = 20_261_202;

function bytes(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

test("route with a split has all its services, one without has its own", () => {
  const base = { name: "r", host: "A.example", prefix: "/", timeout_ms: 1 };
  const fact = decodeFact(
    "op/config",
    bytes({
      version: 3,
      routes: [
        { ...base, kind: "safe", service: "one" },
        {
          ...base,
          kind: "unsafe",
          traffic_split: [{ service: "a", weight: 9 }],
        },
      ],
      services: [],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
      },
    }),
  );
  assert.ok(fact.isOk && fact.value.kind === "config");
  const { routes, workspaces } = fact.value.config;
  assert.deepEqual(routes.map(({ shares }) => shares), [
    [{ service: "one", weight: 1 }],
    [{ service: "a", weight: 9 }],
  ]);
  assert.equal(routes[0]?.host, "a.example");
  assert.deepEqual(workspaces, []);
});

test("value of another form is told with its key", () => {
  for (const key of ["op/config", "op/version/m", "servers/i-1"]) {
    for (const value of ["", "[]", "{}", "null", '{"version":"x"}']) {
      const fact = decodeFact(key, Buffer.from(value));
      assert.ok(fact.isErr, `${key}: ${value}`);
      assert.equal(fact.error.key, key);
    }
  }
});

test("any bytes give a fact or a typed error", () => {
  const keys = fc.constantFrom("op/config", "servers/i", "op/version/m", "x");
  fc.assert(
    fc.property(keys, fc.json(), (key, value) => {
      const fact = decodeFact(key, Buffer.from(value));
      return fact.isOk || fact.error.kind === "malformed";
    }),
    { seed: SEED },
  );
});

test("prompt's parts are read in order", () => {
  const facts = readRequest({
    method: "POST",
    url: "/a",
    headers: {
      host: "A.example:80",
      "model": "m",
      "token-usage": "1460,80",
      "prompt-prefix": "5c:800, 91:410,e4:250",
    },
  });
  assert.equal(facts.host, "a.example");
  assert.equal(facts.prompt?.promptTokens, 1460);
  assert.equal(facts.prompt?.outputTokens, 80);
  assert.deepEqual(facts.prompt?.parts.map(({ id, tokens }) => [id, tokens]), [
    ["5c", 800],
    ["91", 410],
    ["e4", 250],
  ]);
});

test("client can't set what only the router may set", () => {
  const forged = [
    "hold",
    "pin-ms",
    "kv-backup",
    "kv-from",
    "kv-fetch",
    "kv-save",
    "cache-salt",
    "tenant",
    "expect-instance",
    "expect-version",
    "request-priority",
    "authorization",
  ];
  const raw = forged.flatMap((name) => [name.toUpperCase(), "forged"]);
  const facts = { deadlineMs: 10.9, serverId: "i-1" };
  assert.deepEqual(forwardHeaders(raw, facts), [
    "deadline-ms",
    "10",
    "expect-instance",
    "i-1",
  ]);
});

test("only a server's own word says that a request did not run", () => {
  assert.equal(readAnswer(503, {}).notRun, false);
  assert.equal(readAnswer(503, { "not-executed": "1" }).notRun, true);
  assert.equal(readAnswer(421, {}).notRun, true);
});

test("answer without length or chunks is not framed", () => {
  assert.equal(readAnswer(200, {}).framed, false);
  assert.equal(readAnswer(200, { "content-length": "0" }).framed, true);
  assert.equal(
    readAnswer(200, { "transfer-encoding": "chunked" }).framed,
    true,
  );
});
