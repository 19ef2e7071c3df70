/** A store that takes the writes of records at once, and the replica of it, for tests. */
import { Result } from "true-myth";
import { positionAt } from "../store/position.ts";
import type { Expectation, KeyValueEntry, Write } from "../store/store.ts";

/** Content of the store, calls to it, and whether they fail. */
export class RecordStore {
  readonly stored = new Map<string, KeyValueEntry>();
  calls = 0;
  fails = false;
  #writes = 0;
  /** Options of a record. */
  readonly parts = {
    store: {
      commit: (expect: readonly Expectation[], writes: readonly Write[]) =>
        this.#commit(expect, writes),
    } as never,
    mirror: {
      entry: (key: string) => this.stored.get(key),
      entries: () => [...this.stored.values()],
    },
  };

  /** Puts a text under a key. */
  put(key: string, text: string): void {
    this.#put(key, Buffer.from(text));
  }

  /** Returns the text under a key. */
  text(key: string): string {
    return Buffer.from(this.stored.get(key)!.value).toString();
  }

  #commit(expect: readonly Expectation[], writes: readonly Write[]) {
    this.calls++;
    if (this.fails) return Promise.resolve(Result.err({ kind: "down" }));
    const isMet = expect.every(({ key, modPosition }) =>
      this.stored.get(key)?.modPosition === modPosition
    );
    if (!isMet) return Promise.resolve(Result.ok({ kind: "conflict" }));
    for (const write of writes) {
      if (write.kind === "delete") this.stored.delete(write.key);
      if (write.kind !== "put") continue;
      this.#put(write.key, write.value);
    }
    return Promise.resolve(Result.ok({ kind: "committed" }));
  }

  #put(key: string, value: Uint8Array): void {
    const modPosition = positionAt(0, BigInt(++this.#writes));
    this.stored.set(key, {
      key,
      value,
      modPosition,
      createPosition: modPosition,
    });
  }
}
