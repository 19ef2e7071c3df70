/**
 * A map of bounded size that evicts the entry whose last write is oldest. Reads don't count as use.
 */
export class LRUMap<K, V> {
  readonly #entries = new Map<K, V>();
  readonly #capacity: number;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * @param capacity Bound on the number of entries.
   * @returns An empty map.
   */
  static create<K, V>(capacity: number): LRUMap<K, V> {
    return new LRUMap(capacity);
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** @returns The value; the order of eviction is unchanged. */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /** Sets a value and makes its entry the last to be evicted. */
  set(key: K, value: V): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#capacity) return;
    const oldest = this.#entries.keys().next();
    if (!oldest.done) this.#entries.delete(oldest.value);
  }

  /** Removes an entry. */
  delete(key: K): void {
    this.#entries.delete(key);
  }
}
