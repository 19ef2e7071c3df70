/** Checks a commit against etcd's default limits. */
import type { Expectation, Write } from "./store.ts";

/** Maximum number of writes, and of conditions, in one commit. */
export const MAX_COMMIT_OPS = 128;
/** Maximum size of a commit's keys and values. */
export const MAX_COMMIT_BYTES = 1_572_864;

/**
 * @param expect Conditions of a commit.
 * @param writes Writes of the commit.
 * @returns Why etcd would refuse the commit; undefined if it is within the limits.
 */
export function findCommitRefusal(
  expect: Expectation[],
  writes: Write[],
): string | undefined {
  const ops = Math.max(expect.length, writes.length);
  if (ops > MAX_COMMIT_OPS) return "Too many operations in one commit";
  if (sizeBytes(writes) > MAX_COMMIT_BYTES) return "Commit is too large";
  if (hasOverlap(writes)) return "Duplicate key in one commit";
  return undefined;
}

function sizeBytes(writes: Write[]): number {
  let total = 0;
  for (const write of writes) {
    if (write.kind === "put") total += write.key.length + write.value.length;
  }
  return total;
}

/** Whether a key is put twice, or both put and deleted: etcd refuses such a commit. */
function hasOverlap(writes: Write[]): boolean {
  const puts = new Set<string>();
  for (const write of writes) {
    if (write.kind !== "put") continue;
    if (puts.has(write.key)) return true;
    puts.add(write.key);
  }
  return writes.some((write) => deletesOneOf(write, puts));
}

function deletesOneOf(write: Write, keys: Set<string>): boolean {
  switch (write.kind) {
    case "put":
      return false;
    case "delete":
      return keys.has(write.key);
    case "delete_range":
      return [...keys].some((key) => key >= write.from && key < write.to);
  }
}
