/** Runs one etcd watch over its own gRPC stream. */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { err, ok, type Result } from "true-myth/result";
import type { WatchRequest, WatchResponse } from "../wire/gen/etcd.ts";
import { etcdPosition, toWatchStep } from "./_etcd_codec.ts";
import type { StoreFailure, WatchStep } from "./store.ts";

/** Range, start revision and timeouts of a watch. */
export interface EtcdWatchOptions {
  key: Buffer;
  rangeEnd: Buffer;
  fromRevision: bigint;
  /** Interval of progress requests, which make the service confirm the latest revision. */
  progressMs: number;
  /** The connection counts as lost after this time without a message. */
  idleTimeoutMs: number;
  signal: AbortSignal;
  /** Called for each received message. */
  onMessage: () => void;
  /** Called when the watch ends because no message arrived in time. */
  onIdleTimeout: () => void;
}

type WatchStream = ClientDuplexStream<WatchRequest, WatchResponse>;

const PROGRESS_REQUEST: WatchRequest = {
  requestUnion: { $case: "progressRequest", value: {} },
};

/**
 * Watches a range until the signal is aborted or the connection fails.
 *
 * @param stream A new stream to which nothing was written yet.
 * @param options Range, start revision and timeouts.
 * @returns Events, progress notifications, and the failure that ended the watch, if any.
 */
export async function* followRange(
  stream: WatchStream,
  options: EtcdWatchOptions,
): AsyncGenerator<Result<WatchStep, StoreFailure>> {
  const idleTimer = startIdleTimer(stream, options);
  const cancel = () => stream.cancel();
  options.signal.addEventListener("abort", cancel, { once: true });
  // Without a listener, an error after the loop, such as that of cancel(), would be uncaught.
  stream.on("error", () => {});
  if (options.signal.aborted) cancel();
  const progress = setInterval(
    () => stream.write(PROGRESS_REQUEST),
    options.progressMs,
  );
  try {
    stream.write(createRequest(options));
    for await (const response of stream as AsyncIterable<WatchResponse>) {
      idleTimer.restart();
      options.onMessage();
      if (response.canceled) return yield err(toCancelFailure(response));
      for (const step of toSteps(response)) yield ok(step);
    }
    yield err(unavailable("The store closed the watch"));
  } catch (error) {
    if (!options.signal.aborted) yield err(unavailable(messageOf(error)));
  } finally {
    clearInterval(progress);
    idleTimer.stop();
    options.signal.removeEventListener("abort", cancel);
    stream.cancel();
  }
}

function createRequest(options: EtcdWatchOptions): WatchRequest {
  const value = {
    key: options.key,
    rangeEnd: options.rangeEnd,
    startRevision: options.fromRevision,
    progressNotify: true,
  };
  return { requestUnion: { $case: "createRequest", value } };
}

function startIdleTimer(stream: WatchStream, options: EtcdWatchOptions) {
  const timer = setTimeout(() => {
    options.onIdleTimeout();
    stream.cancel();
  }, options.idleTimeoutMs);
  return {
    restart: () => void timer.refresh(),
    stop: () => clearTimeout(timer),
  };
}

function toSteps(response: WatchResponse): WatchStep[] {
  if (response.events.length > 0) return response.events.map(toWatchStep);
  if (response.created) return [];
  const position = etcdPosition(response.header?.revision ?? 0n);
  return [{ kind: "progress", position }];
}

function toCancelFailure(response: WatchResponse): StoreFailure {
  const oldestRevision = response.compactRevision;
  if (oldestRevision > 0n) return { kind: "compacted", oldestRevision };
  return unavailable(
    `The store cancelled the watch: ${response.cancelReason}`,
  );
}

function unavailable(message: string): StoreFailure {
  return { kind: "unavailable", message };
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : "The watch failed";
}
