/**
 * Tracks which blocks an engine has cached, from its delayed and lossy event feed. Blocks are
 * indexed by the keys of the prefix chain, which is seeded with team, workspace, model, adapter and
 * weights version, so a block can only match within its own scope.
 *
 * After a gap in the feed nothing matches until a new snapshot was loaded, because a lost event may
 * have removed any block. A new engine incarnation clears the view.
 */
import type {
  CacheEvent,
  CacheFeedItem,
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

/** Maximum number of blocks that a {@link CacheView} tracks. */
export const MAX_TRACKED_BLOCKS = 92_000;

/** Result of applying an event of the feed. */
export type CacheEventResult =
  | { kind: "taken" }
  /** Events were lost, so a new snapshot is required. */
  | { kind: "gap"; expectedSeq: number; seq: number }
  /** The engine restarted. */
  | { kind: "new_incarnation"; incarnation: string };

/** Sizes and validity of a view, for state dumps. */
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

type StoredEvent = Extract<CacheEvent, { kind: "stored" }>;

const MAX_SALTS = 10_000;
const encoder = new TextEncoder();

/** A copy of one engine's cache index, updated from its event feed. */
export class CacheView {
  /** Team and workspace of each known cache salt. */
  readonly #ownersBySalt = new Map<
    string,
    { team: string; workspace: string }
  >();
  readonly #unknownSalts = new Set<string>();
  readonly #scopes = new Map<string, Scope>();
  readonly #blocks = new Map<string, Block>();
  #incarnation = "";
  #nextSeq = 0;
  #isTrusted = false;
  #gapCount = 0;
  #snapshotCount = 0;

  private constructor() {}

  /** @returns An empty view, which is invalid until a snapshot is loaded. */
  static create(): CacheView {
    return new CacheView();
  }

  /** True from the load of a snapshot until the next gap, end of the feed or restart. */
  get isTrusted(): boolean {
    return this.#isTrusted;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  /** Sequence number expected of the next event. */
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
      gaps: this.#gapCount,
      snapshots: this.#snapshotCount,
    };
  }

  /**
   * Registers the cache salt of a workspace, so that its blocks can be tracked.
   *
   * @param team The team.
   * @param workspace A workspace of the team.
   * @returns True if blocks with this salt were skipped, so that a new snapshot would add them.
   */
  addOwner(team: string, workspace: string): boolean {
    const salt = cacheSalt(team, workspace);
    if (this.#ownersBySalt.has(salt)) return false;
    if (this.#ownersBySalt.size >= MAX_SALTS) return false;
    this.#ownersBySalt.set(salt, { team, workspace });
    return this.#unknownSalts.delete(salt);
  }

  /**
   * @param ask A request.
   * @param weightsVersion The weights version that would serve the request.
   * @returns Number of prompt tokens known to be cached by the engine.
   */
  matchedTokens(ask: AskRequest, weightsVersion: string): number {
    if (!this.#isTrusted) return 0;
    const { team, workspace, model, adapter } = ask;
    const salt = cacheSalt(team, workspace);
    const scope = this.#scopes.get(
      scopeKey(salt, { model, adapter, weightsVersion }),
    );
    if (!scope) return 0;
    const blocks = longestCachedPrefix(scope, ask.chain);
    return Math.min(blocks * CHAIN_BLOCK_TOKENS, ask.promptTokens);
  }

  /** Marks the view invalid until the next snapshot. */
  invalidate(): void {
    this.#isTrusted = false;
  }

  /** @param incarnation The new incarnation of the engine, whose cache is empty. */
  reset(incarnation: string): void {
    this.#clear();
    this.#incarnation = incarnation;
    this.#isTrusted = false;
  }

  /** @param snapshot All blocks of the engine, parents before children. */
  loadSnapshot(snapshot: Extract<CacheFeedItem, { kind: "snapshot" }>): void {
    this.#clear();
    this.#incarnation = snapshot.incarnation;
    this.#nextSeq = snapshot.nextSeq;
    for (const event of snapshot.blocks) this.#apply(event);
    this.#isTrusted = true;
    this.#snapshotCount++;
  }

  /**
   * Applies an event of the feed.
   *
   * @param incarnation Incarnation of the engine that sent the event.
   * @param event The event.
   * @returns Whether the event was in sequence.
   */
  applyEvent(incarnation: string, event: CacheEvent): CacheEventResult {
    if (incarnation !== this.#incarnation) {
      this.reset(incarnation);
      return { kind: "new_incarnation", incarnation };
    }
    // Duplicate delivery, for example after a reconnect.
    if (event.seq < this.#nextSeq) return { kind: "taken" };
    if (event.seq > this.#nextSeq) {
      this.#gapCount++;
      this.invalidate();
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

  #store(event: StoredEvent): void {
    if (this.#blocks.has(event.blockKey)) return;
    const scope = this.#findOrCreateScope(event);
    if (!scope || this.#blocks.size >= MAX_TRACKED_BLOCKS) return;
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

  #findOrCreateScope(event: StoredEvent): Scope | undefined {
    const owner = this.#ownersBySalt.get(event.cacheSalt);
    if (!owner) {
      if (this.#unknownSalts.size < MAX_SALTS) {
        this.#unknownSalts.add(event.cacheSalt);
      }
      return undefined;
    }
    const name = scopeKey(event.cacheSalt, event.model);
    const known = this.#scopes.get(name);
    if (known) return known;
    const { model, adapter, weightsVersion } = event.model;
    const chainScope: ChainScope = { ...owner, model, adapter, weightsVersion };
    const scope = { seed: chainSeed(chainScope), blocks: new Map() };
    this.#scopes.set(name, scope);
    return scope;
  }

  #clear(): void {
    this.#blocks.clear();
    this.#scopes.clear();
    this.#unknownSalts.clear();
  }
}

function longestCachedPrefix(scope: Scope, chain: ChainPoint[]): number {
  for (let at = chain.length - 1; at >= 0; at--) {
    const point = chain[at]!;
    const block = scope.blocks.get(point.key);
    if (block?.depth === point.blocks && isReachable(block)) return block.depth;
  }
  return 0;
}

/** An engine can reuse a block only if all preceding blocks are cached too. */
function isReachable(block: Block): boolean {
  const { seed, blocks } = block.scope;
  let at = block;
  while (at.parentKey !== seed) {
    const parent = blocks.get(at.parentKey);
    if (!parent) return false;
    at = parent;
  }
  return true;
}

function scopeKey(salt: string, model: LoadedModel): string {
  return JSON.stringify([
    salt,
    model.model,
    model.adapter,
    model.weightsVersion,
  ]);
}
