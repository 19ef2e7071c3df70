/**
 * Brings the weights that the operator names to the engines: one entry at a time, under a lease,
 * orders each engine that lacks them. An engine is sent nothing new for a moment before its order,
 * so that few requests meet it while it loads.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { FencedLease } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import { EngineOrders, lacks } from "./engine_orders.ts";
import type { Fleet } from "./fleet.ts";
import type { WantedWeights } from "./model.ts";
import type { Server } from "./server.ts";

/** Key of the lease. */
export const ROLL_LEASE_KEY = "cicadahitch/weights-roll";
/** Time of the lease: a holder that is gone is followed within it and the turn's time. */
const LEASE_MS = 1500;
/** Beyond the time in which two holders may not take turns. */
const TURN_MARGIN_MS = 200;
/** Entries that see the lease free wait up to this long, so that one asks first. */
const ACQUIRE_SPREAD_MS = 60;
/** In a rolling restart the youngest process lives longest, so the older ones wait longer. */
const AGE_SPREAD_MS = 300;
const OLD_AGE_MS = 30_000;
/** Pause between looks at what is to be done. */
const LOOK_MS = 50;
/** Engines that load at once; with more of them each takes longer. */
const LOADS_AT_ONCE = 2;
/**
 * Share of a service's engines that get nothing new at once; the rest must carry the load. Mean
 * worth of eight played days with six engines 0.700, with 0.3 of them held back 0.685.
 */
const HELD_SHARE = 0.2;
/** Time for runs to end that can't go on elsewhere; long ones are moved meanwhile. */
const DRAIN_MS = 1000;
/** Time that peers need to hear that an engine is held back. */
const TOLD_MS = 110;
/** An engine that could not be ordered is left alone for this long. */
const RETRY_MS = 700;
/** An engine is held back this long at a time, renewed while it is out of use. */
const HOLD_MS = 1000;

/** What a {@link WeightsRoll} works with. */
export interface WeightsRollOptions {
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  holderId: string;
  /** Holders may not take turns within this time. */
  turnMs: number;
  random: () => number;
  /** Whether the store's copy shows the lease as held. */
  isLeaseHeld(): boolean;
  /** Services whose servers are engines. */
  engineServices(): string[];
  /** Weights that the operator wants. */
  wanted(): WantedWeights[];
  /** Weights were seen at a server; other entries are told. */
  onWeights(server: Server, model: string, version: number): void;
}

/** Orders weights while it holds the lease. */
export class WeightsRoll {
  readonly #options: WeightsRollOptions;
  /** Engines that are to change, by id. */
  readonly #out = new Map<string, Server>();
  readonly #retryAtMs = new Map<string, number>();
  #lease: FencedLease | undefined;
  readonly #startedAtMs: number;
  #notBeforeMs = 0;
  readonly #orders: EngineOrders;
  #isRetiring = false;

