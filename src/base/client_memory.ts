/**
 * Budget of the memory that clients make a process hold: connections, heads and bodies of requests.
 * Whatever is received is charged to an account. Once the budget is used up, the accounts that cost
 * most, by size and by time, are evicted; those of requests that may run already are not.
 */
import type { Clock } from "./clock.ts";

/** Part of the budget that is in use after an eviction, so that not each byte evicts another account. */
const SHARE_AFTER_EVICTION = 7 / 8;
/** Part of the budget that large requests which may run already can take. */
const LARGE_PINNED_SHARE = 1 / 2;
/** Requests up to this size are not large. */
const SMALL_BYTES = 16 * 1024;
/** Added to the age of an account, so that new accounts differ by their size. */
const MIN_AGE_MS = 100;

/** Settings of a {@link ClientMemory}. */
export interface ClientMemoryOptions {
  clock: Pick<Clock, "nowMs">;
  /** Most bytes that are held for all clients together. */
  maxBytes: number;
}

/** Memory held for one connection or request. */
export class MemoryAccount {
  readonly #onChange: (account: MemoryAccount, addedBytes: number) => void;
  /** Since when the memory is held. */
  sinceMs: number;
  /** Called once if the account is evicted; the owner drops what it holds. */
  onEvicted: () => void = () => {};
  /** Whether the owner can't drop what it holds now; asked before an eviction. */
  isBusy: () => boolean = () => false;
  #sizeBytes = 0;
  #isPinned = false;
  #isClosed = false;

  private constructor(
    sinceMs: number,
    onChange: (account: MemoryAccount, addedBytes: number) => void,
  ) {
    this.sinceMs = sinceMs;
    this.#onChange = onChange;
  }

  /**
   * @param sinceMs Since when the memory is held.
   * @param onChange Called after each change.
   * @returns An empty account.
   */
  static create(
    sinceMs: number,
    onChange: (account: MemoryAccount, addedBytes: number) => void,
  ): MemoryAccount {
    return new MemoryAccount(sinceMs, onChange);
  }

  /** Bytes that are held. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Whether the account belongs to a request that may run, and is never evicted. */
  get isPinned(): boolean {
    return this.#isPinned;
  }

  /** Whether the account was closed or evicted; nothing is charged to it any more. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** @param sizeBytes Bytes that are held now. This account or others may be evicted for it. */
  resize(sizeBytes: number): void {
    if (this.#isClosed) return;
    const addedBytes = sizeBytes - this.#sizeBytes;
    this.#sizeBytes = sizeBytes;
    this.#onChange(this, addedBytes);
  }

  /** Keeps the account from being evicted. */
  pin(): void {
    const { sizeBytes } = this;
    this.resize(0);
    this.#isPinned = true;
    this.resize(sizeBytes);
  }

  /** Frees the memory; further calls have no effect. */
  close(): void {
    this.resize(0);
    this.#isClosed = true;
  }

  /** Closes the account, and has its owner drop what it holds. */
  evict(): void {
    this.close();
    this.onEvicted();
  }
}

/** The accounts of all clients. */
export class ClientMemory {
  readonly #options: ClientMemoryOptions;
  /** Accounts that may be evicted. */
  readonly #evictable = new Set<MemoryAccount>();
  #totalBytes = 0;
  /** Bytes of pinned accounts that are large. */
  #largePinnedBytes = 0;
  #evictions = 0;

  private constructor(options: ClientMemoryOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and limit.
   * @returns A budget of which nothing is used.
   */
  static create(options: ClientMemoryOptions): ClientMemory {
    return new ClientMemory(options);
  }

  /** Most bytes that are held. */
  get maxBytes(): number {
    return this.#options.maxBytes;
  }

  /** Bytes that are held now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Time by the clock of the accounts. */
  get nowMs(): number {
    return this.#options.clock.nowMs();
  }

  /** @returns Use of the budget, and the number of evictions so far, for the state dump. */
  state(): { totalBytes: number; maxBytes: number; evictions: number } {
    const { totalBytes, maxBytes } = this;
    return { totalBytes, maxBytes, evictions: this.#evictions };
  }

  /** @returns An empty account, which its owner closes. */
  open(): MemoryAccount {
    return MemoryAccount.create(
      this.nowMs,
      (account, addedBytes) => this.#apply(account, addedBytes),
    );
  }

  /**
   * Pins the account of a request that is to run. Large requests leave part of the budget to others;
   * one of them is admitted in any case.
   *
   * @param account Account of a request that was received whole.
   * @returns Whether the request may run; if not, the account is unchanged.
   */
  admit(account: MemoryAccount): boolean {
    if (account.isClosed) return false;
    const maxLargeBytes = this.#options.maxBytes * LARGE_PINNED_SHARE;
    const largeBytes = this.#largePinnedBytes + account.sizeBytes;
    const isAdmitted = !isLarge(account.sizeBytes) ||
      this.#largePinnedBytes === 0 || largeBytes <= maxLargeBytes;
    if (isAdmitted) account.pin();
    return isAdmitted;
  }

  #apply(account: MemoryAccount, addedBytes: number): void {
    this.#totalBytes += addedBytes;
    const { sizeBytes } = account;
    if (account.isPinned) {
      const beforeBytes = sizeBytes - addedBytes;
      if (isLarge(beforeBytes)) this.#largePinnedBytes -= beforeBytes;
      if (isLarge(sizeBytes)) this.#largePinnedBytes += sizeBytes;
    } else if (sizeBytes > 0) this.#evictable.add(account);
    else this.#evictable.delete(account);
    if (this.#totalBytes > this.#options.maxBytes) this.#evict();
  }

  #evict(): void {
    const { nowMs } = this;
    const costOf = ({ sizeBytes, sinceMs }: MemoryAccount) =>
      sizeBytes * (nowMs - sinceMs + MIN_AGE_MS);
    const byCost = [...this.#evictable].sort((a, b) => costOf(b) - costOf(a));
    const keptBytes = this.#options.maxBytes * SHARE_AFTER_EVICTION;
    for (const account of byCost) {
      if (this.#totalBytes <= keptBytes) return;
      if (account.isClosed || account.isBusy()) continue;
      this.#evictions++;
      account.evict();
    }
  }
}

function isLarge(sizeBytes: number): boolean {
  return sizeBytes > SMALL_BYTES;
}
