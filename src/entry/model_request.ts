/** Parses and validates the body of a model request. */
import { Result } from "true-myth";
import { z } from "zod";
import type { PromptAPI } from "../placement/mod.ts";
import type { TeamBranch } from "../config/branch.ts";
import { ownProperty } from "./auth.ts";
import { notRun, type RequestFailure } from "./errors.ts";

/** A validated model request. */
export interface ModelRequest {
  api: PromptAPI;
  model: string;
  /** Empty if the request names no adapter. */
  adapter: string;
  /** Weights version that the team's branch sets for the model or adapter. */
  weightsVersion: string;
  pool: string;
  /** Whether the caller wants the answer as server-sent events. */
  isStream: boolean;
  maxTokens: number;
  /** Body to send to the engine: the caller's body with model and adapter resolved. */
  body: Record<string, unknown>;
}

/** Maximum number of answer tokens assumed for a request that sets no limit. */
export const DEFAULT_MAX_TOKENS = 1024;

const COMMON_FIELDS = {
  model: z.string().min(1).max(256),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() })
    .nullish(),
  max_tokens: z.int().min(1).max(10_000_000).nullish(),
  max_completion_tokens: z.int().min(1).max(10_000_000).nullish(),
  n: z.int().min(1).max(128).nullish(),
  adapter: z.string().max(63).nullish(),
};
const CHAT_SCHEMA = z.looseObject({
  ...COMMON_FIELDS,
  messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
});
const TEXT_SCHEMA = z.looseObject({
  ...COMMON_FIELDS,
  prompt: z.union([z.string().min(1), z.array(z.unknown()).min(1)]),
});
const BODY_SCHEMAS = { chat: CHAT_SCHEMA, text: TEXT_SCHEMA } as const;
const ADAPTER_SEPARATOR = ":";

/**
 * @param api The API that was called.
 * @param bytes The request's body.
 * @param branch The team's branch.
 * @returns The request, or why the body is invalid.
 */
export function readModelRequest(
  api: PromptAPI,
  bytes: Buffer,
  { branch }: { branch: TeamBranch },
): Result<ModelRequest, RequestFailure> {
  return parseJson(bytes).andThen((json) => {
    const parsed = BODY_SCHEMAS[api].safeParse(json);
    if (!parsed.success) return Result.err(invalidBody(parsed.error));
    const body = parsed.data;
    if (body.stream_options && !body.stream) {
      const message = "Expected stream_options only together with stream";
      return Result.err(
        notRun("invalid_body", message, { param: "stream_options" }),
      );
    }
    return resolveModel(branch, body.model, body.adapter ?? "").map((
      found,
    ) => ({
      api,
      ...found,
      isStream: body.stream ?? false,
      maxTokens: body.max_completion_tokens ?? body.max_tokens ??
        DEFAULT_MAX_TOKENS,
      body: buildEngineBody(body, found),
    }));
  });
}

/**
 * @param branch The team's branch.
 * @returns Ids that callers can use in requests: models, and adapters as `model:adapter`.
 */
export function modelIds(branch: TeamBranch): string[] {
  return Object.entries(branch.models).flatMap(([name, model]) => [
    name,
    ...Object.keys(model.adapters).map((adapter) =>
      name + ADAPTER_SEPARATOR + adapter
    ),
  ]);
}

interface ResolvedModel {
  model: string;
  adapter: string;
  weightsVersion: string;
  pool: string;
}

function parseJson(bytes: Buffer): Result<unknown, RequestFailure> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return Result.ok(JSON.parse(text));
  } catch {
    return Result.err(notRun("bad_json", "The body is not valid JSON"));
  }
}

function invalidBody(error: z.ZodError): RequestFailure {
  const issue = error.issues[0];
  const param = issue?.path.join(".") ?? "";
  const message = issue ? `${param || "body"}: ${issue.message}` : "";
  return notRun("invalid_body", message, { param: param || undefined });
}

/** Finds the model by its id; an id without a match may also be `model:adapter`. */
function resolveModel(
  branch: TeamBranch,
  id: string,
  adapter: string,
): Result<ResolvedModel, RequestFailure> {
  const exactMatch = findModel(branch, id, adapter);
  if (exactMatch) return Result.ok(exactMatch);
  const separatorAt = id.lastIndexOf(ADAPTER_SEPARATOR);
  const splitMatch = separatorAt > 0 && adapter === ""
    ? findModel(branch, id.slice(0, separatorAt), id.slice(separatorAt + 1))
    : undefined;
  if (splitMatch) return Result.ok(splitMatch);
  const message = "The model does not exist, or the team has no access to it";
  return Result.err(notRun("model_not_found", message, { param: "model" }));
}

function findModel(
  branch: TeamBranch,
  name: string,
  adapter: string,
): ResolvedModel | undefined {
  const model = ownProperty(branch.models, name);
  if (!model) return undefined;
  const { pool, weightsVersion, adapters } = model;
  if (adapter === "") return { model: name, adapter, weightsVersion, pool };
  const found = ownProperty(adapters, adapter);
  if (!found) return undefined;
  return {
    model: name,
    adapter,
    weightsVersion: found.weightsVersion,
    pool,
  };
}

function buildEngineBody(
  body: Record<string, unknown>,
  { model, adapter }: ResolvedModel,
): Record<string, unknown> {
  const { adapter: _named, ...rest } = body;
  const adapterField = adapter === "" ? {} : { adapter };
  // A non-streamed answer is assembled from the engine's stream, which must include the usage.
  const options = body.stream
    ? {}
    : { stream_options: { include_usage: true } };
  return { ...rest, ...options, ...adapterField, model };
}
