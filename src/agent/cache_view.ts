/**
 * What the engine has cached, told by its late and lossy event feed. Blocks are indexed by the keys
 * of our prefix chain, which start from team, workspace, model, adapter and weights version, so that
 * a block can only match within its own scope.
 *
 * After a gap nothing is claimed until a snapshot was taken: a lost event may have removed any
 * block. A new engine incarnation voids everything.
 */
import type {
  CacheEvent,
  CacheFeedStep,
  LoadedModel,
} from "../backends/engine.ts";
import {
  cacheSalt,
  CHAIN_BLOCK_TOKENS,
  type ChainScope,
  chainSeed,
  nextKey,
} from "../placement/chain.ts";
import type { AskRequest, ChainPoint } from "../wire/gen/cicadahitch.ts";

/** Most blocks that are kept in view. */
export const MAX_BLOCKS = 92_000;

/** What became of a step of the feed. */
export type FollowResult =
  | { kind: "taken" }
  /** Entries were lost; only a snapshot helps. */
  | { kind: "gap"; expectedSeq: number; seq: number }
  /** The engine started anew. */
  | { kind: "new_incarnation"; incarnation: string };

/** Sizes and trust, for state dumps. */
export interface CacheSummary {
  incarnation: string;
  isTrusted: boolean;
  blocks: number;
  scopes: number;
  unknownSalts: number;
  gaps: number;
  snapshots: number;
}

interface Block {
  scope: Scope;
  parentKey: bigint;
  chainKey: bigint;
  depth: number;
}

interface Scope {
  seed: bigint;
  blocks: Map<bigint, Block>;
}

type Stored = Extract<CacheEvent, { kind: "stored" }>;

const MAX_SALTS = 10_000;
const encoder = new TextEncoder();

/** The picture of one engine's cache. */
export class CacheView {
  /** By salt: whose blocks carry it. */
  readonly #owners = new Map<string, { team: string; workspace: string }>();
  readonly #unknownSalts = new Set<string>();
  readonly #scopes = new Map<string, Scope>();
  readonly #blocks = new Map<string, Block>();
  #incarnation = "";
  #nextSeq = 0;
  #isTrusted = false;
  #gaps = 0;
  #snapshots = 0;

  private constructor() {}

  /** @returns A view that claims nothing. */
  static create(): CacheView {
    return new CacheView();
  }

  /** False until a snapshot was taken, and again after a gap. */
  get isTrusted(): boolean {
    return this.#isTrusted;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  /** Sequence number of the next event. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  get summary(): CacheSummary {
    return {
      incarnation: this.#incarnation,
      isTrusted: this.#isTrusted,
      blocks: this.#blocks.size,
      scopes: this.#scopes.size,
      unknownSalts: this.#unknownSalts.size,
      gaps: this.#gaps,
      snapshots: this.#snapshots,
    };
  }

