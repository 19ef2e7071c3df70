/** Translates headers of client requests, forwarded requests and backend servers' answers. */
import type { IncomingHttpHeaders } from "node:http";
import {
  type AnswerFacts,
  type AnswerRate,
  AnswerRateKind,
  type ForwardFacts,
  type PromptFacts,
  type PromptPart,
  type RequestFacts,
} from "../router/model.ts";
import { Header, KEY_SCHEME } from "./names.ts";

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Request headers that only the router may set; they are dropped if a client sends them. */
const ROUTER_ONLY = new Set<string>([
  Header.deadline,
  Header.workspace,
  Header.expectedServer,
  Header.cacheSalt,
  Header.priority,
  Header.cacheSource,
  Header.cacheTarget,
  Header.expectedWeights,
  Header.pin,
  Header.hold,
  Header.backupTarget,
  Header.copySource,
  Header.authorization,
]);

/** The parts of a client request that {@link readRequest} needs. */
export interface ClientRequest {
  method?: string;
  url?: string;
  headers: IncomingHttpHeaders;
}

/**
 * Reads the head of a client request.
 *
 * @param request A client request.
 * @returns Its target, deadline, key and prompt.
 */
export function readRequest(request: ClientRequest): RequestFacts {
  const { headers } = request;
  return {
    requestId: firstValue(headers, Header.requestId) ?? "",
    host: (headers.host ?? "").replace(/:\d+$/, "").toLowerCase(),
    target: request.url ?? "/",
    method: request.method ?? "GET",
    deadlineMs: parseNonNegative(firstValue(headers, Header.deadline)),
    key: readKey(firstValue(headers, Header.authorization)),
    lastEventId: firstValue(headers, Header.lastEventId),
    resumedId: firstValue(headers, Header.resumes),
    prompt: readPrompt(headers),
  };
}

/**
 * Builds the headers of a request to a backend server.
 *
 * @param rawHeaders The client's headers, alternating names and values.
 * @param facts Values of the headers that the router adds.
 * @returns The headers to send, alternating names and values, without `content-length`.
 */
export function forwardHeaders(
  rawHeaders: readonly string[],
  facts: ForwardFacts,
): string[] {
  const connectionHeaders = connectionOptions(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || ROUTER_ONLY.has(name)) continue;
    if (name === "content-length" || connectionHeaders.has(name)) continue;
    if (name === Header.lastEventId && facts.lastEventId !== undefined) {
      continue;
    }
    headers.push(rawHeaders[i]!, rawHeaders[i + 1]!);
  }
  addRouterHeaders(headers, facts);
  return headers;
}

/**
 * Reads the head of a backend server's answer.
 *
 * @param status The HTTP status.
 * @param headers The headers, names in lower case.
 * @returns The decoded head.
 */
export function readAnswer(
  status: number,
  headers: IncomingHttpHeaders,
): AnswerFacts {
  const encoding = firstValue(headers, "content-encoding");
  return {
    status,
    notRun: isRefusal(status, headers),
    requestId: firstValue(headers, Header.requestId),
    signed: headers[Header.signature] !== undefined,
    encoded: encoding !== undefined && encoding !== "identity",
    serverId: firstValue(headers, Header.serverId),
    weightsVersion: parseNonNegative(
      firstValue(headers, Header.weightsVersion),
    ),
    leaving: firstValue(headers, Header.leaving) === "1",
    rate: readRate(firstValue(headers, Header.requestRate)),
    retryAfterMs: secondsToMs(
      parseNonNegative(firstValue(headers, Header.retryAfter)),
    ),
  };
}

/**
 * Selects the headers of a backend server's answer that are passed on to the client.
 *
 * @param headers The server's headers, names in lower case.
 * @returns The headers to send, alternating names and values, without `content-length`.
 */
export function answerHeaders(headers: IncomingHttpHeaders): string[] {
  const kept: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name === "content-length") continue;
    for (const item of Array.isArray(value) ? value : [value]) {
      kept.push(name, item);
    }
  }
  return kept;
}

