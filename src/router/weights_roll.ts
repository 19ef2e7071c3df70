/**
 * Rolls out the weights that the operator publishes. One entry at a time, the holder of a lease,
 * orders each engine with older weights to load the new ones. An engine is held back (gets no new
 * requests) shortly before its order, so that few requests reach it while it loads.
 */
import {
  CALL_TIMEOUT_MS,
  type EngineCalls,
  EngineOrders,
  isOutdated,
} from "./engine_orders.ts";
import type { Fleet } from "./fleet.ts";
import {
  PublishTimesRecord,
  type PublishTimesRecordOptions,
} from "./publish_times_record.ts";
import { OrderRecords, type OrderRecordsOptions } from "./order_records.ts";
import { RollLease, type RollLeaseOptions } from "./roll_lease.ts";
import {
  computeCapacity,
  countUrgent,
  INITIAL_LOAD_MS,
  maxConcurrentLoads,
  maxHeldBack,
} from "./roll_pace.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Interval of checks for engines that need new weights. */
const POLL_INTERVAL_MS = 50;
/** Maximum wait for runs that can't continue on another engine; long ones are moved meanwhile. */
const MAX_DRAIN_MS = 1000;
/** Time in which peers learn that an engine is held back. */
const PEER_NOTICE_MS = 110;
/** Delay before an engine that could not be ordered is retried; shorter if it is overdue. */
const RETRY_MS = 700;
const OVERDUE_RETRY_MS = 100;
/** Duration of one hold-back, which is renewed while the engine changes its weights. */
const HOLD_BACK_MS = 1000;
/** Weight of the newest sample in the moving average of load times. */
const SAMPLE_WEIGHT = 0.2;

/** Dependencies of a {@link WeightsRoll}. */
export interface WeightsRollOptions
  extends RollLeaseOptions, OrderRecordsOptions, PublishTimesRecordOptions {
  fleet: Fleet;
  calls: EngineCalls;
  /** Services whose servers are engines. */
  engineServices(): string[];
  /** Versions that the operator published. */
  wanted: WantedVersions;
  /** Called when a server is seen with newer weights, so that other entries can be notified. */
  onWeightsSeen(server: Server, model: string, version: number): void;
}

/** An engine that is held back to change its weights. */
interface EngineChange {
  server: Server;
  /** Whether the engine had runs when it was chosen. */
  isBusy: boolean;
  /**
   * Whether the limits are exceeded for this engine, since some would be ordered too late
   * otherwise.
   */
  isUrgent: boolean;
}

/** Orders engines to load new weights while this entry holds the lease. */
export class WeightsRoll {
  readonly #options: WeightsRollOptions;
  /** Engines that are held back to change their weights, by id. */
  readonly #heldBack = new Map<string, EngineChange>();
  /** Ids of engines that change after those that are held back now. */
  #upcoming = new Set<string>();
  readonly #retryAtMs = new Map<string, number>();
  readonly #lease: RollLease;
  readonly #orders: EngineOrders;
  readonly #records: OrderRecords;
  readonly #publishTimes: PublishTimesRecord;
  /** Mean time from an order to loaded weights. */
  #loadMs = INITIAL_LOAD_MS;

