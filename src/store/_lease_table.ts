/** Leases of the in-memory store and their expiry. */
import type { Clock } from "../base/mod.ts";

interface LeaseState {
  ttlMs: number;
  expiresMs: number;
}

/** The leases that were granted at one time. */
export interface LeaseSnapshot {
  readonly ttlsMs: ReadonlyMap<bigint, number>;
  readonly nextLeaseId: bigint;
}

/** Settings of a {@link LeaseTable}. */
export interface LeaseTableOptions {
  clock: Clock;
  /** Ends the timers. */
  signal: AbortSignal;
  /** Called when a lease has expired or was revoked. */
  onEnd(leaseId: bigint): void;
}

/** Leases by id. */
export class LeaseTable {
  readonly #options: LeaseTableOptions;
  readonly #leases = new Map<bigint, LeaseState>();
  #nextLeaseId = 1n;

  private constructor(options: LeaseTableOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, signal and callback.
   * @returns A table without leases.
   */
  static create(options: LeaseTableOptions): LeaseTable {
    return new LeaseTable(options);
  }

  /**
   * @param ttlMs Time to live.
   * @returns Id of the new lease.
   */
  grant(ttlMs: number): bigint {
    const leaseId = this.#nextLeaseId++;
    this.#start(leaseId, ttlMs);
    return leaseId;
  }

  /**
   * @param leaseId Id of a lease.
   * @returns The lease's time to live; 0: it does not exist.
   */
  renew(leaseId: bigint): number {
    const lease = this.#leases.get(leaseId);
    if (!lease) return 0;
    lease.expiresMs = this.#options.clock.nowMs() + lease.ttlMs;
    return lease.ttlMs;
  }

  /**
   * @param leaseId Id of a lease.
   * @returns Whether the lease exists.
   */
  has(leaseId: bigint): boolean {
    return this.#leases.has(leaseId);
  }

  /** @param leaseId Id of a lease, which ends if it exists. */
  end(leaseId: bigint): void {
    if (this.#leases.delete(leaseId)) this.#options.onEnd(leaseId);
  }

  /** Ends the leases that were not renewed in time. */
  expire(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [leaseId, lease] of this.#leases) {
      if (lease.expiresMs <= nowMs) this.end(leaseId);
    }
  }

  /** @returns A copy of the leases. */
  snapshot(): LeaseSnapshot {
    const ttlsMs = new Map<bigint, number>();
    for (const [leaseId, { ttlMs }] of this.#leases) ttlsMs.set(leaseId, ttlMs);
    return { ttlsMs, nextLeaseId: this.#nextLeaseId };
  }

  /**
   * Goes back to earlier leases, which start again with their whole time to live. Ids of later ones
   * will be given out again.
   *
   * @param snapshot The leases to go back to.
   */
  restore(snapshot: LeaseSnapshot): void {
    this.#leases.clear();
    this.#nextLeaseId = snapshot.nextLeaseId;
    for (const [leaseId, ttlMs] of snapshot.ttlsMs) this.#start(leaseId, ttlMs);
  }

  #start(leaseId: bigint, ttlMs: number): void {
    const lease = { ttlMs, expiresMs: this.#options.clock.nowMs() + ttlMs };
    this.#leases.set(leaseId, lease);
    this.#scheduleExpiry(leaseId, lease);
  }

  #scheduleExpiry(leaseId: bigint, lease: LeaseState): void {
    const { clock, signal } = this.#options;
    const waitMs = Math.max(1, lease.expiresMs - clock.nowMs());
    void clock.sleep(waitMs, signal).then(() => {
      this.expire();
      // An id that was given out again has a timer of its own.
      if (this.#leases.get(leaseId) !== lease || signal.aborted) return;
      this.#scheduleExpiry(leaseId, lease);
    });
  }
}
