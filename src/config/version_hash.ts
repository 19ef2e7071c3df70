/** Hash of a branch version; hashes are combined by XOR, so the order doesn't matter. */
import { createHash } from "node:crypto";
import type { BranchVersion } from "../wire/gen/cicadahitch.ts";

/**
 * @param version The team and the revision.
 * @returns The first 64 bits of the SHA-256 of both.
 */
export function hashVersion(version: BranchVersion): bigint {
  const input = `${version.team}\n${version.revision}`;
  return createHash("sha256").update(input).digest().readBigUInt64BE(0);
}
