/** One HTTP request with its response, and the record of it for logs, metrics and state dumps. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
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
}

/** Parameters of {@link openExchange}. */
export interface ExchangeOptions {
  requestId: string;
  kind: RequestKind;
  clock: Clock;
}

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
  { requestId, kind, clock }: ExchangeOptions,
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
  return { request, response, caller, record };
}

/**
 * Reads a request's body.
 *
 * @param request The HTTP request.
 * @param maxBytes Maximum size of the body.
 * @returns The body, or a failure if it is too large or the client disconnected.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, RequestFailure>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) return Result.err(bodyTooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return Result.err(bodyTooLarge(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    const message = "The caller went away before its request was complete";
    return Result.err(notRun("client_gone", message));
  }
  return Result.ok(Buffer.concat(chunks, sizeBytes));
}

function bodyTooLarge(maxBytes: number): RequestFailure {
  const message = `Expected a body of at most ${maxBytes} bytes`;
  return notRun("body_too_large", message);
}
