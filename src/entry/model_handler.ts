/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
import { Result } from "true-myth";
import {
  describePrompt,
  type PlacementRequest,
  type PromptAPI,
} from "../placement/mod.ts";
import type { AskRequest, RunEnd } from "../wire/gen/cicadahitch.ts";
import { type AnswerSink, writeFailure } from "./answer_sink.ts";
import type { Identity } from "./auth.ts";
import type { RequestFailure } from "./errors.ts";
import { type Exchange, receiveBody } from "./exchange.ts";
import { admit, type HandlerDeps, identify } from "./handler_deps.ts";
import {
  DEFAULT_MAX_TOKENS,
  type ModelRequest,
  readModelRequest,
} from "./model_request.ts";
import { readSettings, type RequestSettings } from "./request_headers.ts";
import { OfferRoute } from "./routes.ts";
import { Rerun } from "./run_request.ts";
import { StreamSink } from "./stream_sink.ts";
import { BufferedSink } from "./buffered_sink.ts";

/** A request that was authenticated and validated. */
interface CheckedRequest {
  identity: Identity;
  settings: RequestSettings;
  model: ModelRequest;
  placement: PlacementRequest;
}

/**
 * Serves a model request: validates it, checks the team's limits and runs it on a backend server.
 *
 * @param deps Dependencies of the request handlers.
 * @param exchange The request and its response.
 * @param api The API that was called.
 * @returns The failure that was sent to the caller; undefined if the request was served.
 */
export async function serveModel(
  deps: HandlerDeps,
  exchange: Exchange,
  { api }: { api: PromptAPI },
): Promise<RequestFailure | undefined> {
  const checked = await checkRequest(deps, exchange, api);
  if (checked.isErr) {
    writeFailure(exchange.response, checked.error);
    return checked.error;
  }
  const request = checked.value;
  const { team } = request.identity;
  const { promptTokens } = request.placement;
  const answerTokens = Math.min(request.model.maxTokens, DEFAULT_MAX_TOKENS);
  const admission = admit(deps, team, promptTokens + answerTokens);
  if (admission.isErr) {
    writeFailure(exchange.response, admission.error);
    return admission.error;
  }
  try {
    return await dispatchRequest(deps, exchange, request);
  } finally {
    admission.value.settle(promptTokens + exchange.record.completionTokens);
  }
}

async function checkRequest(
  deps: HandlerDeps,
  exchange: Exchange,
  api: PromptAPI,
): Promise<Result<CheckedRequest, RequestFailure>> {
  const identified = identify(deps, exchange);
  if (identified.isErr) return Result.err(identified.error);
  const identity = identified.value;
  const { branch, team, workspace } = identity;
  const settings = readSettings(exchange.request.headers, identity);
  if (settings.isErr) return Result.err(settings.error);
  exchange.caller.setDeadline(settings.value.deadlineMs);
  exchange.record.className = settings.value.className;
  const body = await receiveBody(exchange, {
    ...deps.body,
    maxBytes: branch.limits.maxBodyBytes,
    isParsed: true,
  });
  return body.andThen((bytes) => readModelRequest(api, bytes, { branch }))
    .map((model) => {
      const { model: name, adapter, weightsVersion } = model;
      exchange.record.target = adapter ? `${name}:${adapter}` : name;
      const placement = describePrompt(model.body, {
        scope: { team, workspace, model: name, adapter, weightsVersion },
        api,
        recomputePriceMs: settings.value.recomputePriceMs,
      });
      exchange.record.promptTokens = placement.promptTokens;
      return { identity, settings: settings.value, model, placement };
    });
}

async function dispatchRequest(
  deps: HandlerDeps,
  exchange: Exchange,
  request: CheckedRequest,
): Promise<RequestFailure | undefined> {
  const { caller, record, response } = exchange;
  const { model, identity, settings } = request;
  const sink = model.isStream
    ? StreamSink.create(response, caller.signal)
    : BufferedSink.create(response, model.api);
  const ask = buildAskRequest(deps, request);
  const rerun = settings.idempotencyKey === "" ? Rerun.WhenOver : Rerun.Never;
  const body = Buffer.from(JSON.stringify(model.body));
  const ended = await deps.dispatcher.run({
    requestId: record.requestId,
    ask,
    call: { $case: "modelCall", value: { body, api: model.api } },
    route: OfferRoute.create({
      ...deps.routing,
      pool: model.pool,
      requestId: record.requestId,
      team: identity.team,
      ask,
      caller,
      placement: request.placement,
    }),
    caller,
    sink,
    rerun,
    hasIdempotencyKey: settings.idempotencyKey !== "",
    windowPieces: deps.routing.tuning.windowPieces,
    retryShare: identity.branch.limits.retryShare,
    onStarted: () => record.startedMs ??= deps.clock.nowMs(),
    onFirstPiece: () => record.firstPieceMs ??= deps.clock.nowMs(),
  }, record);
  return finishAnswer(exchange, sink, ended);
}

function buildAskRequest(
  deps: HandlerDeps,
  request: CheckedRequest,
): AskRequest {
  const { identity, settings, model, placement } = request;
  return {
    runId: "",
    team: identity.team,
    workspace: identity.workspace,
    model: model.model,
    adapter: model.adapter,
    weightsVersion: model.weightsVersion,
    chain: placement.points,
    promptTokens: placement.promptTokens,
    maxTokens: model.maxTokens,
    priority: settings.priority,
    deadlineMs: 0,
    holdMs: 0,
    configVersion: identity.revision,
    issuedWallMs: BigInt(Math.floor(deps.clock.wallMs())),
  };
}

/**
 * Completes the answer when the run of a request has ended.
 *
 * @param exchange The request and its response.
 * @param sink Receiver of the answer.
 * @param ended End of the run, or why it failed.
 * @returns The failure that was sent to the caller; undefined if the request was served.
 */
export function finishAnswer(
  exchange: Exchange,
  sink: AnswerSink,
  ended: Result<RunEnd, RequestFailure>,
): RequestFailure | undefined {
  if (ended.isErr) {
    sink.fail(ended.error);
    return ended.error;
  }
  const end = ended.value;
  exchange.record.completionTokens = end.completionTokens;
  exchange.record.cachedTokens = end.cachedTokens;
  return sink.finish(end);
}
