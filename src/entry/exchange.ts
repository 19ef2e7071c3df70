/** One HTTP request with its answer, and what is known of it for logs, metrics and dumps. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import { Caller } from "./caller.ts";
import type { RequestKind } from "./entry_metrics.ts";
import { notRun, type RequestFailure } from "./errors.ts";
import type { DispatchReport } from "./run_request.ts";

/** What is known of a request; it holds no prompt and no key. */
export interface RequestRecord extends DispatchReport {
  requestId: string;
  kind: RequestKind;
  team: string;
  workspace: string;
  keyId: string;
  /** Model or service. */
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

/** What an exchange is made from. */
export interface ExchangeOptions {
  requestId: string;
  kind: RequestKind;
  clock: Clock;
}

/** Header that names the request in the logs. */
export const REQUEST_ID_HEADER = "x-cicadahitch-request-id";

/**
 * @param request The request.
 * @param response Its answer.
 * @param options Id, kind and clock.
 * @returns An exchange of which nothing else is known.
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
 * @param request The request.
 * @param maxBytes Largest size.
 * @returns The body, or why it was not taken.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, RequestFailure>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) return Result.err(tooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return Result.err(tooLarge(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    const message = "The caller went away before its request was complete";
    return Result.err(notRun("client_gone", message));
  }
  return Result.ok(Buffer.concat(chunks, sizeBytes));
}

function tooLarge(maxBytes: number): RequestFailure {
  const message = `Expected a body of at most ${maxBytes} bytes`;
  return notRun("body_too_large", message);
}
