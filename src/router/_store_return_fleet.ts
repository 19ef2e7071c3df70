/** Entries that follow one store, register there and compete for the roll's lease, in one process. */
import { Lifecycle, systemClock as clock } from "../base/mod.ts";
import { seededRandom } from "../base/random.ts";
import type { StandinPlatformStore } from "../standin/mod.ts";
import { silentLog as log } from "./_kit.ts";
import type { StoreTraffic } from "./_store_traffic.ts";
import { closeServer, serveControl } from "./control.ts";
import { coalesceDelayMs, StoreFollower } from "./follower.ts";
import { gossipIntervalFor, jittered } from "./gossip_interval.ts";
import { StoreMirror } from "./mirror.ts";
import { Registration } from "./registration.ts";
import { relayAnswer, RelayClient } from "./relay.ts";
import { RollLease } from "./roll_lease.ts";
import { rollRecords } from "./roll_records.ts";
import { createStore } from "./store_client.ts";

/** Settings of a {@link StoreReturnFleet}. */
export interface StoreReturnFleetOptions {
  store: StandinPlatformStore;
  traffic: StoreTraffic;
  /** Number of entries, once all are started. */
  entryCount: number;
  heartbeatMs: number;
  seed: number;
}

interface Entry {
  address: string;
  mirror: StoreMirror;
  follower: StoreFollower;
  relay: RelayClient;
}

/** Port on which each entry answers other entries, at an address of its own. */
const CONTROL_PORT = 9_480;
/** Interval at which an entry tries to acquire the lease of the roll. */
const ACQUIRE_INTERVAL_MS = 50;

/** Entries of one store. */
export class StoreReturnFleet {
  readonly #options: StoreReturnFleetOptions;
  readonly #random: () => number;
  readonly #lifecycle = Lifecycle.create("fleet");
  readonly #entries: Entry[] = [];

  private constructor(options: StoreReturnFleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
  }

  /**
   * @param options Store, number of entries and timing.
   * @returns A fleet without entries.
   */
  static create(options: StoreReturnFleetOptions): StoreReturnFleet {
    return new StoreReturnFleet(options);
  }

  /**
   * @param key A key of the store.
   * @returns Number of entries whose replica lacks it.
   */
  lacking(key: string): number {
    return this.#entries.filter(({ mirror }) => !mirror.entry(key)).length;
  }

  /** Starts one more entry. */
  async start(): Promise<void> {
    const { heartbeatMs, entryCount, traffic } = this.#options;
    const index = this.#entries.length;
    const address = `127.1.${index >> 8}.${index & 255}`;
    const store = traffic.counted(this.#client(), index);
    const mirror = StoreMirror.create(clock);
    const coalesceMs = () => coalesceDelayMs(entryCount, heartbeatMs);
    const random = this.#random;
    const parts = { store, mirror, clock, log, random, coalesceMs };
    const follower = StoreFollower.create({ ...parts, heartbeatMs });
    const relay = RelayClient.create({ ...parts, controlPort: CONTROL_PORT });
    const registration = Registration.create({
      ...parts,
      instance: `entry-${index}`,
      ipAddress: address,
    });
    const lease = RollLease.create({
      ...parts,
      holderId: `entry-${index}`,
      turnMs: heartbeatMs,
      enginesCheckFences: true,
      ...rollRecords(mirror, follower.contact),
    });
    const control = await serveControl(
      { ipAddress: address, port: CONTROL_PORT },
      {
        relay: (after) => relayAnswer(mirror, after),
        expectedCaches: () => "",
        metrics: () => "",
        state: () => ({}),
      },
    );
    const lifecycle = this.#lifecycle.child(`entry-${index}`);
    lifecycle.own({ name: "control", close: () => closeServer(control) });
    lifecycle.own({ name: "store", close: () => store.close() });
    lifecycle.task("follower", (signal) => follower.run(signal));
    lifecycle.task("registration", (signal) => registration.run(signal));
    lifecycle.task("lease", (signal) => acquireLease(lease, signal));
    const entry = { address, mirror, follower, relay };
    this.#entries.push(entry);
    lifecycle.task("gossip", (signal) => this.#gossip(entry, signal));
  }

  /** Stops all entries. */
  stop(): Promise<void> {
    return this.#lifecycle.stop();
  }

  #client() {
    const { store, heartbeatMs } = this.#options;
    const [ipAddress, port] = store.address.split(":");
    const storeAddress = { ipAddress: ipAddress!, port: Number(port) };
    return createStore({ storeAddress, heartbeatMs }, log);
  }

  /** Tells all other entries the sync state, in place of datagrams. */
  async #gossip(entry: Entry, signal: AbortSignal): Promise<void> {
    const intervalMs = gossipIntervalFor(this.#options.entryCount);
    while (!signal.aborted) {
      await clock.sleep(jittered(intervalMs, this.#random), signal);
      const { syncState } = entry.mirror;
      for (const { address, follower, relay } of this.#entries) {
        if (address === entry.address) continue;
        follower.onPeerEra(syncState.position.era);
        void relay.onPeerSyncState(entry.address, syncState);
      }
    }
  }
}

async function acquireLease(
  lease: RollLease,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(ACQUIRE_INTERVAL_MS, signal);
    if (!lease.isHeld) await lease.tryAcquire(signal);
  }
  await lease.giveUp();
}
