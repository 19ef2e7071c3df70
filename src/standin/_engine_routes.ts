/** HTTP routes of the stand-in engine. */
import { setTimeout as delay } from "node:timers/promises";
import type { LoadedModel } from "../backends/mod.ts";
import type { CacheBlock } from "./_engine_cache.ts";
import type { EngineRun } from "./_engine_scheduler.ts";
import { EngineStream } from "./_engine_stream.ts";
import { answerJson, type HostRequest, readJson } from "./_http_host.ts";
import { answerTokens, countTokens, toAnswerInput } from "./answer.ts";
import type { StandinEngineFaults } from "./engine_options.ts";
import type { EngineState } from "./_engine_state.ts";

/** Body of an order to load or unload a model or to change the role. */
interface OrderBody {
  fencing_number: string;
  model?: LoadedModel;
  role?: string;
}

interface ExportBody {
  cache_salt: string;
  block_keys: string[];
}

const DEFAULT_PRIORITY = 0;

/** Operations on the whole engine that the routes need. */
export interface EngineControl {
  setFaults(faults: Partial<StandinEngineFaults>): Promise<void> | void;
}

/**
 * Dispatches a request to its route.
 *
 * @param state Shared state of the engine.
 * @param request The request to answer.
 * @param control Operations on the whole engine.
 */
export async function serveEngine(
  state: EngineState,
  request: HostRequest,
  control: EngineControl,
): Promise<void> {
  const { response } = request;
  switch (`${request.method} ${request.url.pathname}`) {
    case "POST /v1/chat/completions":
      return startRun(state, request, { api: "chat", control });
    case "POST /v1/completions":
      return startRun(state, request, { api: "text", control });
    case "GET /info":
      return answerJson(response, 200, describeEngine(state));
    case "GET /load":
      return answerJson(response, 200, describeLoad(state));
    case "GET /cache":
      return answerJson(response, 200, describeCache(state));
    case "GET /cache_events":
      return followEvents(state, request);
    case "POST /kv/export":
      return exportBlocks(state, request);
    case "POST /kv/import":
      return importBlocks(state, request);
    case "POST /orders/load":
    case "POST /orders/unload":
    case "POST /orders/role":
      return await handleOrder(state, request);
    case "GET /control/executions":
      return answerJson(response, 200, { executions: state.executions });
    case "GET /control/orders":
      return answerJson(response, 200, { orders: state.orders });
    case "POST /control/faults":
      answerJson(response, 200, {});
      return await control.setFaults(
        readJson<Partial<StandinEngineFaults>>(request),
      );
    default:
      return answerError(request, 404, "Not found");
  }
}

function startRun(
  state: EngineState,
  request: HostRequest,
  { api, control }: { api: "chat" | "text"; control: EngineControl },
): void {
  const body = readJson<Record<string, unknown>>(request);
  const refusal = findRefusal(state, body);
  if (refusal) return answerError(request, refusal.status, refusal.message);
  const model = state.models.find(requestedModel(body))!;
  const { response } = request;
  const engineRun = createRun(state, { api, body, model, request });
  if (triggersCrash(state, request)) {
    state.executions.push(engineRun.execution);
    return void control.setFaults({ crash: true });
  }
  response.once("close", () => {
    state.scheduler.cancel(engineRun);
    recordLoad(state);
  });
  state.scheduler.submit(engineRun);
  recordLoad(state);
}

function triggersCrash(
  { faults }: EngineState,
  { body }: HostRequest,
): boolean {
  return faults.crashOnText !== "" && body.includes(faults.crashOnText);
}

function findRefusal(
  state: EngineState,
  body: Record<string, unknown>,
): { status: number; message: string } | undefined {
  const { faults, options } = state;
  if (faults.rejectNext > 0) {
    faults.rejectNext--;
    return { status: 503, message: "Not ready" };
  }
  if (!state.models.find(requestedModel(body))) {
    return { status: 404, message: "Model is not loaded" };
  }
  if (state.scheduler.load().waiting >= options.maxWaiting) {
    return { status: 429, message: "Too many requests wait" };
  }
  if (body["stream"] !== true) {
    return { status: 400, message: "Only streams are supported" };
  }
  return undefined;
}

function requestedModel(body: Record<string, unknown>): LoadedModel {
  return {
    model: String(body["model"] ?? ""),
    adapter: String(body["adapter"] ?? ""),
    weightsVersion: String(body["weights_version"] ?? ""),
  };
}

