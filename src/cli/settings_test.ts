import assert from "node:assert/strict";
import { test } from "node:test";
import { readAgentOptions, readEntryOptions } from "./daemon_options.ts";
import {
  describeProblems,
  flagOf,
  readSettings,
  variableOf,
} from "./settings.ts";
import { DEV_SETTINGS, ENTRY_SETTINGS } from "./setting_tables.ts";

const REQUIRED = { instanceId: "entry-1", zone: "a" };

function problemFlags(
  flags: Record<string, unknown>,
  variables: Record<string, string> = {},
): string[] {
  const read = readEntryOptions({ flags, variables });
  return read.isErr ? read.error.problems.map(({ flag }) => flag) : [];
}

test("flag and variable names derive from the setting name", () => {
  assert.equal(flagOf("zoneRttMs"), "--zone-rtt-ms");
  assert.equal(variableOf("zoneRttMs"), "CICADAHITCH_ZONE_RTT_MS");
});

test("an entry needs only an instance id and a zone", () => {
  const read = readEntryOptions({ flags: REQUIRED, variables: {} });
  assert.ok(read.isOk);
  assert.equal(read.value.httpAddress, "127.0.0.1:7700");
  assert.deepEqual(read.value.security, { kind: "plain" });
  assert.deepEqual(read.value.seedAddresses, []);
});

test("a flag takes precedence over its variable", () => {
  const read = readSettings(ENTRY_SETTINGS, {
    flags: { ...REQUIRED, "zone-rtt-ms": "a=0.5, b=1" },
    variables: { CICADAHITCH_ZONE_RTT_MS: "c=9", CICADAHITCH_ZONE: "z" },
  });
  assert.ok(read.isOk);
  assert.deepEqual(read.value.zoneRttMs, { a: 0.5, b: 1 });
  assert.equal(read.value.zone, "a");
});

test("all invalid settings are reported together", () => {
  const flags = {
    instanceId: "entry 1",
    "http-address": "localhost:80",
    "peer-address": "10.0.0.1:7701",
    "zone-rtt-ms": "a=-1",
    typo: "x",
  };
  const variables = { CICADAHITCH_DRAIN_MS: "2m", CICADAHITCH_POLICY: "best" };
  assert.deepEqual(problemFlags(flags, variables), [
    "--typo",
    "--instance-id",
    "--zone",
    "--drain-ms",
    "--http-address",
    "--policy",
    "--zone-rtt-ms",
    "--insecure",
  ]);
});

test("a problem states the value, its source and the allowed values", () => {
  const read = readEntryOptions({
    flags: REQUIRED,
    variables: { CICADAHITCH_DRAIN_MS: "2m" },
  });
  assert.ok(read.isErr);
  assert.equal(
    describeProblems(read.error),
    'Wrong settings:\n  --drain-ms: "2m" (CICADAHITCH_DRAIN_MS). ' +
      "Expected a whole number of ms, 0 to 3600000.",
  );
});

test("an invalid token is not printed", () => {
  const read = readEntryOptions({
    flags: REQUIRED,
    variables: { CICADAHITCH_TOKEN: "too short" },
  });
  assert.ok(read.isErr);
  assert.doesNotMatch(describeProblems(read.error), /too short/);
});

test("plain traffic off loopback requires --insecure or a token", () => {
  const flags = { ...REQUIRED, peerAddress: "10.0.0.1:7701" };
  assert.deepEqual(problemFlags(flags), ["--insecure"]);
  assert.deepEqual(problemFlags({ ...flags, insecure: true }), []);
  assert.deepEqual(problemFlags({ ...flags, token: "0123456789abcdef" }), []);
});

test("TLS requires three readable files", () => {
  assert.deepEqual(
    problemFlags({ ...REQUIRED, tlsKeyFile: "/nowhere/key.pem" }),
    ["--tls-certificate-file", "--tls-key-file", "--tls-authority-file"],
  );
});

test("positional arguments and flags without a value are rejected", () => {
  const flags = { ...REQUIRED, _: ["entry", "more"], policy: "" };
  assert.deepEqual(problemFlags(flags), ["(no flag)", "--policy"]);
});

test("an address requires an IP address and a port", () => {
  const bad = ["", "1.2.3.4", "::1:80", "host:80", "1.2.3.4:70000", "[::1]"];
  for (const httpAddress of bad) {
    const flags = { ...REQUIRED, httpAddress };
    assert.deepEqual(problemFlags(flags), ["--http-address"], httpAddress);
  }
  const flags = {
    ...REQUIRED,
    httpAddress: "[::1]:80",
    peerAddress: "[::1]:0",
  };
  assert.deepEqual(problemFlags(flags), []);
});

test("an agent requires exactly one backend server", () => {
  const flags = { instanceId: "a", zone: "a", pool: "p" };
  const engineUrl = "http://127.0.0.1:1";
  const readAgent = (more: object) =>
    readAgentOptions({ flags: { ...flags, ...more }, variables: {} });
  assert.ok(readAgent({}).isErr);
  assert.ok(readAgent({ engineUrl, serviceUrl: engineUrl }).isErr);
  const read = readAgent({ engineUrl });
  assert.ok(read.isOk);
  assert.deepEqual(read.value.server, { kind: "engine", url: engineUrl });
});

test("the administration API requires a key and a store", () => {
  const flags = { ...REQUIRED, adminAddress: "127.0.0.1:0" };
  assert.deepEqual(problemFlags(flags), [
    "--admin-key-sha256",
    "--store-address",
  ]);
});

test("all defaults of the dev command are valid", () => {
  assert.ok(readSettings(DEV_SETTINGS, { flags: {}, variables: {} }).isOk);
});
