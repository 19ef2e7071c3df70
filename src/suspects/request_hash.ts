/** Identifies a request by its content, independently of the ids of its attempts. */
import { createHash } from "node:crypto";

/** Hexadecimal digits kept of the hash: 96 bits, for which finding a collision is infeasible. */
const DIGITS = 24;

/**
 * Computes a request's digest.
 *
 * @param fields Fields that identify the request besides its body, such as path and caller.
 * @param content Body of the request.
 * @returns The digest in hexadecimal; equal for equal fields and content.
 */
export function hashRequest(
  fields: readonly string[],
  content: Uint8Array | undefined,
): string {
  // JSON delimits the fields, so that ["ab", "c"] and ["a", "bc"] give different digests.
  const hash = createHash("sha256").update(JSON.stringify(fields));
  if (content) hash.update(content);
  return hash.digest("hex").slice(0, DIGITS);
}