function createRun(
  state: EngineState,
  call: {
    api: "chat" | "text";
    body: Record<string, unknown>;
    model: LoadedModel;
    request: HostRequest;
  },
): EngineRun {
  const { api, body, model, request } = call;
  const input = toAnswerInput(api, body);
  const cacheSalt = String(body["cache_salt"] ?? "");
  const requestId = String(request.headers["x-request-id"] ?? "");
  const promptTokens = countTokens(input.prompt);
  const tokens = answerTokens(input);
  const { stallAfterPieces, cutAfterPieces } = state.faults;
  const sink = EngineStream.create(request.response, {
    api,
    requestId,
    model: input.model,
    fingerprint: `${model.weightsVersion}/${state.incarnation}`,
    tokens,
    promptTokens,
    stallAfterPieces,
    cutAfterPieces,
  });
  const { incarnation } = state;
  return {
    priority: Number(body["priority"] ?? DEFAULT_PRIORITY),
    chain: state.cache.split(input.prompt, { cacheSalt, model }),
    promptTokens,
    answerLength: tokens.length,
    sink,
    execution: {
      requestId,
      incarnation,
      model,
      cacheSalt,
      promptTokens,
      cachedTokens: 0,
    },
    arrival: 0,
    started: false,
    cachedTokens: 0,
    prefillLeft: promptTokens,
    emitted: 0,
  };
}

function recordLoad(state: EngineState): void {
  state.loadHistory.record(state.scheduler.load());
}

function describeEngine(state: EngineState): unknown {
  const { options } = state;
  return {
    incarnation: state.incarnation,
    role: state.role,
    models: state.models.list(),
    blockBytes: options.blockBytes,
    maxRunning: options.maxRunning,
    cacheBlocks: options.cacheBlocks,
    prefillMsPerToken: options.prefillMsPerToken,
    decodeMsPerToken: options.decodeMsPerToken,
  };
}

function describeLoad(state: EngineState): unknown {
  const report = state.loadHistory.report(state.scheduler.load());
  const { incarnation } = state;
  return { incarnation, ...report.load, ageMs: report.ageMs };
}

function describeCache(state: EngineState): unknown {
  const { nextSeq } = state.feed;
  const blocks = state.cache.list().map((block) => ({
    kind: "stored",
    seq: nextSeq - 1,
    ...block,
  }));
  return { incarnation: state.incarnation, nextSeq, blocks };
}

function followEvents(state: EngineState, request: HostRequest): void {
  const sinceSeq = Number(request.url.searchParams.get("since") ?? 0);
  state.feed.attach(request.response, sinceSeq, state.incarnation);
}

function exportBlocks(state: EngineState, request: HostRequest): void {
  const { cache_salt, block_keys } = readJson<ExportBody>(request);
  const blocks: CacheBlock[] = [];
  for (const blockKey of block_keys) {
    const block = state.cache.get(blockKey);
    if (block && block.cacheSalt === cache_salt) blocks.push(block);
  }
  answerJson(request.response, 200, { blocks });
}

function importBlocks(state: EngineState, request: HostRequest): void {
  const { blocks } = readJson<{ blocks: CacheBlock[] }>(request);
  let imported = 0;
  for (const block of blocks) {
    if (!state.models.has(block.model)) continue;
    if (state.cache.import(block)) imported++;
  }
  answerJson(request.response, 200, { imported });
}

async function handleOrder(
  state: EngineState,
  request: HostRequest,
): Promise<void> {
  const body = readJson<OrderBody>(request);
  const fencingNumber = BigInt(body.fencing_number);
  const highest = state.highestFencingNumber;
  if (state.options.enforceFencing && fencingNumber < highest) {
    const highest_fencing_number = String(highest);
    return answerJson(request.response, 409, { highest_fencing_number });
  }
  if (fencingNumber > highest) state.highestFencingNumber = fencingNumber;
  const kind = request.url.pathname.slice("/orders/".length);
  const subject = body.role ?? JSON.stringify(body.model);
  state.orders.push({ fencingNumber: body.fencing_number, kind, subject });
  await executeOrder(state, kind, body);
  answerJson(request.response, 200, {});
}

async function executeOrder(
  state: EngineState,
  kind: string,
  body: OrderBody,
): Promise<void> {
  if (kind === "role") {
    state.role = body.role ?? "";
    return;
  }
  if (kind === "unload") {
    state.models.remove(body.model!);
    return state.cache.retain((model) => state.models.has(model));
  }
  const { models } = state;
  if (state.options.modelLoadMs > 0) await delay(state.options.modelLoadMs);
  models.add(body.model!);
}

function answerError(
  request: HostRequest,
  status: number,
  message: string,
): void {
  answerJson(request.response, status, { error: { message, code: status } });
}
