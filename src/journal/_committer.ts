/** Writes the pending records of all shards that an agent owns, in one store commit at a time. */
import { isSamePosition, type StorePosition } from "../store/position.ts";
import { setImmediate as nextTurn } from "node:timers/promises";
import type {
  CommitOutcome,
  KeyValueEntry,
  StoreFailure,
} from "../store/store.ts";
import type { ClaimRefusal } from "./claims_journal.ts";
import type { ClaimEntry } from "./_claim_entry.ts";
import type { JournalOptions } from "./_options.ts";
import {
  applyPart,
  buildPart,
  type CommitPart,
  isDue,
  requeuePart,
} from "./_commit_part.ts";
import { decodeHead, type Head, isSameWriter } from "./_records.ts";
import type { Shard } from "./_shard.ts";
import type { StoreHealth } from "./_store_health.ts";

/** Dependencies of a {@link Committer}. */
export interface CommitterOptions {
  options: JournalOptions;
  health: StoreHealth;
  shards: ReadonlyMap<string, Shard>;
}

/** Three writes for each shard keep a commit below the store's usual limit of 128 operations. */
const MAX_SHARDS_PER_COMMIT = 40;

/** Batches pending records of the owned shards into commits, in a loop ({@link Committer.run}). */
export class Committer {
  readonly #options: JournalOptions;
  readonly #health: StoreHealth;
  readonly #shards: ReadonlyMap<string, Shard>;
  #isCommitRequested = false;
  #wake: () => void = () => {};
  /** The parts of the commit in flight. */
  #inFlight: CommitPart[] = [];
  #commits = 0;

  private constructor({ options, health, shards }: CommitterOptions) {
    this.#options = options;
    this.#health = health;
    this.#shards = shards;
  }

  /** @param options Settings, store health and the agent's shards. */
  static create(options: CommitterOptions): Committer {
    return new Committer(options);
  }

  /** Number of commits sent to the store, including retries. */
  get commits(): number {
    return this.#commits;
  }

  /** Wakes the commit loop; called when a record is pending. */
  requestCommit(): void {
    this.#isCommitRequested = true;
    this.#wake();
  }

