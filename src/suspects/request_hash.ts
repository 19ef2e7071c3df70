/** Tells requests apart by what they are, whatever id an attempt has. */
import { createHash } from "node:crypto";

/** Hexadecimal digits that are kept: nobody finds another request with the same 96 bits. */
const DIGITS = 24;

/**
 * @param fields What the request is known by besides its content, such as its path and caller.
 * @param content Its body.
 * @returns The same text for the same fields and content.
 */
export function hashRequest(
  fields: readonly string[],
  content: Uint8Array | undefined,
): string {
  // As JSON, one field's end is not taken for the next one's beginning.
  const hash = createHash("sha256").update(JSON.stringify(fields));
  if (content) hash.update(content);
  return hash.digest("hex").slice(0, DIGITS);
}
