/** Translates headers: the client's request, the request to a backend server, and its answer. */
import type { IncomingHttpHeaders } from "node:http";
import type {
  AnswerFacts,
  ForwardFacts,
  PromptFacts,
  PromptPart,
  RequestFacts,
} from "../router/model.ts";
import { Header, KEY_SCHEME } from "./names.ts";

/** Headers that concern one connection only. */
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

/** Headers that only the router may set on a request; a client's own are dropped. */
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

/** The parts of a client's request that are read here. */
export interface ClientRequest {
  method?: string;
  url?: string;
  headers: IncomingHttpHeaders;
}

/**
 * @param request A client's request.
 * @returns What it asks for.
 */
export function readRequest(request: ClientRequest): RequestFacts {
  const { headers } = request;
  return {
    requestId: single(headers, Header.requestId) ?? "",
    host: (headers.host ?? "").replace(/:\d+$/, "").toLowerCase(),
    target: request.url ?? "/",
    method: request.method ?? "GET",
    deadlineMs: positive(single(headers, Header.deadline)),
    key: readKey(single(headers, Header.authorization)),
    lastEventId: single(headers, Header.lastEventId),
    prompt: readPrompt(headers),
  };
}

/**
 * @param rawHeaders The client's headers, names and values in turn.
 * @param facts What the router adds.
 * @returns The headers of the request to a server, in the same form; without a body's length.
 */
export function forwardHeaders(
  rawHeaders: readonly string[],
  facts: ForwardFacts,
): string[] {
  const dropped = connectionOptions(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || ROUTER_ONLY.has(name)) continue;
    if (name === "content-length" || dropped.has(name)) continue;
    if (name === Header.lastEventId && facts.lastEventId !== undefined) {
      continue;
    }
    headers.push(rawHeaders[i]!, rawHeaders[i + 1]!);
  }
  addFacts(headers, facts);
  return headers;
}

/**
 * @param status The answer's status.
 * @param headers Its headers, names in lower case.
 * @returns What its head says.
 */
export function readAnswer(
  status: number,
  headers: IncomingHttpHeaders,
): AnswerFacts {
  const encoding = single(headers, "content-encoding");
  return {
    status,
    // 421 is a promise of its own: another server has the address, or other weights are loaded.
    notRun: headers[Header.notRun] !== undefined || status === 421,
    requestId: single(headers, Header.requestId),
    signed: headers[Header.signature] !== undefined,
    encoded: encoding !== undefined && encoding !== "identity",
    framed: status === 204 || status === 304 ||
      headers["content-length"] !== undefined ||
      // Any other coding ends with the connection.
      /(^|,)\s*chunked\s*$/i.test(headers["transfer-encoding"] ?? ""),
    serverId: single(headers, Header.serverId),
    weightsVersion: positive(single(headers, Header.weightsVersion)),
    leaving: single(headers, Header.leaving) === "1",
    retryAfterMs: inMs(positive(single(headers, Header.retryAfter))),
  };
}

/**
 * @param headers A server's headers, names in lower case.
 * @returns Those that the client gets, names and values in turn; without the body's length.
 */
export function answerHeaders(headers: IncomingHttpHeaders): string[] {
  const kept: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name === "content-length") continue;
    for (const one of Array.isArray(value) ? value : [value]) {
      kept.push(name, one);
    }
  }
  return kept;
}

/**
 * @param retryAfterMs When the client may come back.
 * @returns The headers that say so.
 */
export function retryHeaders(retryAfterMs: number): string[] {
  return [Header.retryAfter, (retryAfterMs / 1000).toFixed(3)];
}

/**
 * @param requestId The client's id of its attempt.
 * @returns The headers that name it in an answer of the router's own.
 */
export function echoHeaders(requestId: string): string[] {
  return requestId === "" ? [] : [Header.requestId, requestId];
}

function addFacts(headers: string[], facts: ForwardFacts): void {
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
  if (facts.copy) {
    const { source, copyId } = facts.copy;
    headers.push(Header.copySource, `${source.address}/${copyId}`);
  }
}

/** Headers that `Connection` names concern this connection only. */
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
  const model = single(headers, Header.model);
  if (model === undefined) return undefined;
  // Two counts: tokens of the prompt, and generated tokens at most.
  const counts = (single(headers, Header.tokenCounts) ?? "").split(",");
  const parts = readParts(single(headers, Header.promptParts));
  const promptTokens = positive(counts[0]) ??
    parts.reduce((sum, part) => sum + part.tokens, 0);
  return { model, promptTokens, outputTokens: positive(counts[1]) ?? 0, parts };
}

function readParts(value: string | undefined): PromptPart[] {
  if (!value) return [];
  return value.split(",").map((item) => {
    const [id = "", tokens] = item.trim().split(":");
    return { id, tokens: positive(tokens) ?? 0 };
  });
}

function single(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function inMs(seconds: number | undefined): number | undefined {
  return seconds === undefined ? undefined : seconds * 1000;
}

function positive(value: string | undefined): number | undefined {
  if (value === undefined || value.trim() === "") return undefined;
  const parsed = Number(value);
  return Number.isFinite(parsed) && parsed >= 0 ? parsed : undefined;
}
