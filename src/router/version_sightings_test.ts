/** Which software versions a service has, as {@link SoftwareVersions} sees them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { registration, TestClock } from "./_kit.ts";
import { originAt, SoftwareVersions } from "./software_versions.ts";

const LIFETIME_MS = 40_000;

function create() {
  const clock = new TestClock();
  const versions = SoftwareVersions.create({
    clock,
    streamLifetimeMs: () => LIFETIME_MS,
  });
  return { clock, versions };
}

function server(id: string, softwareVersion?: string) {
  return registration(id, { softwareVersion });
}

test("service has several versions until the last stream of the older one has ended", () => {
  const { clock, versions } = create();
  const mixed: string[] = [];
  versions.onMixed((service) => mixed.push(service));
  versions.joined(server("i-1", "v1"));
  assert.ok(!versions.isMixed("engines"));
  versions.joined(server("i-2", "v2"));
  assert.ok(versions.isMixed("engines"));
  versions.left(server("i-1", "v1"));
  clock.advance(LIFETIME_MS);
  assert.ok(versions.isMixed("engines"));
  clock.advance(1);
  assert.ok(!versions.isMixed("engines"));
  assert.deepEqual(versions.current("engines"), ["v2"]);
  assert.deepEqual(mixed, ["engines"]);
  versions.joined(server("i-3", "v3"));
  assert.deepEqual(mixed, ["engines", "engines"]);
});

test("version that has left still counts when the next one joins", () => {
  const { clock, versions } = create();
  versions.joined(server("i-1", "v1"));
  versions.left(server("i-1", "v1"));
  clock.advance(1000);
  versions.joined(server("i-2", "v2"));
  assert.ok(versions.isMixed("engines"));
});

test("short lifetimes are extended, as clients pause before they return", () => {
  const clock = new TestClock();
  const versions = SoftwareVersions.create({
    clock,
    streamLifetimeMs: () => 1,
  });
  for (const version of ["v1", "v2"]) versions.joined(server("i", version));
  versions.left(server("i", "v1"));
  clock.advance(20_000);
  assert.ok(versions.isMixed("engines"));
});

test("entries tell only what they saw themselves, so that a version ends", () => {
  const one = create();
  const other = create();
  for (const id of ["v1", "v2"]) one.versions.joined(server(id, id));
  other.versions.joined(server("v2", "v2"));
  one.versions.left(server("v1", "v1"));
  for (let s = 0; s < LIFETIME_MS / 1000; s++) {
    other.versions.applyRows(one.versions.rows() ?? []);
    one.versions.applyRows(other.versions.rows() ?? []);
    assert.ok(other.versions.isMixed("engines"));
    for (const { clock } of [one, other]) clock.advance(1000);
  }
  for (const { clock, versions } of [one, other]) {
    clock.advance(1);
    assert.ok(!versions.isMixed("engines"));
    assert.equal(versions.rows(), undefined);
  }
});

test("service with one version, or with none stated, tells nothing", () => {
  const { versions } = create();
  versions.joined(server("i-1", "v1"));
  for (const id of ["j-1", "j-2"]) {
    versions.joined(registration(id, { service: "plain" }));
  }
  assert.equal(versions.rows(), undefined);
  assert.ok(!versions.isMixed("plain"));
});

test("only the version that began a stream may continue it", () => {
  const { versions } = create();
  const origin = originAt(server("i-1", "v1"));
  assert.ok(versions.canContinue(undefined, server("i-2", "v2")));
  assert.ok(versions.canContinue(origin, server("i-2", "v1")));
  assert.ok(!versions.canContinue(origin, server("i-2", "v2")));
  assert.ok(!versions.canContinue(origin, server("i-2")));
  const elsewhere = registration("i-2", {
    service: "others",
    softwareVersion: "v1",
  });
  assert.ok(!versions.canContinue(origin, elsewhere));
});

test("servers that state no version continue each other's streams unless there are others", () => {
  const { versions } = create();
  const [one, other] = [server("i-1"), server("i-2")];
  for (const entry of [one, other]) versions.joined(entry);
  const origin = originAt(one);
  assert.ok(versions.canContinue(origin, other));
  versions.joined(server("i-3", "v1"));
  assert.ok(!versions.canContinue(origin, other));
  assert.ok(versions.canContinue(origin, one));
  const restarted = registration("i-1", { bornAtMs: 5 });
  assert.ok(!versions.canContinue(origin, restarted));
});
