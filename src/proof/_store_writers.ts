/** The operator and the servers of a soak, which write to the store, and again what it has lost. */
import { setTimeout as sleep } from "node:timers/promises";
import { SERVERS_PREFIX, type StandinPlatformStore } from "../standin/mod.ts";

/** Time within which a writer has written again what the store has lost. */
const REWRITE_MS = 1800;
/** Interval at which a server writes its registration. */
const HEARTBEAT_MS = 1200;

/** A write that the store has acknowledged. */
export interface StoreAck {
  key: string;
  value: unknown;
  /** Era of the store that has acknowledged it. */
  era: number;
  atMs: number;
}

/** Settings of {@link StoreWriters}. */
export interface StoreWritersOptions {
  store: StandinPlatformStore;
  random: () => number;
  /** Whether the writer of a key is alive. */
  isAlive(key: string): boolean;
  onAck(ack: StoreAck): void;
}

/** How the store goes back to a copy. */
export interface StoreRestore {
  /** Age of the copy. */
  copyAgeMs: number;
  /** Writes of servers since the copy, beside the usual ones. */
  lostWrites: number;
  /** Time without a store. */
  awayMs: number;
}

/** Writes for the operator and the servers. */
export class StoreWriters {
  readonly #options: StoreWritersOptions;
  /** Newest value of each key; undefined: deleted. */
  readonly #values = new Map<string, unknown>();
  readonly #closed = new AbortController();
  /** Resolves when the store is back. */
  #back: Promise<void> = Promise.resolve();
  #isBeating = false;

  private constructor(options: StoreWritersOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, and who is told of its answers.
   * @returns Writers that have written nothing.
   */
  static create(options: StoreWritersOptions): StoreWriters {
    return new StoreWriters(options);
  }

  /**
   * @param key Key to write.
   * @param value Value, stored as JSON; undefined: the key is deleted.
   * @returns Resolves when the store has acknowledged it, or a newer write of the key has begun.
   */
  async write(key: string, value: unknown): Promise<void> {
    this.#values.set(key, value);
    await this.#writeNewest(key, value);
  }

  /** Lets the servers write their registrations again and again. */
  startHeartbeats(): void {
    if (this.#isBeating) return;
    this.#isBeating = true;
    void this.#beat();
  }

  /**
   * Makes a copy of the store, and later lets the store come back from it.
   *
   * @param restore Age of the copy, and what is lost.
   * @param duringOutage Called with what happens from the loss of the store until it is back.
   */
  async restore(
    { copyAgeMs, lostWrites, awayMs }: StoreRestore,
    duringOutage: (body: () => Promise<void>) => Promise<void>,
  ): Promise<void> {
    const { store } = this.#options;
    const copy = store.copy();
    for (let i = 0; i < lostWrites; i++) await this.#writeSomeRegistration();
    await sleep(copyAgeMs);
    const before = this.#back;
    this.#back = before.then(() =>
      duringOutage(() => store.restore(copy, { awayMs }))
    );
    await this.#back;
    if (!this.#closed.signal.aborted) this.#writeLostAgain();
  }

  /** Stops writing. */
  close(): void {
    this.#closed.abort();
  }

  async #writeNewest(key: string, value: unknown): Promise<void> {
    const { store, onAck } = this.#options;
    await this.#untilBack();
    if (this.#closed.signal.aborted || this.#values.get(key) !== value) return;
    const era = store.store.era;
    await (value === undefined ? store.delete(key) : store.put(key, value));
    onAck({ key, value, era, atMs: performance.now() });
  }

  async #untilBack(): Promise<void> {
    const back = this.#back;
    await back;
    if (back !== this.#back) await this.#untilBack();
  }

  #writeLostAgain(): void {
    const { store, random } = this.#options;
    for (const [key, value] of this.#values) {
      const stored = store.store.table.get(key)?.value;
      const text = value === undefined ? undefined : JSON.stringify(value);
      const storedText = stored && new TextDecoder().decode(stored);
      if (text === storedText) continue;
      void this.#writeAgain(key, random() * REWRITE_MS);
    }
  }

  async #writeAgain(key: string, afterMs: number): Promise<void> {
    await sleep(afterMs);
    const value = this.#values.get(key);
    if (value !== undefined && !this.#options.isAlive(key)) return;
    await this.#writeNewest(key, value);
  }

  async #beat(): Promise<void> {
    const { signal } = this.#closed;
    while (!signal.aborted) {
      const keys = this.#registrationKeys();
      for (const key of keys) {
        await sleep(HEARTBEAT_MS / keys.length);
        await this.#writeRegistration(key);
      }
      if (keys.length === 0) await sleep(HEARTBEAT_MS);
    }
  }

  async #writeSomeRegistration(): Promise<void> {
    const keys = this.#registrationKeys();
    const key = keys[Math.floor(this.#options.random() * keys.length)];
    if (key !== undefined) await this.#writeRegistration(key);
  }

  async #writeRegistration(key: string): Promise<void> {
    const value = this.#values.get(key);
    if (value === undefined || !this.#options.isAlive(key)) return;
    await this.#writeNewest(key, value);
  }

  #registrationKeys(): string[] {
    return [...this.#values.keys()].filter((key) =>
      key.startsWith(SERVERS_PREFIX) && this.#values.get(key) !== undefined
    );
  }
}
