/** Cuts an entry off from the store and from the other entries, for tests in one process. */
import { Socket } from "node:dgram";
import type { TestContext } from "node:test";
import type { TestEntry } from "./_world.ts";

/** What an entry can't reach. */
export interface Partition {
  /** Its connections to the store stay open and are silent. */
  store?: boolean;
  /** Datagrams from and to the other entries are lost; those to itself measure its own delay. */
  entries?: boolean;
}

/**
 * @param t The test; the entry is in touch again when it ends.
 * @param entries Entries that are cut off, each from all others.
 * @param partition What they can't reach; default: neither the store nor other entries.
 */
export function cutOff(
  t: TestContext,
  entries: readonly TestEntry[],
  { store = true, entries: others = true }: Partition = {},
): void {
  for (const { link } of entries) if (store) link.silent();
  if (others) loseDatagrams(t, new Set(entries.map((one) => one.ipAddress)));
}

function loseDatagrams(t: TestContext, addresses: Set<string>): void {
  const send = Socket.prototype.send as (...args: unknown[]) => void;
  t.mock.method(
    Socket.prototype,
    "send",
    function (this: Socket, ...args: unknown[]) {
      const [from, to] = [this.address().address, args[2] as string];
      const isCut = addresses.has(from) || addresses.has(to);
      if (from === to || !isCut) send.apply(this, args);
    },
  );
}
