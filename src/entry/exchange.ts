/** One HTTP request with its response, and the record of it for logs, metrics and state dumps. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { ClientMemory, MemoryAccount } from "../base/client_memory.ts";
import type { Clock } from "../base/mod.ts";
import { readBody } from "../base/request_body.ts";
import { Caller } from "./caller.ts";
import type { RequestKind } from "./entry_metrics.ts";
import { notRun, type RequestFailure } from "./errors.ts";
import type { DispatchReport } from "./run_request.ts";

/** A request's data for logs, metrics and state dumps. It contains no prompt and no API key. */
export interface RequestRecord extends DispatchReport {
  requestId: string;
  kind: RequestKind;
  team: string;
  workspace: string;
  keyId: string;
  /** Name of the model or service. */
  target: string;
  className: string;
  arrivedMs: number;
  startedMs: number | undefined;
  firstPieceMs: number | undefined;
  promptTokens: number;
  completionTokens: number;
  cachedTokens: number;
}

/** A request that is being served. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  caller: Caller;
  record: RequestRecord;
  /** Account of the request; undefined if its connection is closed. */
  account: MemoryAccount | undefined;
}

/** Parameters of {@link openExchange}. */
export interface ExchangeOptions {
  requestId: string;
  kind: RequestKind;
  clock: Clock;
  account: MemoryAccount | undefined;
}

/** Memory that a parsed body takes, relative to its size. */
const PARSED_WEIGHT = 4;
/** Part of the memory for clients that the largest body may be charged. */
const LARGEST_SHARE = 0.75;
/** Delay before a retry while the memory for clients is used up. */
const MEMORY_RETRY_MS = 1000;

/** Response header with the request id that the logs use. */
export const REQUEST_ID_HEADER = "x-cicadahitch-request-id";

/**
 * Sets the request id header and creates the record of a request.
 *
 * @param request The HTTP request.
 * @param response The HTTP response to it.
 * @param options Id, kind and clock.
 * @returns An exchange whose record has only its id, kind and arrival time.
 */
export function openExchange(
  request: IncomingMessage,
  response: ServerResponse,
  { requestId, kind, clock, account }: ExchangeOptions,
): Exchange {
  response.setHeader(REQUEST_ID_HEADER, requestId);
  const record: RequestRecord = {
    requestId,
    kind,
    team: "",
    workspace: "",
    keyId: "",
    target: "",
    className: "",
    arrivedMs: clock.nowMs(),
    startedMs: undefined,
    firstPieceMs: undefined,
    promptTokens: 0,
    completionTokens: 0,
    cachedTokens: 0,
    attempts: 0,
    reattaches: 0,
    address: "",
  };
  const caller = Caller.create(response, clock);
  return { request, response, caller, record, account };
}

/** Bounds of {@link receiveBody}. */
export interface ReceiveOptions {
  /** Maximum size of the body. */
  maxBytes: number;
  /** Longest time for the body to arrive, in ms. */
  timeoutMs: number;
  memory: ClientMemory;
  /** Whether the body is to be parsed, which takes a multiple of its size. */
  isParsed: boolean;
}

/**
 * Reads a request's body.
 *
 * @param exchange The request.
 * @param options Bounds.
 * @returns The body, or why it was not received whole.
 */
export async function receiveBody(
  { request, caller, account }: Exchange,
  { maxBytes, timeoutMs, memory, isParsed }: ReceiveOptions,
): Promise<Result<Buffer, RequestFailure>> {
  if (!account) return Result.err(callerGone());
  // The largest body is received in any case.
  const parsedWeight = Math.max(
    1,
    Math.min(PARSED_WEIGHT, memory.maxBytes * LARGEST_SHARE / maxBytes),
  );
  const body = await readBody(request, {
    maxBytes,
    leftMs: Math.min(caller.leftMs, timeoutMs),
    weight: isParsed ? parsedWeight : 1,
    memory,
    account,
  });
  switch (body.kind) {
    case "whole":
      return Result.ok(body.bytes ?? Buffer.alloc(0));
    case "too_large":
      return Result.err(bodyTooLarge(maxBytes));
    case "late":
      return Result.err(
        notRun("request_timeout", "The body did not arrive in time"),
      );
    case "no_memory": {
      const message = "The entry has no memory for the body";
      const retryAfterMs = MEMORY_RETRY_MS;
      return Result.err(notRun("overloaded", message, { retryAfterMs }));
    }
    case "cut":
      return Result.err(callerGone());
  }
}

function callerGone(): RequestFailure {
  const message = "The caller went away before its request was complete";
  return notRun("client_gone", message);
}

function bodyTooLarge(maxBytes: number): RequestFailure {
  const message = `Expected a body of at most ${maxBytes} bytes`;
  return notRun("body_too_large", message);
}
