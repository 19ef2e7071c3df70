/** How the end of an answer is declared to its client. */
import type { IncomingMessage } from "node:http";

/** What ends a complete answer. */
export type DeclaredEnd =
  /** All bytes of its length arrived. */
  | "length"
  /** The last chunk arrived. */
  | "last_chunk"
  /** The connection was closed in order; the answer had neither a length nor chunks. */
  | "connection_end";

/**
 * @param response An answer whose connection or body has ended.
 * @returns What declared its end; undefined if it was cut or reset before.
 */
export function declaredEndOf(
  response: IncomingMessage,
): DeclaredEnd | undefined {
  if (!response.complete || response.errored) return undefined;
  const { headers, statusCode } = response;
  if (headers["transfer-encoding"] !== undefined) return "last_chunk";
  const hasNoBody = statusCode === 204 || statusCode === 304;
  return headers["content-length"] !== undefined || hasNoBody
    ? "length"
    : "connection_end";
}
