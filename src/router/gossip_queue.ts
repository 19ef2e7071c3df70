/** Queue of items to gossip, and repetition of rows, because datagrams may be lost. */

/** Number of times an item is sent, unless its loss matters little. */
const SENDS_PER_ITEM = 3;
/** Maximum number of queued items; the oldest are dropped. */
const MAX_QUEUED = 256;
/** Maximum number of items per datagram. */
const MAX_PER_DATAGRAM = 16;

interface QueuedItem<T> {
  item: T;
  sendsLeft: number;
}

/** A queue of items to gossip. */
export class GossipQueue<T> {
  readonly #queue: QueuedItem<T>[] = [];

  private constructor() {}

  /** @returns An empty queue. */
  static create<T>(): GossipQueue<T> {
    return new GossipQueue();
  }

  /** Whether an item is still to be sent. */
  get hasItems(): boolean {
    return this.#queue.length > 0;
  }

  /**
   * @param item Item to send.
   * @param sends How often to send it.
   */
  add(item: T, sends = SENDS_PER_ITEM): void {
    this.#queue.push({ item, sendsLeft: sends });
    if (this.#queue.length > MAX_QUEUED) this.#queue.shift();
  }

  /** @returns The items of the next datagram; each counts as sent once more. */
  take(): T[] {
    const taken = this.#queue.splice(0, MAX_PER_DATAGRAM);
    for (const queued of taken) {
      queued.sendsLeft--;
      if (queued.sendsLeft > 0) this.#queue.push(queued);
    }
    return taken.map(({ item }) => item);
  }
}

/** Interval per entry at which known rows are repeated, so that their total rate stays constant. */
const REPEAT_MS_PER_ENTRY = 250;
const MIN_REPEAT_MS = 1000;

/** Options of {@link GossipRepeater}. */
export interface GossipRepeaterOptions {
  clock: { nowMs(): number };
  /** Number of live entries, including this one. */
  entryCount(): number;
}

/**
 * Repeats rows that matter for long, a few at a time, so that entries that started since learn of them
 * even while the store is unavailable.
 */
export class GossipRepeater {
  readonly #options: GossipRepeaterOptions;
  #repeatedAtMs: number;
  /** Index of the first row of the next repeat. */
  #nextRow = 0;

  private constructor(options: GossipRepeaterOptions) {
    this.#options = options;
    // Entries start at different times, so they don't all repeat the same rows together.
    this.#repeatedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Clock and number of entries.
   * @returns A repeater.
   */
  static create(options: GossipRepeaterOptions): GossipRepeater {
    return new GossipRepeater(options);
  }

  /** Whether it is time for the next repeat. */
  get isDue(): boolean {
    const { clock, entryCount } = this.#options;
    const pauseMs = Math.max(MIN_REPEAT_MS, entryCount() * REPEAT_MS_PER_ENTRY);
    return clock.nowMs() - this.#repeatedAtMs >= pauseMs;
  }

  /**
   * @param rows All rows to repeat.
   * @returns Those of the next repeat, if it is due.
   */
  take<T>(rows: readonly T[]): T[] {
    if (rows.length === 0 || !this.isDue) return [];
    this.#repeatedAtMs = this.#options.clock.nowMs();
    const from = this.#nextRow < rows.length ? this.#nextRow : 0;
    this.#nextRow = from + MAX_PER_DATAGRAM;
    return rows.slice(from, from + MAX_PER_DATAGRAM);
  }
}
