/** Recent changes of the store, for peers whose replica lags a little. */
import { isAfter, isBefore, type StorePosition } from "../store/position.ts";
import type { KeyValueEntry } from "../store/store.ts";

/** Changes that are kept; a peer further behind gets all entries. */
const MAX_CHANGES = 2000;
/** Bounds the values in those changes: a configuration may have hundreds of kilobytes. */
const MAX_BYTES = 4 * 1024 * 1024;

/** A change of one key in the store. */
export type MirrorChange =
  | {
    kind: "put";
    entry: KeyValueEntry;
    /** The first listing of a restored store has it: the value may be older than the last one. */
    isFromCopy?: boolean;
  }
  | { kind: "delete"; key: string; position: StorePosition };

/** The latest changes, bounded by their number and by the size of their values. */
export class RecentChanges {
  readonly #changes: MirrorChange[] = [];
  #sizeBytes = 0;
  /** Changes after this position are kept; older ones are not. */
  #from: StorePosition;

  private constructor(from: StorePosition) {
    this.#from = from;
  }

  /**
   * @param from Position of the replica.
   * @returns An object without changes.
   */
  static create(from: StorePosition): RecentChanges {
    return new RecentChanges(from);
  }

  /** @param change A change after all that were added before. */
  add(change: MirrorChange): void {
    this.#changes.push(change);
    this.#sizeBytes += valueBytes(change);
    while (
      this.#changes.length > MAX_CHANGES || this.#sizeBytes > MAX_BYTES
    ) {
      const oldest = this.#changes.shift()!;
      this.#sizeBytes -= valueBytes(oldest);
      this.#from = positionOf(oldest);
    }
  }

  /** @param position Position up to which the single changes are unknown. */
  clear(position: StorePosition): void {
    this.#changes.length = 0;
    this.#sizeBytes = 0;
    this.#from = position;
  }

  /**
   * @param after A peer's position.
   * @returns The changes that the peer lacks; undefined if some of them are no longer kept.
   */
  since(after: StorePosition): MirrorChange[] | undefined {
    if (isBefore(after, this.#from)) return undefined;
    return this.#changes.filter((change) => isAfter(positionOf(change), after));
  }
}

function valueBytes(change: MirrorChange): number {
  return change.kind === "put" ? change.entry.value.length : 0;
}

function positionOf(change: MirrorChange): StorePosition {
  return change.kind === "put" ? change.entry.modPosition : change.position;
}
