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
    const ranked: RankedEntry[] = [];
    if (!this.#isStopping) this.#rank(ranked, ownAddress, keyHash);
    for (const [address, atMs] of this.#heardAtMs) {
      if (nowMs - atMs >= ALIVE_TIMEOUT_MS) continue;
      if (!this.#stopping.has(address)) this.#rank(ranked, address, keyHash);
    }
    const [first, second] = ranked;
    return { address: first?.address ?? ownAddress, next: second?.address };
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

  #forget(address: string): void {
    this.#heardAtMs.delete(address);
    this.#hashes.delete(address);
    this.#stopping.delete(address);
  }

  /** Inserts an entry into the two with the highest scores. */
  #rank(ranked: RankedEntry[], address: string, keyHash: number): void {
    let hash = this.#hashes.get(address);
    if (hash === undefined) this.#hashes.set(address, hash = textHash(address));
    const entry = { address, score: mixHash(hash, keyHash) };
    const at = ranked.findIndex((other) => isBefore(entry, other));
    ranked.splice(at < 0 ? ranked.length : at, 0, entry);
    ranked.length = Math.min(ranked.length, 2);
  }
}

function isBefore(entry: RankedEntry, other: RankedEntry): boolean {
  return entry.score > other.score ||
    (entry.score === other.score && entry.address < other.address);
}
