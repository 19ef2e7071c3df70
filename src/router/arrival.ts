/** What the head of a client's request says about it, before its body is read. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientMemory, MemoryAccount } from "../base/client_memory.ts";
import { type ReadBody, readBody } from "../base/request_body.ts";
import { headBytes } from "./head_bytes.ts";
import type { RequestFacts, Route, Workspace } from "./model.ts";
import type { RoutingTable } from "./routing_table.ts";

/** Time reserved for an answer to reach the client before the client's deadline. */
const ANSWER_MARGIN_MS = 15;

/** Whether the body of a request is read. */
export type Arrival =
  /** It is read, up to this size and for this time. */
  | { kind: "expected"; maxBytes: number; leftMs: number }
  /** No configuration is loaded. */
  | { kind: "not_ready" }
  | { kind: "headers_too_large" }
  | { kind: "unknown_route" }
  | { kind: "unknown_key" };

/** Route of a request, and the workspace that its key belongs to. */
export type Routed =
  | { kind: "routed"; route: Route; workspace?: Workspace }
  | { kind: "refused"; why: "unknown_route" | "unknown_key" };

/** Circumstances of a request's arrival. */
export interface ArrivalOptions {
  /** The configuration in force; undefined until the first one is loaded. */
  table: RoutingTable | undefined;
  /** Time since the request arrived. */
  ageMs: number;
}

/**
 * @param request A request whose head was read.
 * @param facts The request, decoded.
 * @param options Configuration and age.
 * @returns Whether its body is read.
 */
export function checkHead(
  request: IncomingMessage,
  facts: RequestFacts,
  { table, ageMs }: ArrivalOptions,
): Arrival {
  if (!table) return { kind: "not_ready" };
  const { headerBytes, bodyBytes } = table.limits;
  if (headBytes(request) > headerBytes) return { kind: "headers_too_large" };
  const routed = findRoute(facts, table);
  if (routed.kind === "routed") {
    const leftMs = Math.max(0, timeLeftMs(facts, routed.route) - ageMs);
    return { kind: "expected", maxBytes: bodyBytes, leftMs };
  }
  // Without a body nothing has to be decided before the request is served.
  return hasBody(request)
    ? { kind: routed.why }
    : { kind: "expected", maxBytes: 0, leftMs: Infinity };
}

/**
 * Reads the body of a request, or drops it if the request is refused by its head.
 *
 * @param request The request.
 * @param response Its response, which tells a client that waits for it to send the body.
 * @param options What the head says, and where the body is charged.
 * @returns The body.
 */
export function receiveBody(
  request: IncomingMessage,
  response: ServerResponse,
  { arrival, ...budget }: {
    arrival: Arrival;
    memory: ClientMemory;
    account: MemoryAccount;
  },
): Promise<ReadBody> {
  if (arrival.kind !== "expected") {
    request.resume();
    return Promise.resolve({ kind: "whole", bytes: undefined });
  }
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  const isExpected = request.headers.expect !== undefined &&
    declaredBytes <= arrival.maxBytes;
  if (isExpected) response.writeContinue();
  return readBody(request, { ...arrival, ...budget });
}

/**
 * @param facts A request.
 * @param table The configuration in force.
 * @returns Its route, if it has one and its key may use it.
 */
export function findRoute(facts: RequestFacts, table: RoutingTable): Routed {
  const route = table.findRoute(facts.host, facts.target);
  if (!route) return { kind: "refused", why: "unknown_route" };
  const who = table.authenticate(route, facts.key);
  switch (who.kind) {
    case "unknown_key":
      return { kind: "refused", why: "unknown_key" };
    case "anonymous":
      return { kind: "routed", route };
    case "workspace":
      return { kind: "routed", route, workspace: who.workspace };
  }
}

/**
 * @param facts A request.
 * @param route Its route.
 * @returns Time from its arrival in which it can be served.
 */
export function timeLeftMs({ deadlineMs }: RequestFacts, route: Route): number {
  return Math.min((deadlineMs ?? Infinity) - ANSWER_MARGIN_MS, route.timeoutMs);
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