  private constructor(options: WeightsRollOptions) {
    this.#options = options;
    this.#lease = RollLease.create(options);
    this.#records = OrderRecords.create(options);
    this.#publishTimes = PublishTimesRecord.create(options);
    this.#orders = EngineOrders.create({
      ...options,
      records: this.#records,
      lease: () => this.#lease.current,
      onFenced: () => this.#lease.giveUp(),
    });
  }

  /**
   * @param options Lease, servers and published versions.
   * @returns A roll that has not started.
   */
  static create(options: WeightsRollOptions): WeightsRoll {
    return new WeightsRoll(options);
  }

  /** Ids of engines to which no entry should send new requests. */
  heldBack(): string[] {
    return [...this.#heldBack.keys()];
  }

  /**
   * Ids of engines that change their weights next. They should get no requests with long answers:
   * an order waits for the longest run, so the engine would be out of use longer than a load takes.
   */
  changingNext(): string[] {
    return [...this.#upcoming];
  }

  /** Whether this entry holds the lease. */
  get holdsLease(): boolean {
    return this.#lease.isHeld;
  }

  /** Whether this entry still has engines to order, as the holder of the lease. */
  get busy(): boolean {
    if (!this.holdsLease) return false;
    if (this.#heldBack.size > 0) return true;
    const { fleet, engineServices, wanted } = this.#options;
    return engineServices().some((service) =>
      fleet.open(service).some((server) => isOutdated(server, wanted.all()))
    );
  }

  /** Stops acquiring the lease; a lease that is held is kept until {@link WeightsRoll.run} ends. */
  stopAcquiringLease(): void {
    this.#lease.stopAcquiring();
  }

  /** @param signal Ends the work and releases the lease. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(POLL_INTERVAL_MS, signal);
      const { held } = this.#lease;
      if (held) {
        void this.#publishTimes.update(held);
        void this.#lease.settleEra();
        this.#startChanges(signal);
      } else {
        this.#upcoming.clear();
        await this.#lease.tryAcquire(signal);
      }
    }
    await this.#lease.giveUp();
  }

  #startChanges(signal: AbortSignal): void {
    const nowMs = this.#options.clock.nowMs();
    this.#renewHoldBacks(nowMs);
    // The lease must last until the orders are sent, or engines would be held back in vain.
    if (!this.#lease.allowsOrdersFor(PEER_NOTICE_MS + CALL_TIMEOUT_MS)) return;
    const excluded = this.#records.orderedByOthers();
    const next = new Set<string>();
    for (const service of this.#options.engineServices()) {
      for (const change of this.#chooseChanges(service, { nowMs, excluded })) {
        void this.#changeEngine(change, signal);
      }
      for (const server of this.#findNext(service, nowMs)) next.add(server.id);
    }
    this.#upcoming = next;
    this.#markUpcoming(nowMs);
  }

  /** Chooses the engines that change next; engines chosen before come first. */
  #findNext(service: string, nowMs: number): Server[] {
    const { fleet, wanted } = this.#options;
    const servers = fleet.open(service);
    const outdated = servers.filter((server) =>
      isOutdated(server, wanted.all()) && !this.#heldBack.has(server.id) &&
      !server.health.isDown
    );
    outdated.sort((a, b) =>
      Number(this.#upcoming.has(b.id)) - Number(this.#upcoming.has(a.id)) ||
      this.#compare(a, b, { nowMs })
    );
    return outdated.slice(0, maxHeldBack(servers.length));
  }

  #markUpcoming(nowMs: number): void {
    for (const id of this.#upcoming) {
      this.#options.fleet.get(id)?.markNextToChange(nowMs + HOLD_BACK_MS);
    }
  }

  /** Chooses the engines of a service to hold back now, except the excluded ones. */
  #chooseChanges(
    service: string,
    { nowMs, excluded }: { nowMs: number; excluded: ReadonlySet<string> },
  ): EngineChange[] {
    const { fleet, wanted } = this.#options;
    const servers = fleet.open(service);
    const outdated = servers.filter((server) =>
      isOutdated(server, wanted.all()) && this.#isDue(server, nowMs) &&
      !excluded.has(server.id)
    );
    outdated.sort((a, b) => this.#compare(a, b, { nowMs }));
    const heldBack = servers.flatMap(({ id }) => this.#heldBack.get(id) ?? []);
    const pace = {
      engineCount: servers.length,
      heldBackCount: heldBack.length,
      busyHeldBackCount: heldBack.filter(({ isBusy }) => isBusy).length,
      replacedMs: outdated.map((server) => this.#replacedForMs(server)),
      orderByMs: wanted.limits.orderByMs,
      loadMs: this.#loadMs,
    };
    const urgentCount = countUrgent(pace);
    const capacity = computeCapacity(pace);
    return outdated.flatMap((server, i) => {
      const change = {
        server,
        isBusy: server.load(nowMs).running > 0,
        isUrgent: i < urgentCount,
      };
      const fits = capacity.total > 0 && (!change.isBusy || capacity.busy > 0);
      if (!fits && !change.isUrgent) return [];
      capacity.total--;
      if (change.isBusy) capacity.busy--;
      return [change];
    });
  }

  /** Holds engines back for this entry's own requests; other entries learn {@link heldBack}. */
  #renewHoldBacks(nowMs: number): void {
    for (const { server } of this.#heldBack.values()) {
      server.holdBack(nowMs + HOLD_BACK_MS);
    }
  }

  /** Sorts by oldest weights, then by fewest runs, since changing an idle engine costs least. */
  #compare(a: Server, b: Server, { nowMs }: { nowMs: number }): number {
    for (const { model } of this.#options.wanted.all()) {
      const older = (a.weights(model) ?? 0) - (b.weights(model) ?? 0);
      if (older !== 0) return older;
    }
    return a.load(nowMs).running - b.load(nowMs).running;
  }

  /** Longest time for which any of the engine's weights have been replaced; 0 if none have. */
  #replacedForMs(server: Server): number {
    const { wanted } = this.#options;
    const agesMs = wanted.all().map(({ model, version }) =>
      wanted.replacedForMs(model, server.weights(model) ?? version)
    );
    return Math.max(0, ...agesMs);
  }

  #isDue(server: Server, nowMs: number): boolean {
    if (this.#heldBack.has(server.id) || server.health.isDown) return false;
    return nowMs >= (this.#retryAtMs.get(server.id) ?? 0);
  }

  /** Holds an engine back, orders its outdated weights, and waits until they are loaded. */
  async #changeEngine(
    change: EngineChange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, wanted } = this.#options;
    const { server } = change;
    const startMs = clock.nowMs();
    this.#heldBack.set(server.id, change);
    this.#renewHoldBacks(startMs);
    try {
      await this.#awaitDrained(change, signal);
      const orderMs = clock.nowMs();
      const left = server.load(orderMs).running;
      const replacedMs = this.#replacedForMs(server);
      for (const target of wanted.all()) {
        if (!isOutdated(server, [target])) continue;
        await this.#orders.load(server, target, { signal });
      }
      const loadedMs = clock.nowMs() - orderMs;
      if (!isOutdated(server, wanted.all())) this.#updateLoadTime(loadedMs);
      log.info({
        event: "engine_back",
        server: server.id,
        drainedMs: Math.round(orderMs - startMs),
        left,
        replacedMs: Math.round(replacedMs),
        loadedMs: Math.round(loadedMs),
        behind: isOutdated(server, wanted.all()),
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error({ event: "roll_failed", server: server.id, reason });
    } finally {
      this.#heldBack.delete(server.id);
      server.holdBack(-Infinity);
      const retryMs = this.#isOverdue(server) ? OVERDUE_RETRY_MS : RETRY_MS;
      this.#retryAtMs.set(server.id, clock.nowMs() + retryMs);
      const isDone = !isOutdated(server, wanted.all());
      // A restarted server is a new server, which may be ordered at once.
      if (isDone || !this.#options.fleet.has(server)) {
        this.#retryAtMs.delete(server.id);
      }
    }
  }

  /** Waits for runs that can't continue on another engine, and for a free slot to load. */
  async #awaitDrained(
    { server, isUrgent }: EngineChange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    const startMs = clock.nowMs();
    const maxLoads = maxConcurrentLoads(
      this.#options.fleet.open(server.entry.service).length,
    );
    if (!this.#isOverdue(server)) await clock.sleep(PEER_NOTICE_MS, signal);
    while (!signal.aborted && !this.#isOverdue(server)) {
      const nowMs = clock.nowMs();
      // An engine that has restarted or left has no runs to wait for.
      const isFree = server.load(nowMs).bound === 0 ||
        !this.#options.fleet.has(server);
      const isDrained = isFree || nowMs - startMs >= MAX_DRAIN_MS;
      const hasRoom = isUrgent || this.#orders.inFlight < maxLoads;
      if (hasRoom && isDrained) return;
      await clock.sleep(POLL_INTERVAL_MS / 2, signal);
    }
  }

  #updateLoadTime(loadedMs: number): void {
    this.#loadMs += SAMPLE_WEIGHT * (loadedMs - this.#loadMs);
  }

  /**
   * Whether the engine must be ordered without waiting. Requests that it returns as not run are
   * sent to other engines.
   */
  #isOverdue(server: Server): boolean {
    const { orderByMs } = this.#options.wanted.limits;
    return this.#replacedForMs(server) >= orderByMs;
  }
}
