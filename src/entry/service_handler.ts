/** Serves calls to plain services below `/services/`. */
import { Result } from "true-myth";
import {
  type AskRequest,
  type PlainCall,
  Priority,
} from "../wire/gen/cicadahitch.ts";
import { writeFailure } from "./answer_sink.ts";
import type { Identity } from "./auth.ts";
import type { RequestFailure } from "./errors.ts";
import { type Exchange, receiveBody } from "./exchange.ts";
import { admit, type HandlerDeps, identify } from "./handler_deps.ts";
import { finishAnswer } from "./model_handler.ts";
import { HeaderName, readSettings } from "./request_headers.ts";
import { PlainRoute } from "./routes.ts";
import { Rerun } from "./run_request.ts";
import { serviceHeaders } from "./service_headers.ts";
import {
  readServiceTarget,
  requestFingerprint,
  type ServiceTarget,
} from "./service_request.ts";
import { ServiceSink } from "./service_sink.ts";

/** Window of unacknowledged pieces: small, as pieces of a service's answer are larger than tokens. */
const WINDOW_PIECES = 16;

/** A call that was authenticated and validated. */
interface CheckedCall {
  identity: Identity;
  target: ServiceTarget;
  call: PlainCall;
  priority: Priority;
}

/**
 * Serves a call to a plain service: validates it, checks the team's limits and runs it on a server.
 *
 * @param deps Dependencies of the request handlers.
 * @param exchange The request and its response.
 * @returns The failure that was sent to the caller; undefined if the request was served.
 */
export async function serveService(
  deps: HandlerDeps,
  exchange: Exchange,
): Promise<RequestFailure | undefined> {
  const checked = await checkCall(deps, exchange);
  if (checked.isErr) {
    writeFailure(exchange.response, checked.error);
    return checked.error;
  }
  const { team } = checked.value.identity;
  const admission = admit(deps, team, 0);
  if (admission.isErr) {
    writeFailure(exchange.response, admission.error);
    return admission.error;
  }
  try {
    return await dispatchCall(deps, exchange, checked.value);
  } finally {
    admission.value.settle(0);
  }
}

async function checkCall(
  deps: HandlerDeps,
  exchange: Exchange,
): Promise<Result<CheckedCall, RequestFailure>> {
  const { request, record, caller } = exchange;
  const identified = identify(deps, exchange);
  if (identified.isErr) return Result.err(identified.error);
  const identity = identified.value;
  const { branch } = identity;
  const method = request.method ?? "GET";
  const found = readServiceTarget(method, request.url ?? "", { branch });
  if (found.isErr) return Result.err(found.error);
  const target = found.value;
  record.target = target.service;
  const settings = readSettings(request.headers, identity);
  if (settings.isErr) return Result.err(settings.error);
  const { className, priority, idempotencyKey } = settings.value;
  record.className = className;
  const hasDeadline = request.headers[HeaderName.DeadlineMs] !== undefined;
  const { timeoutMs } = target.settings;
  caller.setDeadline(
    hasDeadline ? Math.min(settings.value.deadlineMs, timeoutMs) : timeoutMs,
  );
  const body = await receiveBody(exchange, {
    ...deps.body,
    maxBytes: branch.limits.maxBodyBytes,
    isParsed: false,
  });
  return body.map((bytes) => ({
    identity,
    target,
    priority,
    call: {
      service: target.service,
      method,
      path: target.path,
      headers: serviceHeaders(request, identity),
      body: bytes,
      idempotencyKey,
      atMostOnce: !target.isRepeatable,
      fingerprint: requestFingerprint(method, target.path, bytes),
    },
  }));
}

async function dispatchCall(
  deps: HandlerDeps,
  exchange: Exchange,
  checked: CheckedCall,
): Promise<RequestFailure | undefined> {
  const { caller, record, response } = exchange;
  const { identity, target, call } = checked;
  const { team, workspace, branch } = identity;
  const sink = ServiceSink.create(response, caller.signal);
  const ask = buildAskRequest(deps, checked);
  const ended = await deps.dispatcher.run({
    requestId: record.requestId,
    ask,
    call: { $case: "plainCall", value: call },
    route: PlainRoute.create({
      ...deps.routing,
      ask,
      pool: target.settings.pool,
      requestId: record.requestId,
      team,
      workspace,
      service: target.service,
      idempotencyKey: call.idempotencyKey,
    }),
    caller,
    sink,
    rerun: call.atMostOnce ? Rerun.Never : Rerun.Always,
    hasIdempotencyKey: call.idempotencyKey !== "",
    windowPieces: WINDOW_PIECES,
    retryShare: branch.limits.retryShare,
    onStarted: () => record.startedMs ??= deps.clock.nowMs(),
    onFirstPiece: () => record.firstPieceMs ??= deps.clock.nowMs(),
  }, record);
  return finishAnswer(exchange, sink, ended);
}

function buildAskRequest(deps: HandlerDeps, checked: CheckedCall): AskRequest {
  const { identity, priority } = checked;
  return {
    runId: "",
    team: identity.team,
    workspace: identity.workspace,
    model: "",
    adapter: "",
    weightsVersion: "",
    chain: [],
    promptTokens: 0,
    maxTokens: 0,
    priority,
    deadlineMs: 0,
    holdMs: 0,
    configVersion: identity.revision,
    issuedWallMs: BigInt(Math.floor(deps.clock.wallMs())),
  };
}
