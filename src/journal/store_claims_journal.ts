/** Implements the claims journal on the platform's key-value service. */
import { err, ok, type Result } from "true-myth/result";
import type { Unit } from "true-myth/unit";
import { Lifecycle, type Owned } from "../base/mod.ts";
import type {
  ClaimAnswer,
  ClaimEnd,
  ClaimRef,
  ClaimRefusal,
  ClaimRequest,
  ClaimsJournal,
  ClaimStatus,
  ClaimTicket,
  JournalState,
  NotRunCause,
  ShardState,
} from "./claims_journal.ts";
import { Committer } from "./_committer.ts";
import {
  answerRepeatedClaim,
  type ClaimEntry,
  createOwnEntry,
  type Decision,
  digestToKey,
} from "./_claim_entry.ts";
import { ShardAcquirer } from "./_shard_acquirer.ts";
import {
  CLOCK_RATE_MARGIN,
  type JournalOptions,
  type StoreClaimsJournalOptions,
  withDefaults,
} from "./_options.ts";
import { shardPrefix } from "./_paths.ts";
import { Shard } from "./_shard.ts";
import { shardOf } from "./shard_hash.ts";
import { StoreHealth } from "./_store_health.ts";
import { Ticket } from "./_ticket.ts";

type Answer = Result<ClaimAnswer, ClaimRefusal>;

/** Result of a wait that timed out. */
const TIMED_OUT = Symbol("timed out");
const FULL_RETRY_AFTER_MS = 5000;
const CLOSE_POLL_INTERVAL_MS = 20;

/** {@link ClaimsJournal} that is stored in the platform's key-value service. */
export class StoreClaimsJournal implements ClaimsJournal, Owned {
  readonly name = "claims-journal";
  readonly #options: JournalOptions;
  readonly #health: StoreHealth;
  readonly #shards = new Map<string, Shard>();
  readonly #committer: Committer;
  readonly #acquirer: ShardAcquirer;
  readonly #life = Lifecycle.create("claims-journal");
  #isClosing = false;
  #grants = 0;
  #memoryGrants = 0;

