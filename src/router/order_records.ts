/**
 * Which engines a holder of the roll's lease has ordered lately, in the platform's store. Holders may
 * not take turns at one engine within a time, and a successor can't ask the one before: without a
 * record it would have to wait that time for every engine. A record is written before its order, under
 * a lease of the store that lasts for a turn, so that it is gone when the engine may be ordered by
 * another holder; nobody compares clocks.
 */
import type { Clock } from "../base/mod.ts";
import { type FencedLease, readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";

/** Prefix of the records; the holder's id follows. */
export const ORDER_RECORD_PREFIX = "cicadahitch/ordered/";
/** An order is sent within this time of the call that renews its record's lease. */
const FRESH_MS = 1000;
/** Time that an order may take to its engine. */
const TRANSIT_MS = 500;

/** What {@link OrderRecords} work with. */
export interface OrderRecordsOptions {
  store: KeyValueStore;
  clock: Clock;
  holderId: string;
  /** Holders may not take turns at one engine within this time. */
  turnMs: number;
  /**
   * Where engines don't, each holder waits a whole turn before its first order, and records, which
   * every entry's watch reports, would be written for nothing.
   */
  enginesCheckFences: boolean;
  /** Records of all holders, as the copy of the store has them. */
  orderRecords(): KeyValueEntry[];
}

/** Engines whose order waits for its record. */
interface Batch {
  serverIds: string[];
  lease: FencedLease;
  written: Promise<boolean>;
}

/** Writes this holder's record, and reads those of others. */
export class OrderRecords {
  readonly #options: OrderRecordsOptions;
  /** When this holder recorded an engine last. */
  readonly #recordedAtMs = new Map<string, number>();
  #leaseId: bigint | undefined;
  /** Joined until its write begins. */
  #next: Batch | undefined;
  #last: Promise<unknown> = Promise.resolve();

  private constructor(options: OrderRecordsOptions) {
    this.#options = options;
  }

  /**
   * @param options Store, and who orders.
   * @returns Records of a holder that has ordered nothing.
   */
  static create(options: OrderRecordsOptions): OrderRecords {
    return new OrderRecords(options);
  }

  /** Ids of engines that another holder may have ordered less than a turn ago. */
  orderedByOthers(): Set<string> {
    const own = keyOf(this.#options.holderId);
    const others = this.#options.orderRecords().filter(({ key }) =>
      key !== own
    );
    return new Set(others.flatMap(({ value }) => readServerIds(value)));
  }

  /**
   * Records that an engine is about to be ordered. Those that ask while a record is being written
   * share the next one, so that many orders take few calls.
   *
   * @param serverId The engine.
   * @param lease The roll's lease; another holder's makes the record fail.
   * @returns Whether the order may be sent now.
   */
  record(serverId: string, lease: FencedLease): Promise<boolean> {
    if (!this.#options.enginesCheckFences) return Promise.resolve(true);
    if (this.#next?.lease !== lease) this.#next = this.#enqueue(lease);
    this.#next.serverIds.push(serverId);
    return this.#next.written;
  }

  #enqueue(lease: FencedLease): Batch {
    const serverIds: string[] = [];
    const written = this.#last.then(() => {
      if (this.#next?.serverIds === serverIds) this.#next = undefined;
      return this.#write(serverIds, lease);
    });
    this.#last = written;
    return { serverIds, lease, written };
  }

  async #write(serverIds: string[], lease: FencedLease): Promise<boolean> {
    const { store, clock, holderId } = this.#options;
    const startMs = clock.nowMs();
    const leaseId = await this.#renew();
    if (leaseId === undefined) return false;
    for (const id of serverIds) this.#recordedAtMs.set(id, startMs);
    const value = this.#value(startMs);
    const committed = await store.commit(
      [{ key: ROLL_LEASE_KEY, modRevision: lease.fencingNumber }],
      [{ kind: "put", key: keyOf(holderId), value, leaseId }],
    );
    const isWritten = committed.isOk && committed.value.kind === "committed";
    return isWritten && clock.nowMs() - startMs <= FRESH_MS;
  }

  /** @returns The lease of the record, which lasts for a turn from now on, if the store answers. */
  async #renew(): Promise<bigint | undefined> {
    const { store } = this.#options;
    if (this.#leaseId !== undefined) {
      const renewed = await store.renewLease(this.#leaseId);
      if (renewed.isErr) return undefined;
      if (renewed.value.ttlMs > 0) return this.#leaseId;
    }
    const granted = await store.grantLease(this.#ttlMs);
    if (granted.isErr) return undefined;
    this.#leaseId = granted.value.leaseId;
    this.#adoptFormer();
    return this.#leaseId;
  }

  /** What a former process on this instance has recorded is written again, not lost. */
  #adoptFormer(): void {
    const { holderId, orderRecords, clock } = this.#options;
    const own = orderRecords().find(({ key }) => key === keyOf(holderId));
    if (!own) return;
    for (const id of readServerIds(own.value)) {
      this.#recordedAtMs.set(id, clock.nowMs());
    }
  }

  #value(nowMs: number): Uint8Array {
    for (const [id, atMs] of this.#recordedAtMs) {
      if (nowMs - atMs > this.#ttlMs) this.#recordedAtMs.delete(id);
    }
    const record = { serverIds: [...this.#recordedAtMs.keys()] };
    return new TextEncoder().encode(JSON.stringify(record));
  }

  get #ttlMs(): number {
    return this.#options.turnMs + FRESH_MS + TRANSIT_MS;
  }
}

function keyOf(holderId: string): string {
  return `${ORDER_RECORD_PREFIX}${holderId}`;
}

/** A value that another writer has spoilt names no engine. */
function readServerIds(value: Uint8Array): string[] {
  const { serverIds } = readJson(value);
  if (!Array.isArray(serverIds)) return [];
  return serverIds.filter((id): id is string => typeof id === "string");
}
