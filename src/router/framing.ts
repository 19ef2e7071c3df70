/** How HTTP responses declare the end of their bodies. */
import type { IncomingHttpHeaders } from "node:http";

/**
 * @param status Status of a response.
 * @param headers Its headers, names in lower case.
 * @returns Whether it declares the end of its body; otherwise the end of the connection ends it.
 */
export function isFramed(
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  return status === 204 || status === 304 ||
    headers["content-length"] !== undefined ||
    // With any other transfer coding, the end of the connection ends the body.
    /(^|,)\s*chunked\s*$/i.test(headers["transfer-encoding"] ?? "");
}

/**
 * @param headers Headers of a response, names in lower case.
 * @returns Whether the connection is closed after it.
 */
export function isLastAnswer(headers: IncomingHttpHeaders): boolean {
  return /(^|,)\s*close\s*(,|$)/i.test(headers.connection ?? "");
}