  private constructor(partialOptions: StoreClaimsJournalOptions) {
    const options = withDefaults(partialOptions);
    const health = StoreHealth.create(options);
    this.#options = options;
    this.#health = health;
    this.#acquirer = ShardAcquirer.create({ options, health });
    this.#committer = Committer.create({
      options,
      health,
      shards: this.#shards,
    });
    this.#life.task("commits", (signal) => this.#committer.run(signal));
  }

  /**
   * @param options The store, the agent's identity and optional tuning.
   * @returns A journal that owns no shard yet.
   */
  static create(options: StoreClaimsJournalOptions): StoreClaimsJournal {
    return new StoreClaimsJournal(options);
  }

  async claim(request: ClaimRequest): Promise<Answer> {
    const { clock, claimTimeoutMs } = this.#options;
    const shard = this.#getShard(request);
    const deadlineMs = clock.nowMs() + claimTimeoutMs;
    while (!this.#isClosing) {
      this.#updateSettings(shard, request);
      const found = shard.findActive(
        digestToKey(request.keyDigest),
        clock.nowMs(),
      );
      if (found && !matches(found, request)) return err({ kind: "key_reused" });
      if (found && !isUndecided(found)) {
        return answerRepeatedClaim(found, this.#options.address);
      }
      if (!found && shard.ownerState) return await this.#submit(shard, request);
      const step = found
        ? found.decided.then((): Result<Unit, ClaimRefusal> => ok())
        : this.#acquirer.acquire(shard, request.unreachableAddresses ?? []);
      const result = await this.#withTimeout(step, deadlineMs - clock.nowMs());
      if (result === TIMED_OUT) return this.#refuse("store_down");
      if (result.isErr) return err(result.error);
    }
    return this.#refuse("closing");
  }

  claimStatus(ref: ClaimRef): ClaimStatus {
    const entry = this.#getShard(ref).ownClaims.get(ref.runId);
    if (entry?.key !== digestToKey(ref.keyDigest)) return { kind: "unknown" };
    return entry.end ? { kind: "ended", end: entry.end } : { kind: "running" };
  }

  recordEnd(ref: ClaimRef, end: ClaimEnd): void {
    const shard = this.#getShard(ref);
    const nowMs = this.#options.clock.nowMs();
    const entry = shard.findActive(digestToKey(ref.keyDigest), nowMs);
    if (!entry || entry.phase !== "foreign") return;
    if (entry.claimant.runId === ref.runId) shard.end(entry, end, nowMs);
  }

  state(): JournalState {
    return {
      storeDown: this.#health.isDown,
      commits: this.#committer.commits,
      grants: this.#grants,
      memoryGrants: this.#memoryGrants,
      shards: [...this.#shards.values()].map((shard) =>
        this.#shardState(shard)
      ),
    };
  }

  async close(): Promise<void> {
    const { clock, closeTimeoutMs } = this.#options;
    this.#isClosing = true;
    const deadlineMs = clock.nowMs() + closeTimeoutMs;
    for (const shard of this.#shards.values()) shard.isClosing = true;
    this.#committer.requestCommit();
    while (this.#isBusy && clock.nowMs() < deadlineMs) {
      await clock.sleep(CLOSE_POLL_INTERVAL_MS);
    }
    const closing = { kind: "not_run", cause: "closing", retryAfterMs: 1 };
    for (const shard of this.#shards.values()) {
      shard.endOwnership(closing as ClaimRefusal, clock.nowMs());
    }
    await this.#life.stop();
  }

  async #submit(shard: Shard, request: ClaimRequest): Promise<Answer> {
    const { clock, claimTimeoutMs, maxClaimsPerShard } = this.#options;
    const nowMs = clock.nowMs();
    const quarantineMs = Math.ceil(shard.quarantineMs(nowMs));
    if (quarantineMs > 0) {
      return err({ kind: "unknown", retryAfterMs: quarantineMs });
    }
    if (shard.claimCount >= maxClaimsPerShard) {
      return this.#refuse("journal_full");
    }
    const entry = this.#createEntry(request);
    const inMemory = this.#health.isDown &&
      shard.mayGrantFromMemory(entry, nowMs);
    if (this.#health.failsFast && !inMemory) return this.#refuse("store_down");
    shard.enqueue(entry);
    if (inMemory) shard.grant(entry, nowMs);
    this.#committer.requestCommit();
    const decision = await this.#withTimeout(entry.decided, claimTimeoutMs);
    if (decision !== TIMED_OUT) return this.#answer(shard, entry, decision);
    this.#committer.decideLocally(shard, entry);
    return this.#answer(shard, entry, await entry.decided);
  }

  #answer(shard: Shard, entry: ClaimEntry, refusal: Decision): Answer {
    if (refusal) return err(refusal);
    this.#grants++;
    if (entry.segment === 0) this.#memoryGrants++;
    const { clock, maxForwardDelayMs } = this.#options;
    const ticket: ClaimTicket = Ticket.create({
      shard,
      entry,
      clock,
      maxForwardDelayMs,
    });
    return ok({ kind: "granted", ticket });
  }

  #createEntry(request: ClaimRequest): ClaimEntry {
    const { clock, address, agentIncarnation } = this.#options;
    return createOwnEntry(request, {
      claimant: { address, agentIncarnation, runId: request.runId },
      windowMs: this.#windowMs(request),
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
    });
  }

  /** Keeps a key at least as long as its call can take, even if the setting is shorter. */
  #windowMs({ settings }: ClaimRequest): number {
    const longestCallMs = settings.timeoutMs +
      2 * this.#options.maxForwardDelayMs;
    const windowMs = Math.max(settings.retryWindowMs, longestCallMs);
    return Math.ceil(windowMs * CLOCK_RATE_MARGIN);
  }

  #updateSettings(shard: Shard, request: ClaimRequest): void {
    shard.wantsMemoryMode = request.settings.whenStoreDown === "memory";
    shard.maxWindowMs = Math.max(shard.maxWindowMs, this.#windowMs(request));
  }

  #getShard({ team, service, keyDigest }: ClaimRef): Shard {
    const id = { team, service, shard: shardOf(keyDigest) };
    const prefix = shardPrefix(id);
    const existing = this.#shards.get(prefix);
    if (existing) return existing;
    const shard = Shard.create(id);
    this.#shards.set(prefix, shard);
    return shard;
  }

  async #withTimeout<T>(
    step: Promise<T>,
    waitMs: number,
  ): Promise<T | typeof TIMED_OUT> {
    const stop = new AbortController();
    const timeout = this.#options.clock.sleep(Math.max(0, waitMs), stop.signal);
    const result = await Promise.race([step, timeout.then(() => TIMED_OUT)]);
    stop.abort();
    return result as T | typeof TIMED_OUT;
  }

  #refuse(cause: NotRunCause): Answer {
    const isFull = cause === "journal_full";
    const retryAfterMs = isFull
      ? FULL_RETRY_AFTER_MS
      : this.#health.retryAfterMs;
    const positiveMs = Math.max(1, retryAfterMs);
    return err({ kind: "not_run", cause, retryAfterMs: positiveMs });
  }

  get #isBusy(): boolean {
    if (this.#acquirer.isBusy) return true;
    return [...this.#shards.values()].some((shard) => shard.ownerState);
  }

  #shardState(shard: Shard): ShardState {
    const { ownership, ownerState } = shard;
    const { address } = this.#options;
    const isForeign = ownership.kind === "foreign";
    const head = isForeign ? ownership.head : ownerState?.head;
    return {
      ...shard.id,
      ownership: ownership.kind,
      ownerAddress: isForeign ? ownership.head.address : address,
      epoch: head?.epoch ?? 0,
      keyCount: shard.entries.size,
      segmentCount: shard.segments.length,
      waitingCount: shard.queue.length,
      quarantineMs: shard.quarantineMs(this.#options.clock.nowMs()),
    };
  }
}

function isUndecided(entry: ClaimEntry): boolean {
  return entry.phase === "waiting";
}

function matches(entry: ClaimEntry, request: ClaimRequest): boolean {
  return Buffer.compare(entry.fingerprint, request.fingerprint) === 0;
}
