/**
 * Brings the weights that the operator names to the engines: one entry at a time, under a lease,
 * orders each engine that lacks them. An engine is sent nothing new for a moment before its order,
 * so that few requests meet it while it loads.
 */
import {
  CALL_MS,
  type EngineCalls,
  EngineOrders,
  lacks,
} from "./engine_orders.ts";
import type { Fleet } from "./fleet.ts";
import { NamedRecord, type NamedRecordOptions } from "./named_record.ts";
import { OrderRecords, type OrderRecordsOptions } from "./order_records.ts";
import { RollLease, type RollLeaseOptions } from "./roll_lease.ts";
import {
  countLate,
  heldAtOnce,
  LOAD_MS,
  loadsAtOnce,
  roomToChange,
} from "./roll_pace.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Pause between looks at what is to be done. */
const LOOK_MS = 50;
/** Time for runs to end that can't go on elsewhere; long ones are moved meanwhile. */
const DRAIN_MS = 1000;
/** Time that peers need to hear that an engine is held back. */
const TOLD_MS = 110;
/** An engine that could not be ordered is left alone for this long; a late one for a shorter time. */
const RETRY_MS = 700;
const LATE_RETRY_MS = 100;
/** An engine is held back this long at a time, renewed while it is out of use. */
const HOLD_MS = 1000;
/** Weight of the newest engine in the mean time that a load takes. */
const SAMPLE_WEIGHT = 0.2;

/** What a {@link WeightsRoll} works with. */
export interface WeightsRollOptions
  extends RollLeaseOptions, OrderRecordsOptions, NamedRecordOptions {
  fleet: Fleet;
  calls: EngineCalls;
  /** Services whose servers are engines. */
  engineServices(): string[];
  /** Weights that the operator wants. */
  wanted: WantedVersions;
  /** Weights were seen at a server; other entries are told. */
  onWeights(server: Server, model: string, version: number): void;
}

/** An engine that is taken out of use to change its weights. */
interface Chosen {
  server: Server;
  /** It has runs. */
  isBusy: boolean;
  /** If it waited for others, some would be ordered too late. */
  isLate: boolean;
}

/** Orders weights while it holds the lease. */
export class WeightsRoll {
  readonly #options: WeightsRollOptions;
  /** Engines that are to change, by id. */
  readonly #out = new Map<string, Chosen>();
  /** Those that are to change next, by id. */
  #next = new Set<string>();
  readonly #retryAtMs = new Map<string, number>();
  readonly #lease: RollLease;
  readonly #orders: EngineOrders;
  readonly #records: OrderRecords;
  readonly #named: NamedRecord;
  /** Mean time from an order to the weights. */
  #loadMs = LOAD_MS;

