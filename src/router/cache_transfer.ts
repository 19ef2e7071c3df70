/**
 * Transfers the expected cache contents from a running entry to one that has just started, so that
 * the new entry can place requests where their prompts are already cached.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { HttpCaller } from "../platform/mod.ts";
import type {
  CachedPart,
  ExpectedCache,
  OwnedCache,
} from "./expected_cache.ts";

/** Path of the call, on the control address. */
export const CACHE_TRANSFER_PATH = "/cached";
/** Timeout of the call. */
const CALL_TIMEOUT_MS = 1000;
/** An entry that has run for longer has learned enough from its own traffic. */
const WARM_UP_MS = 5000;

/** Expected cache contents of a server or store. */
interface CacheContents {
  id: string;
  /** Start of the server, if known. */
  bornAtMs?: number;
  /** Pairs of key and tokens, to keep the JSON short. */
  parts: [string, number][];
}

/** Dependencies of a {@link CacheTransfer}. */
export interface CacheTransferOptions {
  clock: Clock;
  log: Logger;
  /** Port of the control address, the same on every entry. */
  controlPort: number;
  /** Whether servers are known, so that cache contents can be assigned to them. */
  isReady(): boolean;
  /** Finds the cache model of a server start, by id, or of a store, by address. */
  cacheOf(id: string, bornAtMs?: number): ExpectedCache | undefined;
}

/** Copies the cache contents of the first peer that can provide them. */
export class CacheTransfer {
  readonly #options: CacheTransferOptions;
  readonly #startedAtMs: number;
  readonly #askedPeers = new Set<string>();
  #isAsking = false;
  #hasLearned = false;

  private constructor(options: CacheTransferOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /**
   * Creates a learner that has not asked any peer yet.
   *
   * @param options Dependencies.
   * @returns The learner.
   */
  static create(options: CacheTransferOptions): CacheTransfer {
    return new CacheTransfer(options);
  }

  /**
   * Builds the answer to a peer's request.
   *
   * @param caches Expected caches of this entry.
   * @returns The answer as JSON.
   */
  answer(caches: Iterable<OwnedCache>): string {
    const nowMs = this.#options.clock.nowMs();
    const lessons: CacheContents[] = [];
    for (const { id, bornAtMs, cache } of caches) {
      const parts = cache.exportParts(nowMs).map((
        { key, tokens },
      ): [string, number] => [key, tokens]);
      lessons.push({ id, bornAtMs, parts });
    }
    return JSON.stringify({ lessons, upForMs: nowMs - this.#startedAtMs });
  }

  /**
   * Asks a peer for its cache contents. Does so only in the first seconds of the process, once per
   * peer, until one peer has provided contents.
   *
   * @param ipAddress Address of the peer.
   */
  async fetchFrom(ipAddress: string): Promise<void> {
    const { clock, log, controlPort, isReady } = this.#options;
    const isWarm = clock.nowMs() - this.#startedAtMs > WARM_UP_MS;
    if (this.#hasLearned || this.#isAsking || isWarm || !isReady()) return;
    if (this.#askedPeers.has(ipAddress)) return;
    this.#askedPeers.add(ipAddress);
    this.#isAsking = true;
    const caller = HttpCaller.create(
      `${ipAddress}:${controlPort}`,
      CALL_TIMEOUT_MS,
    );
    const answer = await caller.send({
      method: "GET",
      path: CACHE_TRANSFER_PATH,
      idleTimeoutMs: CALL_TIMEOUT_MS,
    });
    await caller.close();
    this.#isAsking = false;
    // On failure, the next known peer is asked instead.
    if (answer.isErr || answer.value.status !== 200) return;
    const lessons = parseContents(answer.value.body["lessons"]);
    if (!lessons) log.warn({ event: "peer_malformed", peer: ipAddress });
    const parts = this.#apply(lessons ?? []);
    // A peer that has itself just started knows little, so another one is asked as well.
    const upForMs = Number(answer.value.body["upForMs"] ?? Infinity);
    this.#hasLearned = parts > 0 && upForMs >= WARM_UP_MS;
    log.info({ event: "caches_learned", peer: ipAddress, parts, upForMs });
  }

  #apply(lessons: CacheContents[]): number {
    let count = 0;
    for (const { id, bornAtMs, parts } of lessons) {
      const cachedParts = parts.map(([key, tokens]): CachedPart => ({
        key,
        tokens,
      }));
      this.#options.cacheOf(id, bornAtMs)?.mergeParts(cachedParts);
      count += cachedParts.length;
    }
    return count;
  }
}

/** Returns undefined unless the whole value is well-formed. */
function parseContents(value: unknown): CacheContents[] | undefined {
  const isAll = Array.isArray(value) && value.every(isCacheContents);
  return isAll ? value : undefined;
}

function isCacheContents(value: unknown): value is CacheContents {
  if (typeof value !== "object" || value === null) return false;
  const { id, bornAtMs, parts } = value as Partial<CacheContents>;
  const isStart = bornAtMs === undefined || Number.isFinite(bornAtMs);
  return typeof id === "string" && isStart && Array.isArray(parts) &&
    parts.every((part) =>
      Array.isArray(part) && typeof part[0] === "string" &&
      Number.isFinite(part[1])
    );
}
