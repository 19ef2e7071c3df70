/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../base/mod.ts";

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
    let collector: ByteCollector | undefined = ByteCollector.create();
    request.on("data", (chunk: Buffer) => {
      if (!collector) return;
      collector.push(chunk);
      if (collector.sizeBytes <= maxBytes) return;
      collector = undefined;
      resolve({ kind: "too_large" });
    });
    request.once("end", () => {
      if (collector) resolve({ kind: "whole", bytes: collector.take() });
    });
    request.once("close", () => resolve({ kind: "cut" }));
  });
}
