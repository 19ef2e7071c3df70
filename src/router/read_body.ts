/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../base/mod.ts";

/** Longest time of a timer; longer ones would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Result of reading a body. */
export type ReadBody =
  | { kind: "whole"; bytes: Buffer | undefined }
  /** The body is, or is declared, larger than allowed. */
  | { kind: "too_large" }
  /** The body was not complete in time. */
  | { kind: "late" }
  /** The client disconnected before the end of the body. */
  | { kind: "cut" };

/** Bounds of a body. */
export interface BodyOptions {
  /** Largest body that is accepted. */
  maxBytes: number;
  /** Time until the request can't be served any more; may be infinite. */
  leftMs: number;
}

/**
 * Buffers the whole body, so that the request can be sent again. What arrives after a failure is dropped.
 *
 * @param request The client's request.
 * @param options Bounds.
 * @returns The body; its bytes are undefined if the request has none.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, leftMs }: BodyOptions,
): Promise<ReadBody> {
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Promise.resolve({ kind: "whole", bytes: undefined });
  if (Number(request.headers["content-length"]) > maxBytes) {
    request.resume();
    return Promise.resolve({ kind: "too_large" });
  }
  return new Promise((resolve) => {
    let collector: ByteCollector | undefined = ByteCollector.create();
    const settle = (read: ReadBody) => {
      collector = undefined;
      clearTimeout(timer);
      resolve(read);
    };
    const timer = setTimeout(
      () => settle({ kind: "late" }),
      Math.min(leftMs, MAX_TIMER_MS),
    );
    request.on("data", (chunk: Buffer) => {
      if (!collector) return;
      collector.push(chunk);
      if (collector.sizeBytes > maxBytes) settle({ kind: "too_large" });
    });
    request.once("end", () => {
      if (collector) settle({ kind: "whole", bytes: collector.take() });
    });
    request.once("close", () => settle({ kind: "cut" }));
  });
}
