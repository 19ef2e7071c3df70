/** Acquires the ownership of shards. */
import type { StorePosition } from "../store/position.ts";
import { err, ok, type Result } from "true-myth/result";
import type { Unit } from "true-myth/unit";
import type { Expectation, KeyValueEntry, Write } from "../store/store.ts";
import type { ClaimRefusal } from "./claims_journal.ts";
import { CLOCK_RATE_MARGIN, type JournalOptions } from "./_options.ts";
import { headKey, shardPrefix } from "./_paths.ts";
import { decodeHead, encodeHead, type Head, isSameWriter } from "./_records.ts";
import { type Replay, replaySegments } from "./_replay.ts";
import type { Shard } from "./_shard.ts";
import type { StoreHealth } from "./_store_health.ts";

/** Dependencies of a {@link ShardAcquirer}. */
export interface ShardAcquirerOptions {
  options: JournalOptions;
  health: StoreHealth;
}

/** The stored state of a shard, as its previous owner left it. */
interface StoredShard extends Replay {
  head: Head | undefined;
  modPosition: StorePosition | undefined;
}

/** Result of a takeover; `beaten`: another agent changed the head first. */
type TakeoverOutcome = "taken" | "beaten" | "store_down";

const MAX_ATTEMPTS = 4;
const FIRST_SEGMENT = 1;

/** Acquires the ownership of shards; concurrent calls for one shard share one acquisition. */
export class ShardAcquirer {
  readonly #options: JournalOptions;
  readonly #health: StoreHealth;
  readonly #acquisitions = new Map<
    Shard,
    Promise<Result<Unit, ClaimRefusal>>
  >();

  private constructor({ options, health }: ShardAcquirerOptions) {
    this.#options = options;
    this.#health = health;
  }

  /** @param options Settings and store health. */
  static create(options: ShardAcquirerOptions): ShardAcquirer {
    return new ShardAcquirer(options);
  }

  /** True while an acquisition is in progress. */
  get isBusy(): boolean {
    return this.#acquisitions.size > 0;
  }

  /**
   * Makes this agent the owner of the shard, unless the caller should ask the current owner.
   *
   * @param shard A shard that this agent does not own.
   * @param unreachable Addresses of owners that did not answer the caller.
   * @returns The reason why this agent did not become the owner, if so.
   */
  async acquire(
    shard: Shard,
    unreachable: string[],
  ): Promise<Result<Unit, ClaimRefusal>> {
    const ongoing = this.#acquisitions.get(shard);
    if (ongoing) {
      const result = await ongoing;
      if (result.isOk || result.error.kind !== "redirect") return result;
    }
    if (shard.ownerState) return ok();
    const acquisition = this.#acquisitions.get(shard) ??
      this.#start(shard, unreachable);
    return await acquisition;
  }

