/** Counts an entry's streams that its record in the store may lack. */

/** Streams that began, and how many of them are recorded. */
export class UnrecordedCount {
  #begun = 0;
  #recorded = 0;
  #listener: () => void = () => {};

  private constructor() {}

  /** @returns A count without streams. */
  static create(): UnrecordedCount {
    return new UnrecordedCount();
  }

  /** @param listener Called when streams are to be recorded. */
  onDue(listener: () => void): void {
    this.#listener = listener;
  }

  /** @param options Whether the stream has to be recorded now, or once its service has several versions. */
  add({ isDue }: { isDue: boolean }): void {
    this.#begun++;
    if (isDue) this.#listener();
  }

  /** The store may lack all streams. */
  forget(): void {
    if (this.#begun === 0) return;
    this.#recorded = -1;
    this.#listener();
  }

  /** @returns Marks the streams so far as recorded; undefined if they are. */
  pending(): (() => void) | undefined {
    const begun = this.#begun;
    if (begun === this.#recorded) return undefined;
    return () => {
      this.#recorded = begun;
    };
  }
}