/**
 * @param retryAfterMs Time after which the client may retry.
 * @returns The `retry-after` header, in seconds with decimals.
 */
export function retryHeaders(retryAfterMs: number): string[] {
  return [Header.retryAfter, (retryAfterMs / 1000).toFixed(3)];
}

/**
 * @param requestId The client's id of its attempt; empty if it sent none.
 * @returns The header that repeats the id in an answer that the router itself generates.
 */
export function echoHeaders(requestId: string): string[] {
  return requestId === "" ? [] : [Header.requestId, requestId];
}

/** Status 421 refuses by itself: another server has the address, or the weights are others. */
function isRefusal(status: number, headers: IncomingHttpHeaders): boolean {
  const isFailure = status >= 400;
  return isFailure && (status === 421 || headers[Header.notRun] !== undefined);
}

function addRouterHeaders(headers: string[], facts: ForwardFacts): void {
  headers.push(
    Header.deadline,
    String(Math.max(1, Math.floor(facts.deadlineMs))),
  );
  headers.push(Header.expectedServer, facts.serverId);
  if (facts.workspace !== undefined) {
    headers.push(Header.workspace, facts.workspace);
  }
  if (facts.cacheSalt !== undefined) {
    headers.push(Header.cacheSalt, facts.cacheSalt);
  }
  if (facts.weightsVersion !== undefined) {
    headers.push(Header.expectedWeights, String(facts.weightsVersion));
  }
  if (facts.enginePriority !== undefined) {
    headers.push(Header.priority, String(facts.enginePriority));
  }
  if (facts.copyFrom !== undefined) {
    headers.push(Header.cacheSource, facts.copyFrom);
  }
  if (facts.saveTo !== undefined) {
    headers.push(Header.cacheTarget, facts.saveTo);
  }
  if (facts.lastEventId !== undefined) {
    headers.push(Header.lastEventId, facts.lastEventId);
  }
  if (facts.backupTo !== undefined) {
    headers.push(Header.backupTarget, facts.backupTo);
  }
  if (facts.copy) {
    const { source, copyId } = facts.copy;
    headers.push(Header.copySource, `${source.address}/${copyId}`);
  }
}

/** Names of the headers that `Connection` lists as hop-by-hop. */
function connectionOptions(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[i + 1]!.split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}

function readKey(value: string | undefined): string | undefined {
  return value?.startsWith(KEY_SCHEME)
    ? value.slice(KEY_SCHEME.length).trim()
    : undefined;
}

function readPrompt(headers: IncomingHttpHeaders): PromptFacts | undefined {
  const model = firstValue(headers, Header.model);
  if (model === undefined) return undefined;
  // Two comma-separated counts: prompt tokens, and the maximum of generated tokens.
  const counts = (firstValue(headers, Header.tokenCounts) ?? "").split(",");
  const parts = readParts(firstValue(headers, Header.promptParts));
  const promptTokens = parseNonNegative(counts[0]) ??
    parts.reduce((sum, part) => sum + part.tokens, 0);
  return {
    model,
    promptTokens,
    outputTokens: parseNonNegative(counts[1]) ?? 0,
    parts,
  };
}

function readParts(value: string | undefined): PromptPart[] {
  if (!value) return [];
  return value.split(",").map((item) => {
    const [id = "", tokens] = item.trim().split(":");
    return { id, tokens: parseNonNegative(tokens) ?? 0 };
  });
}

function readRate(value: string | undefined): AnswerRate {
  if (value === undefined) return { kind: AnswerRateKind.none };
  const perSecond = parseNonNegative(value);
  return perSecond === undefined
    ? { kind: AnswerRateKind.malformed, value }
    : { kind: AnswerRateKind.limited, perSecond };
}

function firstValue(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function secondsToMs(seconds: number | undefined): number | undefined {
  return seconds === undefined ? undefined : seconds * 1000;
}

function parseNonNegative(value: string | undefined): number | undefined {
  if (value === undefined || value.trim() === "") return undefined;
  const parsed = Number(value);
  return Number.isFinite(parsed) && parsed >= 0 ? parsed : undefined;
}
