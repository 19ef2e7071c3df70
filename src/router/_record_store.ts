/** A store that takes the writes of records at once, and the replica of it, for tests. */
import { Result } from "true-myth";
import type { KeyValueEntry, Write } from "../store/store.ts";

/** Content of the store, calls to it, and whether they fail. */
export class RecordStore {
  readonly stored = new Map<string, KeyValueEntry>();
  calls = 0;
  fails = false;
  /** Options of a record. */
  readonly parts = {
    store: {
      commit: (_: unknown, writes: readonly Write[]) => this.#commit(writes),
    } as never,
    mirror: {
      entry: (key: string) => this.stored.get(key),
      entries: () => [...this.stored.values()],
    },
  };

  /** Puts a text under a key. */
  put(key: string, text: string): void {
    this.stored.set(key, { key, value: Buffer.from(text) } as never);
  }

  /** Returns the text under a key. */
  text(key: string): string {
    return Buffer.from(this.stored.get(key)!.value).toString();
  }

  #commit(writes: readonly Write[]) {
    this.calls++;
    if (this.fails) return Promise.resolve(Result.err({ kind: "down" }));
    for (const write of writes) {
      if (write.kind === "delete") this.stored.delete(write.key);
      if (write.kind !== "put") continue;
      const { key, value } = write;
      this.stored.set(key, { key, value } as KeyValueEntry);
    }
    return Promise.resolve(Result.ok({ revision: 1n }));
  }
}