  private constructor(options: WeightsRollOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
    this.#orders = EngineOrders.create({
      ...options,
      lease: () => this.#lease,
      onFenced: () => this.#giveUpLease(),
    });
  }

  /**
   * @param options Lease, servers and what is wanted.
   * @returns A roll that has not begun.
   */
  static create(options: WeightsRollOptions): WeightsRoll {
    return new WeightsRoll(options);
  }

  /** Ids of engines that every entry should spare. */
  heldBack(): string[] {
    return [...this.#out.keys()];
  }

  /** Whether this entry holds the lease. */
  get holdsLease(): boolean {
    return this.#lease?.isHeldFor(0) ?? false;
  }

  /** Whether this entry still has engines to order, as the holder of the lease. */
  get busy(): boolean {
    if (!this.holdsLease) return false;
    if (this.#out.size > 0) return true;
    const { fleet, engineServices, wanted } = this.#options;
    return engineServices().some((service) =>
      fleet.open(service).some((server) => lacks(server, wanted()))
    );
  }

  /** Takes the lease no more; one that is held is kept to the end of the work. */
  retire(): void {
    this.#isRetiring = true;
  }

  /** @param signal Ends the work; the lease is given up. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      if (this.holdsLease) this.#look(signal);
      else if (!this.#isRetiring && !this.#options.isLeaseHeld()) {
        await this.#acquire(signal);
      }
    }
    await this.#lease?.release();
  }

  async #acquire(signal: AbortSignal): Promise<void> {
    const { clock, random, store, holderId, isLeaseHeld, turnMs, log } =
      this.#options;
    const age = Math.min(1, (clock.nowMs() - this.#startedAtMs) / OLD_AGE_MS);
    const waitMs = random() * ACQUIRE_SPREAD_MS + age * AGE_SPREAD_MS;
    await clock.sleep(waitMs, signal);
    if (signal.aborted || this.#isRetiring || isLeaseHeld()) return;
    const acquired = await FencedLease.acquire(store, {
      key: ROLL_LEASE_KEY,
      holderId,
      ttlMs: LEASE_MS,
      clock,
      random,
    });
    if (acquired.isErr) {
      await clock.sleep(LEASE_MS / 3, signal);
      return;
    }
    this.#lease = acquired.value;
    // The last holder may have given an order just before its lease ended.
    this.#notBeforeMs = clock.nowMs() + turnMs + TURN_MARGIN_MS;
    log.info({
      event: "roll_lease_taken",
      fencingNumber: String(acquired.value.fencingNumber),
    });
    void this.#keep(acquired.value, signal);
  }

  async #keep(lease: FencedLease, signal: AbortSignal): Promise<void> {
    await lease.keepRenewed(signal);
    if (signal.aborted) return;
    this.#options.log.warn({ event: "roll_lease_lost" });
    if (this.#lease === lease) this.#lease = undefined;
  }

  /** Another holder has a higher number; this one is not used again. */
  async #giveUpLease(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.release();
  }

  #look(signal: AbortSignal): void {
    const { clock, fleet, engineServices, wanted } = this.#options;
    const nowMs = clock.nowMs();
    this.#spare(nowMs);
    if (nowMs < this.#notBeforeMs) return;
    for (const service of engineServices()) {
      const servers = fleet.open(service);
      const room = Math.max(1, Math.round(servers.length * HELD_SHARE)) -
        servers.filter(({ id }) => this.#out.has(id)).length;
      const behind = servers.filter((server) =>
        lacks(server, wanted()) && this.#isDue(server, nowMs)
      );
      behind.sort((a, b) => this.#compare(a, b, { nowMs }));
      for (const server of behind.slice(0, Math.max(0, room))) {
        void this.#bring(server, signal);
      }
    }
  }

  /** Keeps this entry's own requests away; the others are told by {@link heldBack}. */
  #spare(nowMs: number): void {
    for (const server of this.#out.values()) server.holdBack(nowMs + HOLD_MS);
  }

  /** Oldest weights first; of these, the engine with little to do loses least. */
  #compare(a: Server, b: Server, { nowMs }: { nowMs: number }): number {
    for (const { model } of this.#options.wanted()) {
      const older = (a.weights(model) ?? 0) - (b.weights(model) ?? 0);
      if (older !== 0) return older;
    }
    return a.load(nowMs).running - b.load(nowMs).running;
  }

  #isDue(server: Server, nowMs: number): boolean {
    if (this.#out.has(server.id) || server.health.isDown) return false;
    return nowMs >= (this.#retryAtMs.get(server.id) ?? 0);
  }

  /** Takes an engine out of use, orders what it lacks, and waits until it has it. */
  async #bring(server: Server, signal: AbortSignal): Promise<void> {
    const { clock, log, wanted } = this.#options;
    const startMs = clock.nowMs();
    this.#out.set(server.id, server);
    this.#spare(startMs);
    try {
      await this.#awaitBound(server, signal);
      const orderMs = clock.nowMs();
      const left = server.load(orderMs).running;
      for (const target of wanted()) {
        if (!lacks(server, [target])) continue;
        await this.#orders.load(server, target, { signal });
      }
      log.info({
        event: "engine_back",
        server: server.id,
        drainedMs: Math.round(orderMs - startMs),
        left,
        loadedMs: Math.round(clock.nowMs() - orderMs),
        behind: lacks(server, wanted()),
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error({ event: "roll_failed", server: server.id, reason });
    } finally {
      this.#out.delete(server.id);
      server.holdBack(-Infinity);
      this.#retryAtMs.set(server.id, clock.nowMs() + RETRY_MS);
      const isDone = !lacks(server, wanted());
      // A server that has started again is another one, and is ordered at once.
      if (isDone || !this.#options.fleet.has(server)) {
        this.#retryAtMs.delete(server.id);
      }
    }
  }

  /** Waits for the runs that can't go on at another engine. */
  async #awaitBound(server: Server, signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    const startMs = clock.nowMs();
    await clock.sleep(TOLD_MS, signal);
    while (!signal.aborted) {
      const nowMs = clock.nowMs();
      // One that has started again, or left, has no runs to wait for.
      const isFree = server.load(nowMs).bound === 0 ||
        !this.#options.fleet.has(server);
      const isLate = nowMs - startMs >= DRAIN_MS;
      if (this.#orders.underWay < LOADS_AT_ONCE && (isFree || isLate)) return;
      await clock.sleep(LOOK_MS / 2, signal);
    }
  }
}
