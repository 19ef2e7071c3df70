/** Keeps a branch set up to date from the key-value service, by a listing followed by a watch. */
import { positionAt } from "../store/position.ts";
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore, StoreFailure, WatchStep } from "../store/store.ts";
import type { BranchSet } from "./branch_set.ts";
import type { Freshness } from "./freshness.ts";
import { teamOfKey, TEAMS_PREFIX } from "./stored_branch.ts";

/** Team branches hold bare revisions: their store names no era. */
const NO_ERA = 0;

/** Settings of {@link StoreFollower}. */
export interface StoreFollowerOptions {
  store: KeyValueStore;
  branches: BranchSet;
  freshness: Freshness;
  clock: Clock;
  log: Logger;
  /** Returns a number from 0 to 1; used for jitter. */
  random: () => number;
  /** Maximum delay of the first call, so that processes started together don't read at once. */
  startJitterMs: number;
  /** Called after each successful answer or watch step of the store. */
  onAnswer: () => void;
}

/** Numbers of calls and failures since the start. */
export interface FollowerCounters {
  lists: number;
  watches: number;
  failures: number;
}

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5000;

/** Replicates the team branches of the store into a branch set. */
export class StoreFollower {
  readonly counters: FollowerCounters = { lists: 0, watches: 0, failures: 0 };
  readonly #options: StoreFollowerOptions;
  #consecutiveFailures = 0;
  #relistRequired = false;

  private constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, the branch set, and the settings of delays.
   * @returns A follower that makes no calls before {@link run}.
   */
  static create(options: StoreFollowerOptions): StoreFollower {
    return new StoreFollower(options);
  }

  /** Whether the store has failed since its last answer. */
  get failing(): boolean {
    return this.#consecutiveFailures > 0;
  }

  /**
   * Follows the store until the signal is aborted, and retries failures with exponential backoff.
   *
   * @param signal Stops the follower.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, startJitterMs } = this.#options;
    await clock.sleep(random() * startJitterMs, signal);
    while (!signal.aborted) {
      const failure = await this.#followOnce(signal);
      if (signal.aborted) return;
      this.#recordFailure(failure);
      await clock.sleep(this.#backoffMs(), signal);
    }
  }

  /**
   * Lists the branches if necessary, then watches them.
   *
   * @returns The failure that ended the listing or the watch.
   */
  async #followOnce(signal: AbortSignal): Promise<StoreFailure> {
    if (this.#relistRequired || this.#options.branches.completeTo === 0n) {
      const failure = await this.#list();
      if (failure) return failure;
    }
    return await this.#watch(signal);
  }

  /** Lists all branches. A stale listing reverts nothing: outdated versions are not applied. */
  async #list(): Promise<StoreFailure | undefined> {
    const { store, branches, clock, log } = this.#options;
    const askedAtMs = clock.nowMs();
    this.counters.lists++;
    const listing = await store.list(TEAMS_PREFIX);
    if (listing.isErr) return listing.error;
    const unapplied = branches.applyListing(listing.value);
    for (const { team, revision, failure } of unapplied) {
      log.error(
        { team, revision: String(revision), failure },
        "cannot read branch; its last readable version stays in effect",
      );
    }
    this.#relistRequired = false;
    this.#recordAnswer(askedAtMs);
  }

  async #watch(signal: AbortSignal): Promise<StoreFailure> {
    const { store, branches, clock } = this.#options;
    this.counters.watches++;
    const from = positionAt(NO_ERA, branches.completeTo + 1n);
    for await (const step of store.watch(TEAMS_PREFIX, from, signal)) {
      if (step.isErr) return step.error;
      this.#handleWatchStep(step.value);
      this.#recordAnswer(clock.nowMs());
    }
    return { kind: "unavailable", message: "The watch ended" };
  }

  #handleWatchStep(step: WatchStep): void {
    const { branches } = this.#options;
    switch (step.kind) {
      case "put": {
        const { key, value, modPosition } = step.entry;
        const { revision } = modPosition;
        this.#applyVersion(teamOfKey(key), revision, value);
        // More events of the same revision may follow, so only the previous one is complete.
        return branches.markCompleteTo(revision - 1n);
      }
      case "delete":
        this.#applyVersion(
          teamOfKey(step.key),
          step.position.revision,
          new Uint8Array(),
        );
        return branches.markCompleteTo(step.position.revision - 1n);
      case "progress":
        return branches.markCompleteTo(step.position.revision);
    }
  }

  #applyVersion(team: string, revision: bigint, value: Uint8Array): void {
    const { branches, log } = this.#options;
    const applied = branches.apply({
      team,
      revision,
      json: Buffer.from(value),
    });
    if (applied.isOk || applied.error.kind === "older") return;
    const failure = applied.error;
    log.error(
      { team, revision: String(revision), failure },
      "cannot read branch; its last readable version stays in effect",
    );
  }

  #recordAnswer(atMs: number): void {
    const { freshness, onAnswer } = this.#options;
    this.#consecutiveFailures = 0;
    freshness.recordConfirmation(atMs);
    onAnswer();
  }

  #recordFailure(failure: StoreFailure): void {
    this.#consecutiveFailures++;
    this.counters.failures++;
    if (failure.kind === "compacted") this.#relistRequired = true;
    if (this.#consecutiveFailures > 1) return;
    const { kind } = failure;
    this.#options.log.warn({ kind }, "lost the key-value service");
  }

  #backoffMs(): number {
    const doublings = Math.min(this.#consecutiveFailures - 1, 10);
    const ceilingMs = Math.min(
      INITIAL_BACKOFF_MS * 2 ** doublings,
      MAX_BACKOFF_MS,
    );
    return ceilingMs * (0.5 + this.#options.random() / 2);
  }
}