  private constructor(options: WeightsRollOptions) {
    this.#options = options;
    this.#lease = RollLease.create(options);
    this.#records = OrderRecords.create(options);
    this.#named = NamedRecord.create(options);
    this.#orders = EngineOrders.create({
      ...options,
      records: this.#records,
      lease: () => this.#lease.current,
      onFenced: () => this.#lease.giveUp(),
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

  /**
   * Ids of engines that change their weights next. Sent no more long answers, they are out of use
   * for little more than a load: an order waits for the longest run.
   */
  changingNext(): string[] {
    return [...this.#next];
  }

  /** Whether this entry holds the lease. */
  get holdsLease(): boolean {
    return this.#lease.isHeld;
  }

  /** Whether this entry still has engines to order, as the holder of the lease. */
  get busy(): boolean {
    if (!this.holdsLease) return false;
    if (this.#out.size > 0) return true;
    const { fleet, engineServices, wanted } = this.#options;
    return engineServices().some((service) =>
      fleet.open(service).some((server) => lacks(server, wanted.all()))
    );
  }

  /** Takes the lease no more; one that is held is kept to the end of the work. */
  retire(): void {
    this.#lease.retire();
  }

  /** @param signal Ends the work; the lease is given up. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      const { held } = this.#lease;
      if (held) {
        void this.#named.update(held);
        this.#look(signal);
      } else {
        this.#next.clear();
        await this.#lease.tryToTake(signal);
      }
    }
    await this.#lease.giveUp();
  }

  #look(signal: AbortSignal): void {
    const nowMs = this.#options.clock.nowMs();
    this.#spare(nowMs);
    // An engine that could not be ordered after all would be held back for nothing.
    if (!this.#lease.allowsOrdersFor(TOLD_MS + CALL_MS)) return;
    const spared = this.#records.orderedByOthers();
    const next = new Set<string>();
    for (const service of this.#options.engineServices()) {
      for (const chosen of this.#chooseNext(service, { nowMs, spared })) {
        void this.#bring(chosen, signal);
      }
      for (const server of this.#queueUp(service, nowMs)) next.add(server.id);
    }
    this.#next = next;
    this.#spareNext(nowMs);
  }

  /** Engines that follow those that are out; who is among them stays until its turn. */
  #queueUp(service: string, nowMs: number): Server[] {
    const { fleet, wanted } = this.#options;
    const servers = fleet.open(service);
    const behind = servers.filter((server) =>
      lacks(server, wanted.all()) && !this.#out.has(server.id) &&
      !server.health.isDown
    );
    behind.sort((a, b) =>
      Number(this.#next.has(b.id)) - Number(this.#next.has(a.id)) ||
      this.#compare(a, b, { nowMs })
    );
    return behind.slice(0, heldAtOnce(servers.length));
  }

  #spareNext(nowMs: number): void {
    for (const id of this.#next) {
      this.#options.fleet.get(id)?.changesNext(nowMs + HOLD_MS);
    }
  }

  /** Engines of a service that are to be taken out now, without those that are spared. */
  #chooseNext(
    service: string,
    { nowMs, spared }: { nowMs: number; spared: ReadonlySet<string> },
  ): Chosen[] {
    const { fleet, wanted } = this.#options;
    const servers = fleet.open(service);
    const behind = servers.filter((server) =>
      lacks(server, wanted.all()) && this.#isDue(server, nowMs) &&
      !spared.has(server.id)
    );
    behind.sort((a, b) => this.#compare(a, b, { nowMs }));
    const out = servers.flatMap(({ id }) => this.#out.get(id) ?? []);
    const pace = {
      engineCount: servers.length,
      outCount: out.length,
      busyOutCount: out.filter(({ isBusy }) => isBusy).length,
      replacedMs: behind.map((server) => this.#replacedForMs(server)),
      orderByMs: wanted.limits.orderByMs,
      loadMs: this.#loadMs,
    };
    const late = countLate(pace);
    const room = roomToChange(pace);
    return behind.flatMap((server, i) => {
      const chosen = {
        server,
        isBusy: server.load(nowMs).running > 0,
        isLate: i < late,
      };
      const fits = room.all > 0 && (!chosen.isBusy || room.busy > 0);
      if (!fits && !chosen.isLate) return [];
      room.all--;
      if (chosen.isBusy) room.busy--;
      return [chosen];
    });
  }

  /** Keeps this entry's own requests away; the others are told by {@link heldBack}. */
  #spare(nowMs: number): void {
    for (const { server } of this.#out.values()) {
      server.holdBack(nowMs + HOLD_MS);
    }
  }

  /** Oldest weights first; of these, the engine with little to do loses least. */
  #compare(a: Server, b: Server, { nowMs }: { nowMs: number }): number {
    for (const { model } of this.#options.wanted.all()) {
      const older = (a.weights(model) ?? 0) - (b.weights(model) ?? 0);
      if (older !== 0) return older;
    }
    return a.load(nowMs).running - b.load(nowMs).running;
  }

  /** Time since the first of its weights was replaced; 0 if none was. */
  #replacedForMs(server: Server): number {
    const { wanted } = this.#options;
    const agesMs = wanted.all().map(({ model, version }) =>
      wanted.replacedForMs(model, server.weights(model) ?? version)
    );
    return Math.max(0, ...agesMs);
  }

  #isDue(server: Server, nowMs: number): boolean {
    if (this.#out.has(server.id) || server.health.isDown) return false;
    return nowMs >= (this.#retryAtMs.get(server.id) ?? 0);
  }

  /** Takes an engine out of use, orders what it lacks, and waits until it has it. */
  async #bring(chosen: Chosen, signal: AbortSignal): Promise<void> {
    const { clock, log, wanted } = this.#options;
    const { server } = chosen;
    const startMs = clock.nowMs();
    this.#out.set(server.id, chosen);
    this.#spare(startMs);
    try {
      await this.#awaitBound(chosen, signal);
      const orderMs = clock.nowMs();
      const left = server.load(orderMs).running;
      const replacedMs = this.#replacedForMs(server);
      for (const target of wanted.all()) {
        if (!lacks(server, [target])) continue;
        await this.#orders.load(server, target, { signal });
      }
      const loadedMs = clock.nowMs() - orderMs;
      if (!lacks(server, wanted.all())) this.#learnPace(loadedMs);
      log.info({
        event: "engine_back",
        server: server.id,
        drainedMs: Math.round(orderMs - startMs),
        left,
        replacedMs: Math.round(replacedMs),
        loadedMs: Math.round(loadedMs),
        behind: lacks(server, wanted.all()),
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error({ event: "roll_failed", server: server.id, reason });
    } finally {
      this.#out.delete(server.id);
      server.holdBack(-Infinity);
      const retryMs = this.#isOverdue(server) ? LATE_RETRY_MS : RETRY_MS;
      this.#retryAtMs.set(server.id, clock.nowMs() + retryMs);
      const isDone = !lacks(server, wanted.all());
      // A server that has started again is another one, and is ordered at once.
      if (isDone || !this.#options.fleet.has(server)) {
        this.#retryAtMs.delete(server.id);
      }
    }
  }

  /** Waits for the runs that can't go on at another engine, and for room to load. */
  async #awaitBound(
    { server, isLate }: Chosen,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    const startMs = clock.nowMs();
    const loads = loadsAtOnce(
      this.#options.fleet.open(server.entry.service).length,
    );
    if (!this.#isOverdue(server)) await clock.sleep(TOLD_MS, signal);
    while (!signal.aborted && !this.#isOverdue(server)) {
      const nowMs = clock.nowMs();
      // One that has started again, or left, has no runs to wait for.
      const isFree = server.load(nowMs).bound === 0 ||
        !this.#options.fleet.has(server);
      const isDrained = isFree || nowMs - startMs >= DRAIN_MS;
      const hasRoom = isLate || this.#orders.underWay < loads;
      if (hasRoom && isDrained) return;
      await clock.sleep(LOOK_MS / 2, signal);
    }
  }

  #learnPace(loadedMs: number): void {
    this.#loadMs += SAMPLE_WEIGHT * (loadedMs - this.#loadMs);
  }

  /** From now on it is ordered without a wait: what is sent back as not run goes elsewhere. */
  #isOverdue(server: Server): boolean {
    const { orderByMs } = this.#options.wanted.limits;
    return this.#replacedForMs(server) >= orderByMs;
  }
}