  #start(
    shard: Shard,
    unreachable: string[],
  ): Promise<Result<Unit, ClaimRefusal>> {
    const result = this.#acquire(shard, unreachable)
      .finally(() => this.#acquisitions.delete(shard));
    this.#acquisitions.set(shard, result);
    return result;
  }

  async #acquire(
    shard: Shard,
    unreachable: string[],
  ): Promise<Result<Unit, ClaimRefusal>> {
    const { ownership } = shard;
    if (ownership.kind === "foreign" && this.#isCacheFresh(ownership.readMs)) {
      const cachedRedirect = this.#findRedirect(
        shard,
        ownership.head,
        unreachable,
      );
      if (cachedRedirect) return err(cachedRedirect);
    }
    if (this.#health.failsFast) return err(this.#createStoreDownRefusal());
    const redirect = await this.#readHeadForRedirect(shard, unreachable);
    if (redirect.isErr) return redirect;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const found = await this.#readShard(shard, unreachable);
      if (found.isErr) return err(found.error);
      const outcome = await this.#takeOver(shard, found.value);
      if (outcome === "taken") return ok();
      if (outcome === "store_down") return err(this.#createStoreDownRefusal());
    }
    return err({ kind: "not_run", cause: "ownership_lost", retryAfterMs: 50 });
  }

  /** True if a cached head is recent enough; later its owner may have stopped. */
  #isCacheFresh(readMs: number): boolean {
    const { clock, minOwnershipMs } = this.#options;
    return clock.nowMs() - readMs < minOwnershipMs;
  }

  /** Reads only the head, which is cheaper than a list of the shard if a redirect results. */
  async #readHeadForRedirect(
    shard: Shard,
    unreachable: string[],
  ): Promise<Result<Unit, ClaimRefusal>> {
    const read = await this.#options.store.get(headKey(shard.id));
    if (read.isErr) return err(this.#recordFailure());
    this.#health.recordSuccess();
    if (!read.value) return ok();
    const head = decodeHead(read.value.value);
    if (head.isErr) return err(this.#unreadable(shard, head.error.message));
    const redirect = this.#findRedirect(shard, head.value, unreachable);
    if (!redirect) return ok();
    if (shard.ownership.kind === "foreign") {
      shard.ownership.readMs = this.#options.clock.nowMs();
    }
    return err(redirect);
  }

  async #readShard(
    shard: Shard,
    unreachable: string[],
  ): Promise<Result<StoredShard, ClaimRefusal>> {
    const listing = await this.#options.store.list(shardPrefix(shard.id));
    if (listing.isErr) return err(this.#recordFailure());
    this.#health.recordSuccess();
    const { entries } = listing.value;
    const headEntry = entries.find(({ key }) => key === headKey(shard.id));
    const segments = entries.filter((entry) => entry !== headEntry);
    const head = headEntry && decodeHead(headEntry.value);
    if (head?.isErr) return err(this.#unreadable(shard, head.error.message));
    const redirect = head && this.#findRedirect(shard, head.value, unreachable);
    if (redirect) return err(redirect);
    const replay = replaySegments(segments, shard.ownClaims);
    if (replay.isErr) {
      return err(this.#unreadable(shard, replay.error.message));
    }
    const modPosition = headEntry?.modPosition;
    return ok({ ...replay.value, head: head?.value, modPosition });
  }

  async #takeOver(
    shard: Shard,
    found: StoredShard,
  ): Promise<TakeoverOutcome> {
    const { clock } = this.#options;
    const head = this.#createSuccessorHead(shard, found.head);
    const sentMs = clock.nowMs();
    const modPosition = await this.#commitHead(shard, found, head);
    if (typeof modPosition === "string") return modPosition;
    const nowMs = clock.nowMs();
    const { segments, claims } = found;
    // The journal clock starts only after the commit: the predecessor can't confirm its ownership
    // any more.
    const ownerState = {
      head,
      modPosition,
      commitNumber: head.commitNumber,
      startedMs: nowMs,
      startedJournalMs: head.journalMs,
      confirmedMs: sentMs,
      maxMemoryGrantMs: head.maxMemoryGrantMs,
    };
    shard.startOwnership({ ownerState, segments, claims });
    const { epoch, quarantineUntilJournalMs } = head;
    const quarantineMs = quarantineUntilJournalMs - head.journalMs;
    const details = { ...shard.id, epoch, claims: claims.length, quarantineMs };
    this.#options.log.info(details, "Took over a shard");
    return "taken";
  }

  /** Commits the new head; returns its position, or the reason of the failure. */
  async #commitHead(
    shard: Shard,
    found: StoredShard,
    head: Head,
  ): Promise<StorePosition | "beaten" | "store_down"> {
    const key = headKey(shard.id);
    const expect: Expectation[] = [{ key, modPosition: found.modPosition }];
    const writes: Write[] = [{ kind: "put", key, value: encodeHead(head) }];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const result = await this.#options.store.commit(expect, writes);
      if (result.isErr) {
        // If this commit takes effect later, the store has an epoch in which nothing is granted.
        this.#health.recordFailure();
        await this.#options.clock.sleep(this.#health.retryAfterMs);
        continue;
      }
      this.#health.recordSuccess();
      if (result.value.kind === "committed") return result.value.position;
      const current = result.value.current.find((entry) => entry.key === key);
      const isOwn = current && isWrittenBy(current, head);
      return isOwn ? current.modPosition : "beaten";
    }
    return "store_down";
  }

  #createSuccessorHead(shard: Shard, previous: Head | undefined): Head {
    const { address, agentIncarnation, maxMemoryGrantMs } = this.#options;
    return {
      address,
      agentIncarnation,
      epoch: (previous?.epoch ?? 0) + 1,
      commitNumber: 0,
      oldestSegment: previous?.oldestSegment ?? FIRST_SEGMENT,
      nextSegment: previous?.nextSegment ?? FIRST_SEGMENT,
      journalMs: previous?.journalMs ?? 0,
      maxMemoryGrantMs: shard.wantsMemoryMode ? maxMemoryGrantMs : 0,
      retryWindowMs: Math.max(shard.maxWindowMs, previous?.retryWindowMs ?? 0),
      quarantineUntilJournalMs: this.#quarantineUntil(previous),
      released: false,
    };
  }

  /**
   * Returns the end of the quarantine on the journal clock. A predecessor in `memory` mode that did
   * not release the shard may have granted claims without the journal. It may do so until its limit
   * has passed since its last confirmation, which was before this takeover. Repeats of those keys
   * may come for one retry window more.
   */
  #quarantineUntil(previous: Head | undefined): number {
    if (!previous) return 0;
    const { agentIncarnation, maxMemoryGrantMs, released } = previous;
    const isOwn = agentIncarnation === this.#options.agentIncarnation;
    const untilMs = previous.quarantineUntilJournalMs;
    if (isOwn || released || maxMemoryGrantMs === 0) return untilMs;
    const waitMs = maxMemoryGrantMs * CLOCK_RATE_MARGIN +
      previous.retryWindowMs;
    return Math.max(untilMs, previous.journalMs + waitMs);
  }

  /** Returns a redirect to the owner, or undefined if this agent should take over. */
  #findRedirect(
    shard: Shard,
    head: Head,
    unreachable: string[],
  ): ClaimRefusal | undefined {
    const { address, agentIncarnation, epoch, released } = head;
    if (released || address === this.#options.address) return undefined;
    if (unreachable.includes(address)) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const { ownership } = shard;
    const isCached = ownership.kind === "foreign" &&
      ownership.head.epoch === epoch;
    const seenMs = isCached ? ownership.seenMs : nowMs;
    const readMs = isCached ? ownership.readMs : nowMs;
    shard.ownership = { kind: "foreign", head, seenMs, readMs };
    // An owner in `memory` mode is not replaced here, since a takeover would cause a quarantine.
    const mayTakeOver = head.maxMemoryGrantMs === 0 &&
      nowMs - seenMs >= this.#options.minOwnershipMs;
    return mayTakeOver
      ? undefined
      : { kind: "redirect", address, agentIncarnation };
  }

  #recordFailure(): ClaimRefusal {
    this.#health.recordFailure();
    return this.#createStoreDownRefusal();
  }

  #createStoreDownRefusal(): ClaimRefusal {
    const retryAfterMs = Math.max(1, this.#health.retryAfterMs);
    return { kind: "not_run", cause: "store_down", retryAfterMs };
  }

  #unreadable(shard: Shard, message: string): ClaimRefusal {
    this.#options.log.error(
      { ...shard.id, message },
      "Could not decode the claims journal",
    );
    return { kind: "not_run", cause: "unreadable", retryAfterMs: 60_000 };
  }
}

function isWrittenBy(entry: KeyValueEntry, head: Head): boolean {
  return decodeHead(entry.value)
    .map((found) => isSameWriter(found, head))
    .unwrapOr(false);
}
