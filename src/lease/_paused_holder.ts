/**
 * Test program: acquires a lease in a separate process and prints, for each line read from standard
 * input, whether it still holds the lease.
 */
import { createInterface } from "node:readline";
import { systemClock } from "../base/mod.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { FencedLease } from "./fenced_lease.ts";

const acquired = await FencedLease.acquire(MemoryStore.create(), {
  key: "/cicadahitch/leases/test",
  holderId: "child",
  ttlMs: Number(process.argv[2]),
  clock: systemClock,
});
if (acquired.isErr) throw new Error("Expected to acquire the lease");
console.log("acquired");
for await (const _ of createInterface(process.stdin)) {
  console.log(String(acquired.value.isHeldFor(0)));
}
