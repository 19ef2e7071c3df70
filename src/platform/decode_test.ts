import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ForwardFacts } from "../router/model.ts";
import { decodeValue } from "./decode.ts";
import { forwardHeaders, readAnswer, readRequest } from "./headers.ts";

const SEED = 20_261_202;

function bytes(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

test("route has the services of its traffic split, or its single service", () => {
  const base = { name: "r", host: "A.example", prefix: "/", timeout_ms: 1 };
  const decoded = decodeValue(
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
  assert.ok(decoded.isOk && decoded.value.kind === "config");
  const { routes, workspaces } = decoded.value.config;
  assert.deepEqual(routes.map(({ shares }) => shares), [
    [{ service: "one", weight: 1 }],
    [{ service: "a", weight: 9 }],
  ]);
  assert.equal(routes[0]?.host, "a.example");
  assert.deepEqual(workspaces, []);
});

function quotaOf(fields: object) {
  const decoded = decodeValue(
    "op/config",
    bytes({
      version: 1,
      routes: [],
      services: [],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
      },
      tenants: [{ name: "w", api_keys: [], ...fields }],
    }),
  );
  if (decoded.isErr) return decoded.error.reason;
  assert.equal(decoded.value.kind, "config");
  return decoded.value.kind === "config"
    ? decoded.value.config.workspaces[0]?.quota
    : undefined;
}

test("workspace without a rate, or with a rate of 0, has no limit", () => {
  assert.equal(quotaOf({}), undefined);
  assert.equal(quotaOf({ rate_per_s: 0, burst: 5 }), undefined);
});

test("workspace's quota is counted in tokens or in requests", () => {
  const rates = { rate_per_s: 5, burst: 7 };
  assert.deepEqual(
    quotaOf({ ...rates, unit: "token_count", plain_tokens: 200 }),
    { unit: "tokens", perSecond: 5, burst: 7, plainTokens: 200 },
  );
  assert.deepEqual(quotaOf(rates), {
    unit: "requests",
    perSecond: 5,
    burst: 7,
    plainTokens: 1,
  });
});

test("quota with an invalid field is refused with the field's name", () => {
  assert.equal(quotaOf({ rate_per_s: "9" }), "Not a number: rate_per_s");
  assert.equal(quotaOf({ rate_per_s: 9, burst: -1 }), "Negative number: burst");
});

test("error for an invalid value has its key", () => {
  for (const key of ["op/config", "op/version/m", "servers/i-1"]) {
    for (const value of ["", "[]", "{}", "null", '{"version":"x"}']) {
      const decoded = decodeValue(key, Buffer.from(value));
      assert.ok(decoded.isErr, `${key}: ${value}`);
      assert.equal(decoded.error.key, key);
    }
  }
});

test("any bytes are decoded or give a typed error", () => {
  const keys = fc.oneof(
    fc.constantFrom("op/config", "servers/i", "op/version/m", "x"),
    fc.string({ unit: "binary" }).map((id) => `servers/${id}`),
  );
  const values = fc.oneof(
    fc.json().map((text): Uint8Array => Buffer.from(text)),
    fc.uint8Array({ maxLength: 200 }),
  );
  fc.assert(
    fc.property(keys, values, (key, value) => {
      const decoded = decodeValue(key, value);
      return decoded.isOk || decoded.error.kind === "malformed";
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test("registration with arbitrary field values gives a valid server or an error", () => {
  const fields = fc.dictionary(
    fc.constantFrom(...Object.keys({ ...REGISTRATION, ...ENGINE, born: 0 })),
    fc.jsonValue(),
    { maxKeys: 3 },
  );
  fc.assert(
    fc.property(fields, (others) => {
      const value = bytes({ ...REGISTRATION, ...ENGINE, ...others });
      const decoded = decodeValue("servers/i-1", value);
      if (decoded.isErr) return;
      assert.ok(decoded.value.kind === "server");
      const { service, address, zone, slots } = decoded.value.server;
      assert.ok(service && zone && Number.isInteger(slots) && slots > 0);
      assert.equal(new URL(`http://${address}`).hostname, "10.128.0.9");
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

/** Registration of a plain server, as in the platform's documentation. */
const REGISTRATION = {
  service: "plain",
  address: "10.128.0.9:8080",
  zone: "a",
  version: "v1",
  slots: 64,
  state: "ready",
  cold_left_ms: 0,
  sequence: 4,
};

/** Additional fields in the registration of a model engine. */
const ENGINE = {
  stage: "colocated",
  models: [{ name: "m", version: 1, adapters: [] }],
};

function isValid(fields: object, id = "i-1"): boolean {
  const value = bytes({ ...REGISTRATION, ...fields });
  return decodeValue(`servers/${id}`, value).isOk;
}

test("valid registrations are accepted", () => {
  const valid = [
    {},
    ENGINE,
    { state: "draining" },
    { born: 1_764_000_000_000 },
    { sequence: 0, models: [] },
    { version: undefined, cold_left_ms: undefined, sequence: undefined },
    { cold_left_ms: 12.5, a_later_field: {} },
  ];
  for (const fields of valid) {
    assert.ok(isValid(fields), JSON.stringify(fields));
  }
});

/*
 * Other writers than the servers may write registrations. Guards against treating a registration
 * with an unknown state as a ready server, and against connecting to an invalid address.
 */
test("registration with a missing or invalid field is refused", () => {
  for (const name of ["service", "address", "zone", "slots", "state"]) {
    assert.ok(!isValid({ [name]: undefined }), `No ${name}`);
    for (const value of [null, "", {}, [], true, -1, "x"]) {
      const isName = value === "x" && (name === "service" || name === "zone");
      if (!isName) assert.ok(!isValid({ [name]: value }), `${name} ${value}`);
    }
  }
  const invalid = [
    { state: "starting" },
    { slots: 0 },
    { slots: 1.5 },
    { slots: "4" },
    { born: null },
    { born: "1764000000000" },
    { born: 1.5 },
    { born: -1 },
    { sequence: "4" },
    { sequence: -1 },
    { version: 1 },
    { cold_left_ms: "0" },
    { models: {} },
    { models: [null] },
    { models: [{ name: "m" }] },
    { models: [{ name: "m", version: "1" }] },
    { models: [{ name: "m", version: 1.5 }] },
    { models: [{ name: 1, version: 1 }] },
  ];
  for (const fields of invalid) {
    assert.ok(!isValid(fields), JSON.stringify(fields));
  }
});

test("registration with an invalid address is refused", () => {
  const addresses = [
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:8e1",
    "10.0.0.1: 80",
    "10.0.0.1:80/a",
    "10.0.0.256:80",
    "10.0.0:80",
    "host.example:80",
    "u@10.0.0.1:80",
    ":80",
    "[::1]:80",
  ];
  for (const address of addresses) {
    assert.ok(!isValid({ address }), address);
  }
});

test("registration with an id that is not allowed in a header is refused", () => {
  for (const id of ["", "a b", "a\nb", "a\r\nx: 1", "é", "\0"]) {
    assert.ok(!isValid({}, id), JSON.stringify(id));
  }
});

test("start time of a server is read, and is undefined if missing", () => {
  for (const born of [1_764_000_000_000, 0, undefined]) {
    const value = bytes({ ...REGISTRATION, born });
    const decoded = decodeValue("servers/i-1", value);
    assert.ok(decoded.isOk && decoded.value.kind === "server");
    assert.equal(decoded.value.server.bornAtMs, born);
  }
});

test("version of wanted weights must be a non-negative integer", () => {
  for (const version of ["2", 2.5, -1, null]) {
    const decoded = decodeValue("op/version/m", bytes({ model: "m", version }));
    assert.ok(decoded.isErr, `${version}`);
  }
});

test("reason of a decoding error doesn't quote the value", () => {
  const decoded = decodeValue("op/config", Buffer.from("key-of-w"));
  assert.ok(decoded.isErr);
  assert.doesNotMatch(decoded.error.reason, /key-of/);
});

test("prompt parts are read in order", () => {
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

// Guards against the address of another engine, or another id, in the header of a restore.
test("backup and restore of a run name the engine that holds the copy", () => {
  const facts = { deadlineMs: 10, serverId: "i-1" };
  const last = (more: Partial<ForwardFacts>) =>
    forwardHeaders([], { ...facts, ...more }).slice(4);
  const address = "10.0.0.2:80";
  assert.deepEqual(last({ backupTo: address }), ["kv-backup", address]);
  const copy = { source: { id: "i-2", address }, copyId: "r-1" };
  assert.deepEqual(last({ copy }), ["kv-from", `${address}/r-1`]);
});

test("engines have backups only if their configuration says so", () => {
  const hasBackups = (backups?: unknown) => {
    const engine = { slots: 1, kv_capacity_tokens: 1, backups };
    const decoded = decodeValue(
      "op/config",
      bytes({
        version: 1,
        routes: [],
        services: [{ name: "s", engine }],
        limits: {
          max_header_bytes: 1,
          max_body_bytes: 2,
          header_timeout_ms: 3,
          idle_timeout_ms: 4,
        },
      }),
    );
    assert.ok(decoded.isOk && decoded.value.kind === "config");
    return decoded.value.config.services[0]?.engine?.hasBackups;
  };
  assert.equal(hasBackups(true), true);
  for (const value of [undefined, false, "true", 1]) {
    assert.equal(hasBackups(value), false);
  }
});

test("client's headers that only the router may set are dropped", () => {
  const reserved = [
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
  const raw = reserved.flatMap((name) => [name.toUpperCase(), "forged"]);
  const facts = { deadlineMs: 10.9, serverId: "i-1" };
  assert.deepEqual(forwardHeaders(raw, facts), [
    "deadline-ms",
    "10",
    "expect-instance",
    "i-1",
  ]);
});

test("only an explicit statement of the server means that a request did not run", () => {
  assert.equal(readAnswer(503, {}).notRun, false);
  assert.equal(readAnswer(503, { "not-executed": "1" }).notRun, true);
  assert.equal(readAnswer(421, {}).notRun, true);
});
