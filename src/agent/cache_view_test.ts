import assert from "node:assert/strict";
import { test } from "node:test";
import {
  cacheSalt,
  CHAIN_BLOCK_BYTES,
  promptChain,
  selectPoints,
} from "../placement/chain.ts";
import type { CacheEvent } from "../backends/engine.ts";
import { CacheView } from "./cache_view.ts";
import { testAsk } from "./_test_kit.ts";

const MODEL = { model: "m", adapter: "", weightsVersion: "1" };
const BLOCKS = 4;
const TOKENS = 64;

function contentOf(block: number): string {
  return String(block).repeat(CHAIN_BLOCK_BYTES);
}

function stored(seq: number, block: number): CacheEvent {
  return {
    kind: "stored",
    seq,
    blockKey: `b${block}`,
    parentKey: block === 0 ? "" : `b${block - 1}`,
    cacheSalt: cacheSalt("t", "w"),
    model: MODEL,
    content: contentOf(block),
  };
}

function askWith(workspace: string, weightsVersion = "1") {
  const scope = { team: "t", workspace, ...MODEL, weightsVersion };
  const text = [0, 1, 2, 3].map(contentOf).join("");
  const chain = promptChain(scope, Buffer.from(text));
  const points = selectPoints(chain, [1, 2]);
  const promptTokens = BLOCKS * TOKENS;
  return testAsk("r", { workspace, chain: points, promptTokens });
}

function filledView(): CacheView {
  const view = CacheView.create();
  view.addOwner("t", "w");
  const blocks = [0, 1, 2, 3].map((block) => stored(0, block));
  view.loadSnapshot({
    kind: "snapshot",
    incarnation: "e1",
    nextSeq: 5,
    blocks,
  });
  return view;
}

test("a fully cached prefix matches", () => {
  assert.equal(filledView().matchedTokens(askWith("w"), "1"), BLOCKS * TOKENS);
});

test("a block without its parents does not match", () => {
  const view = filledView();
  view.applyEvent("e1", { kind: "removed", seq: 5, blockKey: "b1" });
  assert.equal(view.matchedTokens(askWith("w"), "1"), TOKENS);
  view.applyEvent("e1", stored(6, 1));
  assert.equal(view.matchedTokens(askWith("w"), "1"), BLOCKS * TOKENS);
});

test("other workspaces and weights versions match nothing", () => {
  const view = filledView();
  view.addOwner("t", "other");
  assert.equal(view.matchedTokens(askWith("other"), "1"), 0);
  assert.equal(view.matchedTokens(askWith("w"), "2"), 0);
  const forged = { ...askWith("w"), workspace: "other" };
  assert.equal(view.matchedTokens(forged, "1"), 0);
});

test("a gap invalidates the view until the next snapshot", () => {
  const view = filledView();
  const result = view.applyEvent("e1", {
    kind: "removed",
    seq: 6,
    blockKey: "b3",
  });
  assert.equal(result.kind, "gap");
  assert.equal(view.matchedTokens(askWith("w"), "1"), 0);
  view.applyEvent("e1", stored(7, 3));
  assert.equal(view.matchedTokens(askWith("w"), "1"), 0);
  const blocks = [stored(0, 0)];
  view.loadSnapshot({
    kind: "snapshot",
    incarnation: "e1",
    nextSeq: 8,
    blocks,
  });
  assert.equal(view.matchedTokens(askWith("w"), "1"), TOKENS);
});

test("a new engine incarnation invalidates the view", () => {
  const view = filledView();
  assert.equal(view.applyEvent("e2", stored(5, 0)).kind, "new_incarnation");
  assert.equal(view.matchedTokens(askWith("w"), "1"), 0);
});

test("a duplicate event is ignored", () => {
  const view = filledView();
  const removed: CacheEvent = { kind: "removed", seq: 5, blockKey: "b3" };
  view.applyEvent("e1", removed);
  view.applyEvent("e1", stored(6, 3));
  assert.equal(view.applyEvent("e1", removed).kind, "taken");
  assert.equal(view.matchedTokens(askWith("w"), "1"), BLOCKS * TOKENS);
});

test("blocks of an unknown owner require a new snapshot", () => {
  const view = CacheView.create();
  const blocks = [stored(0, 0)];
  view.loadSnapshot({
    kind: "snapshot",
    incarnation: "e1",
    nextSeq: 1,
    blocks,
  });
  assert.equal(view.matchedTokens(askWith("w"), "1"), 0);
  assert.equal(view.addOwner("t", "w"), true);
});

test("blocks of one weights version never match another", () => {
  const view = filledView();
  const old = askWith("w");
  const next = askWith("w", "2");
  assert.equal(view.matchedTokens(old, "2"), 0);
  assert.equal(view.matchedTokens(next, "2"), 0);
  assert.equal(view.matchedTokens(next, "1"), 0);
  assert.equal(view.matchedTokens(old, "1"), BLOCKS * TOKENS);
});
