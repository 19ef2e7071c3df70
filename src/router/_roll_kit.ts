/** Fake engines and lease candidates in virtual time, for tests of the weights roll. */
import type { TestContext } from "node:test";
import { Result } from "true-myth";
import { ManualClock } from "../lease/manual_clock.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { prefixRange } from "../store/revision_table.ts";
import { registration, silentLog, testFleet } from "./_kit.ts";
import type { EngineCalls } from "./engine_orders.ts";
import type { Fleet } from "./fleet.ts";
import { WantedVersions } from "./wanted_weights.ts";
import { PUBLISH_TIMES_KEY } from "./publish_times_record.ts";
import { ORDER_RECORD_PREFIX } from "./order_records.ts";
import { LAST_ROLL_KEY, ROLL_LEASE_KEY } from "./roll_lease.ts";
import { WeightsRoll } from "./weights_roll.ts";

/** Time in which an engine loads weights once its runs have ended. */
const LOAD_MS = 760;
/** Minimum time between orders of two different lease holders to one engine. */
export const TURN_MS = 3000;
/** Time after a version is published from which no request may start on older versions. */
export const BOUND_MS = 10_000;

/** A weights order that an engine accepted. */
export interface AcceptedOrder {
  engine: string;
  atMs: number;
  holderId: string;
  fencingNumber: bigint;
}

/** An engine that answers reports and orders without latency. */
export class FakeEngine {
  readonly id: string;
  /** Time until the engine's runs have ended after it accepted an order. */
  runsMs = 0;
  /** Makes the engine lose its next order, as if it restarted with the same id. */
  dropsNextOrder = false;
  /** Until this time the engine answers no call. */
  silentUntilMs = -Infinity;
  readonly #clock: ManualClock;
  #version = 1;
  #loading: { version: number; readyAtMs: number } | undefined;
  #sequence = 0;

  constructor(id: string, clock: ManualClock) {
    this.id = id;
    this.#clock = clock;
  }

  /** Version of the loaded weights. */
  get version(): number {
    const loading = this.#loading;
    if (loading && this.#clock.nowMs() >= loading.readyAtMs) {
      this.#version = loading.version;
      this.#loading = undefined;
    }
    return this.#version;
  }

  get isSilent(): boolean {
    return this.#clock.nowMs() < this.silentUntilMs;
  }

  get isLoading(): boolean {
    return this.version !== undefined && this.#loading !== undefined;
  }

  get sequence(): number {
    return this.#sequence;
  }

  /** @param version Version to load. */
  accept(version: number): void {
    this.#sequence++;
    if (this.dropsNextOrder) {
      this.dropsNextOrder = false;
      this.#sequence = 0;
      return;
    }
    const readyAtMs = this.#clock.nowMs() + this.runsMs + LOAD_MS;
    this.#loading = { version, readyAtMs };
  }
}

/** A process that competes for the lease of the weights roll. */
export interface TestCandidate {
  roll: WeightsRoll;
  fleet: Fleet;
  /** Ends the process without revoking its lease, which then expires. */
  kill(): void;
  /** Shuts the process down gracefully, which revokes its lease. */
  stop(): Promise<void>;
}

/** Settings of a {@link RollWorld}. */
export interface RollWorldOptions {
  engineCount: number;
  enginesCheckFences?: boolean;
}

/** Engines, the store, and the versions that the operator published. */
export interface RollWorld {
  clock: ManualClock;
  store: MemoryStore;
  engines: FakeEngine[];
  wanted: WantedVersions;
  orders: AcceptedOrder[];
  /** Starts a process that competes for the lease. */
  startCandidate(holderId: string): TestCandidate;
}

/**
 * @param t The test; all processes are stopped when it ends.
 * @param options Number of engines, and whether they check fencing numbers.
 * @returns Engines that have loaded version 1 of the weights of model `m`.
 */
export function openRollWorld(
  t: TestContext,
  { engineCount, enginesCheckFences = true }: RollWorldOptions,
): RollWorld {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock });
  const wanted = WantedVersions.create({ clock, boundMs: BOUND_MS });
  const engines = Array.from(
    { length: engineCount },
    (_, i) => new FakeEngine(`e${i + 1}`, clock),
  );
  const orders: AcceptedOrder[] = [];
  const calls = createEngineCalls({ clock, engines, orders });
  const startCandidate = (holderId: string): TestCandidate => {
    const fleet = testFleet(clock);
    for (const { id } of engines) fleet.put(registration(id));
    const end = new AbortController();
    let isKilled = false;
    const roll = WeightsRoll.create({
      store: ignoreRevokesAfterKill(store, () => isKilled),
      clock,
      log: silentLog,
      fleet,
      calls,
      holderId,
      turnMs: TURN_MS,
      random: () => 0.5,
      enginesCheckFences,
      isLeaseHeld: () => store.table.get(ROLL_LEASE_KEY) !== undefined,
      knownEra: () => store.era,
      lastHolder: () => store.table.get(LAST_ROLL_KEY),
      orderRecords: () => store.table.list(prefixRange(ORDER_RECORD_PREFIX)),
      publishTimesRecord: () => store.table.get(PUBLISH_TIMES_KEY),
      engineServices: () => ["engines"],
      wanted,
      onWeightsSeen: () => {},
    });
    const ended = roll.run(end.signal);
    const stop = async () => {
      end.abort();
      await ended;
    };
    const kill = () => {
      isKilled = true;
      end.abort();
    };
    t.after(stop);
    return { roll, fleet, kill, stop };
  };
  return { clock, store, engines, wanted, orders, startCandidate };
}

/** Drops lease revocations of a killed process, so that its lease expires instead. */
function ignoreRevokesAfterKill(
  store: MemoryStore,
  isKilled: () => boolean,
): MemoryStore {
  return new Proxy(store, {
    get(target, name) {
      const value: unknown = Reflect.get(target, name);
      if (typeof value !== "function") return value;
      if (name === "revokeLease" && isKilled()) {
        return () => Promise.resolve(Result.ok(undefined));
      }
      return value.bind(target);
    },
  });
}

function createEngineCalls(
  { clock, engines, orders }: {
    clock: ManualClock;
    engines: FakeEngine[];
    orders: AcceptedOrder[];
  },
): EngineCalls {
  const find = (id: string) => engines.find((engine) => engine.id === id)!;
  const noAnswer = {
    kind: "no_answer",
    message: "Engine did not answer",
  } as const;
  return {
    fetchReport: async ({ id }, callMs) => {
      const engine = find(id);
      if (engine.isSilent) {
        await clock.sleep(callMs);
        return Result.err(noAnswer);
      }
      return Result.ok({
        weights: new Map([["m", engine.version]]),
        busy: engine.isLoading,
        orderSequence: engine.sequence,
        waiting: 0,
        running: 0,
      });
    },
    sendOrder: async ({ id }, order, { callMs }) => {
      const engine = find(id);
      if (engine.isSilent) {
        await clock.sleep(callMs);
        return Result.err(noAnswer);
      }
      if (order.orderSequence !== engine.sequence || engine.isLoading) {
        return Result.ok({ kind: "conflict" });
      }
      engine.accept(order.version);
      const { holderId, fencingNumber } = order;
      const atMs = clock.nowMs();
      orders.push({ engine: id, atMs, holderId, fencingNumber });
      return Result.ok({ kind: "accepted" });
    },
  };
}