  /**
   * Runs the commit loop until the signal is aborted.
   *
   * @param signal Stops the loop.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, commitIntervalMs } = this.#options;
    signal.addEventListener("abort", () => this.requestCommit(), {
      once: true,
    });
    while (!signal.aborted) {
      await this.#waitForWork();
      const { retryAfterMs } = this.#health;
      if (retryAfterMs > 0) await clock.sleep(retryAfterMs, signal);
      // Waits one turn of the event loop, so that claims made in the same turn share a commit.
      await nextTurn();
      const parts = this.#buildParts();
      if (parts.length === 0 || signal.aborted) continue;
      const startedMs = clock.nowMs();
      await this.#commit(parts, signal);
      const remainingMs = startedMs + commitIntervalMs - clock.nowMs();
      if (remainingMs > 0) await clock.sleep(remainingMs, signal);
    }
  }

  async #waitForWork(): Promise<void> {
    if (!this.#isCommitRequested) {
      const stop = new AbortController();
      const requested = new Promise<void>((resolve) => this.#wake = resolve);
      const { clock, endFlushDelayMs } = this.#options;
      const flushDelay = clock.sleep(endFlushDelayMs, stop.signal);
      await Promise.race([requested, flushDelay]);
      stop.abort();
    }
    this.#isCommitRequested = false;
  }

  #buildParts(): CommitPart[] {
    const { clock } = this.#options;
    const context = {
      options: this.#options,
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
      maxClaims: this.#options.maxClaimsPerCommit,
    };
    const shards = [...this.#shards.values()];
    for (const shard of shards) shard.forgetExpired(context.nowMs);
    // A commit also carries records that are not due yet: its cost depends on the number of calls
    // to the store and hardly on their size.
    if (!shards.some((shard) => isDue(shard, context))) return [];
    const dueFirst = shards.filter((shard) => isDue(shard, context));
    const others = shards.filter((shard) => !isDue(shard, context));
    const parts: CommitPart[] = [];
    for (const shard of [...dueFirst, ...others]) {
      if (parts.length === MAX_SHARDS_PER_COMMIT) break;
      const part = buildPart(shard, context);
      if (!part) continue;
      context.maxClaims -= part.claims.length;
      parts.push(part);
    }
    return parts;
  }

  async #commit(
    parts: CommitPart[],
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, store } = this.#options;
    const expect = parts.map((part) => part.expect);
    const writes = parts.flatMap((part) => part.writes);
    const sentMs = clock.nowMs();
    let mayTakeEffect = false;
    this.#inFlight = parts;
    while (!signal.aborted) {
      this.#commits++;
      this.#health.recordCommitSent();
      // A retry is safe: the commit changes the revisions that it expects, so that it takes effect
      // at most once.
      const result = await store.commit(expect, writes);
      this.#health.recordCommitReturned();
      if (result.isOk) {
        this.#health.recordSuccess();
        this.#handleOutcome(parts, { outcome: result.value, sentMs });
        break;
      }
      this.#handleFailure(result.error);
      if (result.error.kind !== "unavailable") mayTakeEffect = true;
      if (!mayTakeEffect) {
        for (const part of parts) requeuePart(part);
        this.requestCommit();
        break;
      }
      await clock.sleep(this.#health.retryAfterMs, signal);
    }
    this.#inFlight = [];
  }

  #handleFailure(failure: StoreFailure): void {
    this.#health.recordFailure();
    this.#options.log.warn(
      { failure },
      "Failed to write to the claims journal",
    );
    if (this.#health.isDown) this.#decidePendingLocally();
  }

  /** Grants from memory, or refuses, all claims that wait while the store is down. */
  #decidePendingLocally(): void {
    for (const part of this.#inFlight) {
      for (const entry of part.claims) this.decideLocally(part.shard, entry);
    }
    for (const shard of this.#shards.values()) {
      for (const entry of [...shard.queue]) this.decideLocally(shard, entry);
    }
  }

  /**
   * Grants a claim from memory or refuses it, without waiting any longer for the store.
   *
   * @param shard The shard of the claim.
   * @param entry The undecided claim.
   */
  decideLocally(shard: Shard, entry: ClaimEntry): void {
    const nowMs = this.#options.clock.nowMs();
    if (shard.mayGrantFromMemory(entry, nowMs)) {
      shard.grant(entry, nowMs);
      return;
    }
    const retryAfterMs = Math.max(1, this.#health.retryAfterMs);
    const refusal: ClaimRefusal = {
      kind: "not_run",
      cause: "store_down",
      retryAfterMs,
    };
    shard.refuse(entry, refusal, nowMs);
  }

  #handleOutcome(
    parts: CommitPart[],
    { outcome, sentMs }: { outcome: CommitOutcome; sentMs: number },
  ): void {
    const nowMs = this.#options.clock.nowMs();
    if (outcome.kind === "committed") {
      const { position } = outcome;
      for (const part of parts) this.#apply(part, { position, sentMs, nowMs });
      return;
    }
    const current = new Map(outcome.current.map((entry) => [entry.key, entry]));
    const own = parts.find((part) => isWrittenBy(part, current));
    const position = own && current.get(own.expect.key)!.modPosition;
    for (const part of parts) {
      const found = current.get(part.expect.key);
      if (position !== undefined) {
        this.#apply(part, { position, sentMs, nowMs });
      } else if (
        !isSamePosition(found?.modPosition, part.expect.modPosition)
      ) {
        this.#endOwnership(part.shard, found);
      } else {
        requeuePart(part);
      }
    }
    this.requestCommit();
  }

  #apply(
    part: CommitPart,
    result: { position: StorePosition; sentMs: number; nowMs: number },
  ): void {
    applyPart(part, result);
    if (!part.head?.released) return;
    const refusal: ClaimRefusal = {
      kind: "not_run",
      cause: "closing",
      retryAfterMs: 1,
    };
    part.shard.endOwnership(refusal, result.nowMs);
  }

  #endOwnership(shard: Shard, found: KeyValueEntry | undefined): void {
    const nowMs = this.#options.clock.nowMs();
    const head = found && decodeHead(found.value).unwrapOr(undefined);
    shard.endOwnership(createLostOwnershipRefusal(head), nowMs);
    if (!head) return;
    const readMs = nowMs;
    shard.ownership = { kind: "foreign", head, seenMs: nowMs, readMs };
    const { address, epoch } = head;
    this.#options.log.info(
      { ...shard.id, address, epoch },
      "Lost the ownership of a shard",
    );
  }
}

function isWrittenBy(
  part: CommitPart,
  current: ReadonlyMap<string, KeyValueEntry>,
): boolean {
  const found = current.get(part.expect.key);
  if (!part.head || !found) return false;
  return decodeHead(found.value)
    .map((head) => isSameWriter(head, part.head!))
    .unwrapOr(false);
}

function createLostOwnershipRefusal(head: Head | undefined): ClaimRefusal {
  if (!head || head.released) {
    return { kind: "not_run", cause: "ownership_lost", retryAfterMs: 1 };
  }
  const { address, agentIncarnation } = head;
  return { kind: "redirect", address, agentIncarnation };
}
