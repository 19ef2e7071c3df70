/** The entries as this one sees them: which are alive, and which may still be serving. */
import { mixHash, textHash } from "../placement/rendezvous.ts";

/** An entry that sent nothing for this long is taken for dead; several gossip intervals. */
const ALIVE_TIMEOUT_MS = 2000;
/** What is known of an entry is dropped when it has sent nothing for this long. */
const FORGET_AFTER_MS = 600_000;
/** How long a computed share is used; each computation reads all registrations. */
const SHARE_TTL_MS = 100;

/** Options of {@link EntryMembers}. */
export interface EntryMembersOptions {
  ownAddress: string;
  /** IP addresses of the registered entries; one that crashed stays among them for a while. */
  registeredAddresses(): string[];
}

/** The entries that are responsible for a key. */
export interface Responsible {
  address: string;
  /** Undefined if there is only one entry. */
  next: string | undefined;
}

interface RankedEntry {
  address: string;
  score: number;
}

/** The entries, by IP address. */
export class EntryMembers {
  readonly #options: EntryMembersOptions;
  readonly #hashes = new Map<string, number>();
  readonly #heardAtMs = new Map<string, number>();
  /** Entries that announced that they stop. */
  readonly #stopping = new Set<string>();
  #isStopping = false;
  #heardShare = 1;
  #shareAtMs = -Infinity;

  private constructor(options: EntryMembersOptions) {
    this.#options = options;
  }

  /**
   * @param options The own address and the registrations.
   * @returns Members of which only this entry was heard.
   */
  static create(options: EntryMembersOptions): EntryMembers {
    return new EntryMembers(options);
  }

  /**
   * @param address An entry that sent a datagram.
   * @param nowMs The current time.
   */
  heard(address: string, nowMs: number): void {
    this.#heardAtMs.set(address, nowMs);
  }

  /**
   * @param address An entry.
   * @param isStopping Whether it announces that it stops.
   */
  setStopping(address: string, isStopping: boolean): void {
    if (isStopping) this.#stopping.add(address);
    else this.#stopping.delete(address);
  }

  /** This entry stops, so it takes on no more tasks for the others. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Whether this entry stops. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /**
   * Ranks the entries by rendezvous hashing: entries with the same view choose the same one, and one
   * that comes or goes changes the choice for its own part of the keys only.
   *
   * @param key What one entry is responsible for.
   * @param nowMs The current time.
   * @returns The responsible entry, and the one that follows if it ends.
   */
  responsibleFor(key: string, nowMs: number): Responsible {
    const { ownAddress } = this.#options;
    const keyHash = textHash(key);
    const candidates = this.#takingTasks(nowMs);
    if (!this.#isStopping) candidates.push(ownAddress);
    const [first, next] = this.#first(2, candidates, keyHash);
    return { address: first ?? ownAddress, next };
  }

  /**
   * @param key What other entries are responsible for.
   * @param nowMs The current time.
   * @param count How many are.
   * @returns The responsible ones of the other entries, best first.
   */
  othersFor(key: string, nowMs: number, count: number): string[] {
    return this.#first(count, this.#takingTasks(nowMs), textHash(key));
  }

  /**
   * @param key What other entries are or were responsible for.
   * @param nowMs The current time.
   * @param count How many to name.
   * @returns Those that may have been responsible: also ones that stop, or were not heard yet.
   */
  mayKnow(key: string, nowMs: number, count: number): string[] {
    const { ownAddress, registeredAddresses } = this.#options;
    const candidates = new Set(registeredAddresses());
    candidates.delete(ownAddress);
    for (const [address, atMs] of this.#heardAtMs) {
      if (nowMs - atMs < ALIVE_TIMEOUT_MS) candidates.add(address);
      else candidates.delete(address);
    }
    return this.#first(count, candidates, textHash(key));
  }

  /** Other registered entries, also those that have ended and ones that stop. */
  registeredOthers(): string[] {
    const { ownAddress, registeredAddresses } = this.#options;
    return registeredAddresses().filter((address) => address !== ownAddress);
  }

  /**
   * The part of the entries that this one hears. The others are gone, or on the other side of a network
   * partition, where they may share a limit among themselves.
   *
   * @param nowMs The current time.
   * @returns A number above 0, up to 1.
   */
  heardShare(nowMs: number): number {
    if (nowMs - this.#shareAtMs < SHARE_TTL_MS) return this.#heardShare;
    this.#shareAtMs = nowMs;
    const { ownAddress, registeredAddresses } = this.#options;
    const alive = new Set([ownAddress]);
    for (const [address, atMs] of this.#heardAtMs) {
      if (nowMs - atMs < ALIVE_TIMEOUT_MS) alive.add(address);
      else if (nowMs - atMs >= FORGET_AFTER_MS) this.#forget(address);
    }
    const silent = new Set(
      registeredAddresses().filter((address) =>
        !alive.has(address) && !this.#stopping.has(address)
      ),
    );
    this.#heardShare = alive.size / (alive.size + silent.size);
    return this.#heardShare;
  }

  /** The other entries that are alive and don't stop. */
  #takingTasks(nowMs: number): string[] {
    const addresses: string[] = [];
    for (const [address, atMs] of this.#heardAtMs) {
      const isAlive = nowMs - atMs < ALIVE_TIMEOUT_MS;
      if (isAlive && !this.#stopping.has(address)) addresses.push(address);
    }
    return addresses;
  }

  #forget(address: string): void {
    this.#heardAtMs.delete(address);
    this.#hashes.delete(address);
    this.#stopping.delete(address);
  }

  /** The entries with the highest scores. */
  #first(
    count: number,
    addresses: Iterable<string>,
    keyHash: number,
  ): string[] {
    const ranked: RankedEntry[] = [];
    for (const address of addresses) {
      const entry = { address, score: mixHash(this.#hashOf(address), keyHash) };
      const at = ranked.findIndex((other) => isBefore(entry, other));
      if (at < 0 && ranked.length === count) continue;
      ranked.splice(at < 0 ? ranked.length : at, 0, entry);
      ranked.length = Math.min(ranked.length, count);
    }
    return ranked.map(({ address }) => address);
  }

  #hashOf(address: string): number {
    let hash = this.#hashes.get(address);
    if (hash === undefined) this.#hashes.set(address, hash = textHash(address));
    return hash;
  }
}

function isBefore(entry: RankedEntry, other: RankedEntry): boolean {
  return entry.score > other.score ||
    (entry.score === other.score && entry.address < other.address);
}
