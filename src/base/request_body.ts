/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import type { ClientMemory, MemoryAccount } from "./client_memory.ts";

/** A body is charged again after so many bytes. */
const CHARGE_STEP_BYTES = 4096;

/** Result of reading a body. */
export type ReadBody =
  /** The bytes are undefined if the request has none. */
  | { kind: "whole"; bytes: Buffer | undefined }
  /** The body is, or is declared, larger than allowed. */
  | { kind: "too_large" }
  /** The body was not complete in time. */
  | { kind: "late" }
  /** The memory for clients is used up. */
  | { kind: "no_memory" }
  /** The client disconnected before the end of the body. */
  | { kind: "cut" };

/** Bounds of a body. */
export interface BodyOptions {
  /** Largest body that is accepted. */
  maxBytes: number;
  /** Time until the request can't be served any more; may be infinite. */
  leftMs: number;
  /** Memory that is charged for each byte, if the body is to be parsed; default: 1. */
  weight?: number;
  memory: ClientMemory;
  /** Account of the request; pinned once the body is whole. */
  account: MemoryAccount;
}

/** Longest time of a timer; longer ones would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Buffers the whole body, so that the request can be sent again. What arrives after a failure is dropped.
 *
 * @param request The client's request.
 * @param options Bounds.
 * @returns The body, or why it was not read.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, leftMs, weight = 1, memory, account }: BodyOptions,
): Promise<ReadBody> {
  const declaredBytes = declaredLength(request);
  if (account.isClosed) return settleUnread(request, { kind: "no_memory" });
  if (declaredBytes === 0) {
    memory.admit(account);
    const hasLength = request.headers["content-length"] !== undefined;
    const bytes = hasLength ? Buffer.alloc(0) : undefined;
    return Promise.resolve({ kind: "whole", bytes });
  }
  if (declaredBytes !== undefined && declaredBytes > maxBytes) {
    return settleUnread(request, { kind: "too_large" });
  }
  return new Promise((resolve) => {
    const baseBytes = account.sizeBytes;
    let chargedBytes = 0;
    let collector: BodyCollector | undefined = BodyCollector.create();
    const settle = (read: ReadBody) => {
      collector = undefined;
      clearTimeout(timer);
      account.onEvicted = () => {};
      resolve(read);
    };
    const timer = setTimeout(
      () => settle({ kind: "late" }),
      Math.min(leftMs, MAX_TIMER_MS),
    );
    account.onEvicted = () => settle({ kind: "no_memory" });
    request.on("data", (chunk: Buffer) => {
      if (!collector) return;
      collector.push(chunk);
      const { sizeBytes } = collector;
      if (sizeBytes > maxBytes) {
        account.resize(baseBytes);
        return settle({ kind: "too_large" });
      }
      if (sizeBytes - chargedBytes < CHARGE_STEP_BYTES) return;
      chargedBytes = sizeBytes;
      account.resize(baseBytes + weight * sizeBytes);
    });
    request.once("end", () => {
      if (!collector) return;
      account.resize(baseBytes + weight * collector.sizeBytes);
      // Charging it may have evicted this request.
      if (!collector) return;
      // Before the bytes are joined, which takes as much memory again.
      if (!memory.admit(account)) return settle({ kind: "no_memory" });
      settle({ kind: "whole", bytes: collector.take() });
    });
    request.once("close", () => settle({ kind: "cut" }));
  });
}

/** Keeps the only chunk of a body as it is, and copies those of others. */
class BodyCollector {
  #first: Buffer | undefined;
  #rest: ByteCollector | undefined;

  private constructor() {}

  static create(): BodyCollector {
    return new BodyCollector();
  }

  get sizeBytes(): number {
    return this.#rest?.sizeBytes ?? this.#first?.length ?? 0;
  }

  push(chunk: Buffer): void {
    if (!this.#first) {
      this.#first = chunk;
      return;
    }
    if (!this.#rest) {
      this.#rest = ByteCollector.create();
      this.#rest.push(this.#first);
    }
    this.#rest.push(chunk);
  }

  take(): Buffer {
    return this.#rest?.take() ?? this.#first ?? Buffer.alloc(0);
  }
}

/** Drops the body as it arrives. */
function settleUnread(
  request: IncomingMessage,
  read: ReadBody,
): Promise<ReadBody> {
  request.resume();
  return Promise.resolve(read);
}

/** Returns the length of the body; undefined if it is sent in chunks. */
function declaredLength({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}
