import assert from "node:assert/strict";
import { test } from "node:test";
import { BranchSet } from "./branch_set.ts";
import { encodeBranch, teamKey } from "./stored_branch.ts";
import { positionAt } from "../store/position.ts";

const BRANCH = { format: 1, classes: {}, workspaces: {} };
const STORED_JSON = Buffer.from(encodeBranch(BRANCH));
const NEWER_FORMAT_JSON = Buffer.from(encodeBranch({ format: 2, classes: {} }));
const NO_JSON = Buffer.alloc(0);

const branchAt = (revision: bigint, json = STORED_JSON, team = "a") => ({
  team,
  revision,
  json,
});
const listingOf = (revision: bigint, ...teams: [string, bigint][]) => ({
  position: positionAt(0, revision),
  entries: teams.map(([team, modRevision]) => ({
    key: teamKey(team),
    value: STORED_JSON,
    modPosition: positionAt(0, modRevision),
    createPosition: positionAt(0, modRevision),
  })),
});

test("the highest revision wins", () => {
  const set = BranchSet.create();
  assert(set.apply(branchAt(5n)).isOk);
  assert(set.apply(branchAt(4n)).isErr);
  assert(set.apply(branchAt(5n)).isErr);
  assert.equal(set.revisionOf("a"), 5n);
});

test("a listing deletes teams that it omits", () => {
  const set = BranchSet.create();
  set.apply(branchAt(5n));
  set.applyListing(listingOf(9n, ["b", 7n]));
  assert.equal(set.get("a"), undefined);
  assert.equal(set.revisionOf("a"), 9n);
  assert.equal(set.revisionOf("b"), 7n);
});

test("a stale listing does not delete newer branches", () => {
  const set = BranchSet.create();
  set.apply(branchAt(12n));
  set.applyListing(listingOf(9n));
  assert.equal(set.get("a")?.revision, 12n);
});

test("a stale listing does not restore a deleted team", () => {
  const set = BranchSet.create();
  set.apply(branchAt(5n));
  set.apply(branchAt(8n, NO_JSON));
  set.applyListing(listingOf(6n, ["a", 5n]));
  assert.equal(set.get("a"), undefined);
});

test("an unlisted team rejects versions older than the listing", () => {
  const set = BranchSet.create();
  set.applyListing(listingOf(9n));
  assert(set.apply(branchAt(5n)).isErr);
  assert(set.apply(branchAt(10n)).isOk);
});

test("a listing supersedes versions between an earlier deletion and itself", () => {
  const set = BranchSet.create();
  set.apply(branchAt(5n));
  set.apply(branchAt(6n, NO_JSON));
  set.applyListing(listingOf(20n));
  assert(set.apply(branchAt(12n)).isErr);
});

test("a deleted team can be created again", () => {
  const set = BranchSet.create();
  set.apply(branchAt(5n));
  set.applyListing(listingOf(9n));
  assert(set.apply(branchAt(11n)).isOk);
  assert.equal(set.get("a")?.revision, 11n);
});

test("sets with the same teams have equal hashes", () => {
  const one = BranchSet.create();
  one.apply(branchAt(5n));
  one.apply(branchAt(6n, STORED_JSON, "b"));
  one.apply(branchAt(7n, NO_JSON));
  const other = BranchSet.create();
  other.applyListing(listingOf(9n, ["b", 6n]));
  assert.equal(one.hash, other.hash);
  other.apply(branchAt(10n));
  assert.notEqual(one.hash, other.hash);
});

test("a branch of a newer format is stored but does not take effect", () => {
  const set = BranchSet.create();
  set.apply(branchAt(5n));
  const applied = set.apply(branchAt(6n, NEWER_FORMAT_JSON));
  assert(applied.isErr && applied.error.kind === "invalid_branch");
  assert.equal(set.revisionOf("a"), 6n);
  assert.deepEqual(set.getRecord("a")?.json, NEWER_FORMAT_JSON);
  assert.equal(set.get("a")?.branch?.format, 1);
  assert.equal(set.unreadCount, 1);
  set.apply(branchAt(7n));
  assert.equal(set.unreadCount, 0);
});
