/** Lists a prefix of the platform's store page by page. */
import { Result } from "true-myth";
import { isBefore, type StorePosition } from "../store/position.ts";
import type { KeyValueEntry, Listing, StoreFailure } from "../store/store.ts";
import { StorePath } from "./names.ts";
import { readPage, type UnreadableItem } from "./store_bodies.ts";
import type { StoreAnswer } from "./store_caller.ts";
import { tryParse } from "./store_failures.ts";

/** Dependencies of a {@link StoreLister}. */
export interface StoreListerOptions {
  /** Sends a read call. */
  read(path: string): Promise<Result<StoreAnswer, StoreFailure>>;
  /** Newest era of the store that is known. */
  newestEra(): number;
  /** Called for the unreadable items of each page. */
  onUnreadable(items: UnreadableItem[]): void;
  nowMs(): number;
  /**
   * Age of a listing's first page up to which the listing is continued after a failure. The caller
   * takes the position of the listing for that of a store that answered just now.
   */
  maxAgeMs: number;
}

/** The first pages of a listing. */
interface PartialListing {
  prefix: string;
  entries: KeyValueEntry[];
  /** Key after which the next page starts. */
  after: string;
  /** Position and arrival of the first page; undefined before. */
  first: { position: StorePosition; atMs: number } | undefined;
}

/**
 * Lists prefixes, and keeps the pages of the last listing that failed, so that the next one continues
 * from the failed page. Pages are no snapshot: a watch from the first page's position delivers what
 * was changed later.
 */
export class StoreLister {
  readonly #options: StoreListerOptions;
  #kept: PartialListing | undefined;

  private constructor(options: StoreListerOptions) {
    this.#options = options;
  }

  /**
   * @param options Calls and limits.
   * @returns A lister without pages.
   */
  static create(options: StoreListerOptions): StoreLister {
    return new StoreLister(options);
  }

  /**
   * Lists a prefix for a caller that watches from the listing's position, and continues the last
   * listing of this prefix if it failed recently.
   *
   * @param prefix Prefix of the keys.
   * @returns The entries and the position of the first page.
   */
  continue(prefix: string): Promise<Result<Listing, StoreFailure>> {
    return this.#listFrom(this.#takeKept(prefix) ?? startOf(prefix));
  }

  /**
   * Lists a prefix from its first page, for a caller that doesn't watch it.
   *
   * @param prefix Prefix of the keys.
   * @returns The entries and the position of the first page.
   */
  begin(prefix: string): Promise<Result<Listing, StoreFailure>> {
    return this.#listFrom(startOf(prefix));
  }

  async #listFrom(
    listing: PartialListing,
  ): Promise<Result<Listing, StoreFailure>> {
    const { read, newestEra, onUnreadable, nowMs } = this.#options;
    while (true) {
      const answer = await read(rangePath(listing));
      if (answer.isErr) return this.#keep(listing, answer.error);
      const { body, era } = answer.value;
      const page = tryParse(() => readPage(body, era));
      if (page.isErr) return this.#keep(listing, page.error);
      const { position, entries, nextAfter, unreadable } = page.value;
      listing.first ??= { position, atMs: nowMs() };
      const { first } = listing;
      // Pages of two eras are no listing at all.
      if (first.position.era !== era) {
        const mayHaveEffect = false;
        return Result.err({
          kind: "era_changed",
          era: newestEra(),
          mayHaveEffect,
        });
      }
      // A watch from the first page's position would miss changes that an older page lacks.
      if (isBefore(position, first.position)) return Result.err(OLDER_PAGE);
      onUnreadable(unreadable);
      listing.entries.push(...entries);
      if (nextAfter === undefined) {
        return Result.ok({
          entries: listing.entries,
          position: first.position,
        });
      }
      listing.after = nextAfter;
    }
  }

  #keep(
    listing: PartialListing,
    failure: StoreFailure,
  ): Result<Listing, StoreFailure> {
    if (listing.first) this.#kept = listing;
    return Result.err(failure);
  }

  #takeKept(prefix: string): PartialListing | undefined {
    const kept = this.#kept;
    if (kept?.prefix !== prefix || !kept.first) return undefined;
    this.#kept = undefined;
    const { maxAgeMs, newestEra, nowMs } = this.#options;
    const { position, atMs } = kept.first;
    const isCurrent = position.era === newestEra() &&
      nowMs() - atMs <= maxAgeMs;
    return isCurrent ? kept : undefined;
  }
}

const OLDER_PAGE: StoreFailure = {
  kind: "unavailable",
  message: "Page is older than the first one",
};

function startOf(prefix: string): PartialListing {
  return { prefix, entries: [], after: "", first: undefined };
}

function rangePath({ prefix, after }: PartialListing): string {
  const query = new URLSearchParams({ prefix });
  if (after !== "") query.set("after", after);
  return `${StorePath.range}?${query}`;
}
