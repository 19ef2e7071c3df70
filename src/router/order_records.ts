/**
 * Records in the platform's store which engines a holder of the roll's lease has recently ordered.
 * Orders of two different holders to one engine must be a minimum time apart, and a new holder
 * can't ask the previous one. Without records it would have to wait that time for every engine. A
 * record is written before its order, under a store lease that expires when another holder may
 * order the engine again, so no clocks are compared.
 */
import type { Clock } from "../base/mod.ts";
import { type FencedLease, readJson } from "../lease/mod.ts";
import type {
  KeyValueEntry,
  KeyValueStore,
  StoreLease,
} from "../store/store.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";

/** Key prefix of the records; the holder's id follows. */
export const ORDER_RECORD_PREFIX = "cicadahitch/ordered/";
/** Maximum time from renewing the lease of a record to sending its orders. */
const MAX_SEND_DELAY_MS = 1000;
/** Maximum time in which an order reaches its engine. */
const TRANSIT_MS = 500;

/** Dependencies of {@link OrderRecords}. */
export interface OrderRecordsOptions {
  store: KeyValueStore;
  clock: Clock;
  holderId: string;
  /** Minimum time between orders of two different holders to one engine. */
  turnMs: number;
  /**
   * Whether engines reject orders with an outdated fencing number. If not, each holder waits the
   * full `turnMs` before its first order, so records are not needed and not written, which saves an
   * event on every entry's watch.
   */
  enginesCheckFences: boolean;
  /** Records of all holders in the local replica of the store. */
  orderRecords(): KeyValueEntry[];
}

/** Engines that are recorded in one write. */
interface Batch {
  serverIds: string[];
  lease: FencedLease;
  written: Promise<boolean>;
}

/** Writes this holder's record and reads the records of other holders. */
export class OrderRecords {
  readonly #options: OrderRecordsOptions;
  /** Time at which this holder last recorded each engine, by id. */
  readonly #recordedAtMs = new Map<string, number>();
  #recordLease: StoreLease | undefined;
  /** Batch that accepts more engines until its write starts. */
  #batch: Batch | undefined;
  #lastWrite: Promise<unknown> = Promise.resolve();

  private constructor(options: OrderRecordsOptions) {
    this.#options = options;
  }

  /**
   * @param options Store and holder.
   * @returns Records of a holder that has not ordered any engine.
   */
  static create(options: OrderRecordsOptions): OrderRecords {
    return new OrderRecords(options);
  }

  /** Ids of engines that another holder may have ordered within the last `turnMs`. */
  orderedByOthers(): Set<string> {
    const own = keyOf(this.#options.holderId);
    const others = this.#options.orderRecords().filter(({ key }) =>
      key !== own
    );
    return new Set(others.flatMap(({ value }) => readServerIds(value)));
  }

  /**
   * Records that an engine is about to be ordered. Calls that arrive during a write are batched
   * into the next one, so that many orders need few calls to the store.
   *
   * @param serverId The engine.
   * @param lease The lease of the weights roll. The write fails if another entry has acquired it.
   * @returns Whether the order may be sent now.
   */
  record(serverId: string, lease: FencedLease): Promise<boolean> {
    if (!this.#options.enginesCheckFences) return Promise.resolve(true);
    if (this.#batch?.lease !== lease) this.#batch = this.#enqueue(lease);
    this.#batch.serverIds.push(serverId);
    return this.#batch.written;
  }

  #enqueue(lease: FencedLease): Batch {
    const serverIds: string[] = [];
    const written = this.#lastWrite.then(() => {
      if (this.#batch?.serverIds === serverIds) this.#batch = undefined;
      return this.#write(serverIds, lease);
    });
    this.#lastWrite = written;
    return { serverIds, lease, written };
  }

  async #write(serverIds: string[], lease: FencedLease): Promise<boolean> {
    const { store, clock, holderId } = this.#options;
    const startMs = clock.nowMs();
    const leaseId = await this.#ensureLease(lease.position.era);
    if (leaseId === undefined) return false;
    for (const id of serverIds) this.#recordedAtMs.set(id, startMs);
    const value = this.#encodeRecord(startMs);
    const committed = await store.commit(
      [{ key: ROLL_LEASE_KEY, modPosition: lease.position }],
      [{ kind: "put", key: keyOf(holderId), value, leaseId }],
    );
    const isWritten = committed.isOk && committed.value.kind === "committed";
    return isWritten && clock.nowMs() - startMs <= MAX_SEND_DELAY_MS;
  }

  /**
   * Renews or grants the store lease of the record; undefined if the store fails. An id of an earlier
   * era may name another lease.
   */
  async #ensureLease(era: number): Promise<bigint | undefined> {
    const { store } = this.#options;
    const known = this.#recordLease;
    if (known?.era === era) {
      const renewed = await store.renewLease(known.leaseId);
      if (renewed.isErr) return undefined;
      const { ttlMs, era: renewedEra } = renewed.value;
      if (renewedEra !== era) return undefined;
      if (ttlMs > 0) return known.leaseId;
    }
    const granted = await store.grantLease(this.#ttlMs);
    if (granted.isErr || granted.value.era !== era) return undefined;
    this.#recordLease = granted.value;
    this.#restoreOwnRecord();
    return granted.value.leaseId;
  }

  /** Keeps the engines that a previous process on this instance recorded in the next write. */
  #restoreOwnRecord(): void {
    const { holderId, orderRecords, clock } = this.#options;
    const own = orderRecords().find(({ key }) => key === keyOf(holderId));
    if (!own) return;
    for (const id of readServerIds(own.value)) {
      this.#recordedAtMs.set(id, clock.nowMs());
    }
  }

  #encodeRecord(nowMs: number): Uint8Array {
    for (const [id, atMs] of this.#recordedAtMs) {
      if (nowMs - atMs > this.#ttlMs) this.#recordedAtMs.delete(id);
    }
    const record = { serverIds: [...this.#recordedAtMs.keys()] };
    return new TextEncoder().encode(JSON.stringify(record));
  }

  get #ttlMs(): number {
    return this.#options.turnMs + MAX_SEND_DELAY_MS + TRANSIT_MS;
  }
}

function keyOf(holderId: string): string {
  return `${ORDER_RECORD_PREFIX}${holderId}`;
}

/** Returns no ids for a malformed value. */
function readServerIds(value: Uint8Array): string[] {
  const { serverIds } = readJson(value);
  if (!Array.isArray(serverIds)) return [];
  return serverIds.filter((id): id is string => typeof id === "string");
}
