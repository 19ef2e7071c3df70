/** Registers this entry in the store, and discovers the other entries there. */
import { isIPv4 } from "node:net";
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore, StoreLease } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";

/** Key prefix of entry registrations; the value is the entry's IP address. */
export const ENTRIES_PREFIX = "cicadahitch/entries/";
/** TTL of the registration's lease: the registration of a stopped entry expires within this time. */
const LEASE_TTL_MS = 60_000;
/** Interval between lease renewals. */
const RENEW_INTERVAL_MS = 20_000;
/** Delay before a failed registration is retried. */
const RETRY_DELAY_MS = 2000;

/** Options of a {@link Registration}. */
export interface RegistrationOptions {
  store: KeyValueStore;
  mirror: StoreMirror;
  clock: Clock;
  log: Logger;
  instance: string;
  ipAddress: string;
}

/** This entry's registration in the store. */
export class Registration {
  readonly #options: RegistrationOptions;

  private constructor(options: RegistrationOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, and the name and address to register.
   * @returns A registration that is not running yet.
   */
  static create(options: RegistrationOptions): Registration {
    return new Registration(options);
  }

  /** IP addresses of the registered entries. */
  ipAddresses(): string[] {
    const decoder = new TextDecoder();
    return this.#options.mirror.entries(ENTRIES_PREFIX)
      .map(({ value }) => decoder.decode(value))
      // Other writers may use the prefix, too; a host name would be resolved for each datagram.
      .filter(isIPv4);
  }

  /** Number of registered entries, this one included. */
  get count(): number {
    return Math.max(1, this.ipAddresses().length);
  }

  /** @param signal Stops the renewals; the registration then expires. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const lease = await this.#register();
      if (!lease) {
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      await this.#renewUntilLost(lease, signal);
    }
  }

  async #register(): Promise<StoreLease | undefined> {
    const { store, instance, ipAddress, log } = this.#options;
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (granted.isErr) return undefined;
    const { leaseId, era } = granted.value;
    const value = new TextEncoder().encode(ipAddress);
    const key = ENTRIES_PREFIX + instance;
    const written = await store.commit([], [
      { kind: "put", key, value, leaseId },
    ]);
    if (written.isErr || written.value.position.era !== era) return undefined;
    log.info({ event: "registered", ipAddress });
    return granted.value;
  }

  /** A restored store may lack the key, and may have given out the lease's id again. */
  async #renewUntilLost(
    { leaseId, era }: StoreLease,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, store } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(RENEW_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const renewed = await store.renewLease(leaseId);
      if (renewed.isErr) continue;
      const { ttlMs, era: currentEra } = renewed.value;
      if (ttlMs <= 0 || currentEra !== era) return;
    }
  }
}
