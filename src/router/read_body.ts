/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";

/** Result of reading a body. */
export type ReadBody =
  | { kind: "whole"; bytes: Buffer | undefined }
  | { kind: "too_large" }
  /** The client disconnected before the end of the body. */
  | { kind: "cut" };

/**
 * Buffers the whole body, so that the request can be sent again.
 *
 * @param request The client's request.
 * @param maxBytes Largest body that is accepted.
 * @returns The body; its bytes are undefined if the request has none.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<ReadBody> {
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Promise.resolve({ kind: "whole", bytes: undefined });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve({ kind: "too_large" });
      else chunks.push(chunk);
    });
    request.once(
      "end",
      () => resolve({ kind: "whole", bytes: Buffer.concat(chunks) }),
    );
    request.once("close", () => resolve({ kind: "cut" }));
  });
}
