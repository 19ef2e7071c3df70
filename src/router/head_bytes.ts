/** Size of a request's head. */
import type { IncomingMessage } from "node:http";

/**
 * @param request A request.
 * @returns Size in bytes of its request line and header fields.
 */
export function headBytes(
  { method, url, rawHeaders }: IncomingMessage,
): number {
  const line = `${method} ${url} HTTP/1.1\r\n`.length;
  // Names and values alternate; each is followed by two more characters, ": " or CRLF.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, line + 2);
}
