/** Registers this entry in the store, so that others find it, and finds the others. */
import { isIPv4 } from "node:net";
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";

/** Prefix of the keys of entries; the value is the IP number. */
export const ENTRIES_PREFIX = "cicadahitch/entries/";
/** Entries that are gone leave the store within this time. */
const LEASE_MS = 60_000;
/** Pause between renewals. */
const RENEW_MS = 20_000;
/** Pause after a call that failed. */
const RETRY_MS = 2000;

/** What a {@link Registration} works with. */
export interface RegistrationOptions {
  store: KeyValueStore;
  mirror: StoreMirror;
  clock: Clock;
  log: Logger;
  instance: string;
  ipAddress: string;
}

/** The registration of this entry. */
export class Registration {
  readonly #options: RegistrationOptions;

  private constructor(options: RegistrationOptions) {
    this.#options = options;
  }

  /**
   * @param options Store and what to register.
   * @returns A registration that has not begun.
   */
  static create(options: RegistrationOptions): Registration {
    return new Registration(options);
  }

  /** IP numbers of the entries that are registered. */
  ipAddresses(): string[] {
    const decoder = new TextDecoder();
    return this.#options.mirror.entries(ENTRIES_PREFIX)
      .map(({ value }) => decoder.decode(value))
      // Others may write there, too; a host name would be looked up at each datagram.
      .filter(isIPv4);
  }

  /** Entries that are registered, this one included. */
  get count(): number {
    return Math.max(1, this.ipAddresses().length);
  }

  /** @param signal Ends the renewals; the registration lapses. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const leaseId = await this.#register();
      if (leaseId === undefined) {
        await clock.sleep(RETRY_MS, signal);
        continue;
      }
      await this.#keep(leaseId, signal);
    }
  }

  async #register(): Promise<bigint | undefined> {
    const { store, instance, ipAddress, log } = this.#options;
    const granted = await store.grantLease(LEASE_MS);
    if (granted.isErr) return undefined;
    const { leaseId } = granted.value;
    const value = new TextEncoder().encode(ipAddress);
    const key = ENTRIES_PREFIX + instance;
    const written = await store.commit([], [
      { kind: "put", key, value, leaseId },
    ]);
    if (written.isErr) return undefined;
    log.info({ event: "registered", ipAddress });
    return leaseId;
  }

  async #keep(leaseId: bigint, signal: AbortSignal): Promise<void> {
    const { clock, store } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(RENEW_MS, signal);
      if (signal.aborted) return;
      const renewed = await store.renewLease(leaseId);
      if (renewed.isOk && renewed.value.ttlMs <= 0) return;
    }
  }
}