  /**
   * Learns whose blocks carry a salt.
   *
   * @param team The team.
   * @param workspace Its workspace.
   * @returns True when blocks with that salt were left out, so that a snapshot would show more.
   */
  learnOwner(team: string, workspace: string): boolean {
    const salt = cacheSalt(team, workspace);
    if (this.#owners.has(salt)) return false;
    if (this.#owners.size >= MAX_SALTS) return false;
    this.#owners.set(salt, { team, workspace });
    return this.#unknownSalts.delete(salt);
  }

  /**
   * @param ask A request.
   * @param weightsVersion The version that would serve it.
   * @returns Tokens of its prompt that the engine has cached, as far as is known.
   */
  matchedTokens(ask: AskRequest, weightsVersion: string): number {
    if (!this.#isTrusted) return 0;
    const { team, workspace, model, adapter } = ask;
    const salt = cacheSalt(team, workspace);
    const scope = this.#scopes.get(
      scopeName(salt, { model, adapter, weightsVersion }),
    );
    if (!scope) return 0;
    const blocks = longestStored(scope, ask.chain);
    return Math.min(blocks * CHAIN_BLOCK_TOKENS, ask.promptTokens);
  }

  /** Claims nothing from now on, until the next snapshot. */
  distrust(): void {
    this.#isTrusted = false;
  }

  /** @param incarnation The engine's, which started with an empty cache. */
  voidAll(incarnation: string): void {
    this.#clear();
    this.#incarnation = incarnation;
    this.#isTrusted = false;
  }

  /** @param snapshot The engine's blocks, parents first. */
  restart(snapshot: Extract<CacheFeedStep, { kind: "snapshot" }>): void {
    this.#clear();
    this.#incarnation = snapshot.incarnation;
    this.#nextSeq = snapshot.nextSeq;
    for (const event of snapshot.blocks) this.#apply(event);
    this.#isTrusted = true;
    this.#snapshots++;
  }

  /**
   * @param incarnation The engine that reports it.
   * @param event An event of the feed.
   * @returns Whether it fits what was known.
   */
  follow(incarnation: string, event: CacheEvent): FollowResult {
    if (incarnation !== this.#incarnation) {
      this.voidAll(incarnation);
      return { kind: "new_incarnation", incarnation };
    }
    // Delivered twice, as after a reconnect.
    if (event.seq < this.#nextSeq) return { kind: "taken" };
    if (event.seq > this.#nextSeq) {
      this.#gaps++;
      this.distrust();
      return { kind: "gap", expectedSeq: this.#nextSeq, seq: event.seq };
    }
    this.#nextSeq = event.seq + 1;
    this.#apply(event);
    return { kind: "taken" };
  }

  #apply(event: CacheEvent): void {
    switch (event.kind) {
      case "stored":
        return this.#store(event);
      case "removed":
        return this.#remove(event.blockKey);
      case "cleared":
        return this.#clear();
    }
  }

  #store(event: Stored): void {
    if (this.#blocks.has(event.blockKey)) return;
    const scope = this.#scopeOf(event);
    if (!scope || this.#blocks.size >= MAX_BLOCKS) return;
    const parent = this.#blocks.get(event.parentKey);
    if (event.parentKey !== "" && !parent) return;
    const parentKey = parent?.chainKey ?? scope.seed;
    const block: Block = {
      scope,
      parentKey,
      chainKey: nextKey(parentKey, encoder.encode(event.content)),
      depth: (parent?.depth ?? 0) + 1,
    };
    this.#blocks.set(event.blockKey, block);
    scope.blocks.set(block.chainKey, block);
  }

  #remove(engineKey: string): void {
    const block = this.#blocks.get(engineKey);
    if (!block) return;
    this.#blocks.delete(engineKey);
    block.scope.blocks.delete(block.chainKey);
  }

  #scopeOf(event: Stored): Scope | undefined {
    const owner = this.#owners.get(event.cacheSalt);
    if (!owner) {
      if (this.#unknownSalts.size < MAX_SALTS) {
        this.#unknownSalts.add(event.cacheSalt);
      }
      return undefined;
    }
    const name = scopeName(event.cacheSalt, event.model);
    const known = this.#scopes.get(name);
    if (known) return known;
    const { model, adapter, weightsVersion } = event.model;
    const whole: ChainScope = { ...owner, model, adapter, weightsVersion };
    const scope = { seed: chainSeed(whole), blocks: new Map() };
    this.#scopes.set(name, scope);
    return scope;
  }

  #clear(): void {
    this.#blocks.clear();
    this.#scopes.clear();
    this.#unknownSalts.clear();
  }
}

function longestStored(scope: Scope, chain: ChainPoint[]): number {
  for (let at = chain.length - 1; at >= 0; at--) {
    const point = chain[at]!;
    const block = scope.blocks.get(point.key);
    if (block?.depth === point.blocks && isWhole(block)) return block.depth;
  }
  return 0;
}

/** An engine uses a block only together with all blocks before it. */
function isWhole(block: Block): boolean {
  const { seed, blocks } = block.scope;
  let at = block;
  while (at.parentKey !== seed) {
    const parent = blocks.get(at.parentKey);
    if (!parent) return false;
    at = parent;
  }
  return true;
}

function scopeName(salt: string, model: LoadedModel): string {
  return JSON.stringify([
    salt,
    model.model,
    model.adapter,
    model.weightsVersion,
  ]);
}
