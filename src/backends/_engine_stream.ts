/** Parses the event stream with which an engine answers a run. */
import { err, ok, type Result } from "true-myth/result";
import { toCallFailure } from "./_http_call.ts";
import { SseParser } from "./_sse.ts";
import type { EngineFailure, EngineResponsePart } from "./engine.ts";

const DONE = Buffer.from("[DONE]");
const ERROR_PREFIX = Buffer.from(`{"error"`);
/** Quotes inside JSON strings are escaped, so these bytes can match only the field itself. */
const EMPTY_CHOICES = Buffer.from(`"choices":[]`);

interface Usage {
  prompt_tokens?: number;
  completion_tokens?: number;
  prompt_tokens_details?: { cached_tokens?: number };
}

/** Options of {@link readEngineStream}. */
export interface EngineStreamOptions {
  /** False drops the event that carries only the usage, for callers that did not request it. */
  forwardsUsage: boolean;
}

/**
 * @param body Body of the engine's HTTP response.
 * @param options Whether to forward the usage event.
 * @returns The steps of the run: `end` after the closing event, a failure on any other ending.
 */
export async function* readEngineStream(
  body: AsyncIterable<Buffer>,
  { forwardsUsage }: EngineStreamOptions,
): AsyncGenerator<Result<EngineResponsePart, EngineFailure>> {
  const parser = SseParser.create();
  let lastEvent: Buffer | undefined;
  try {
    for await (const chunk of body) {
      for (const data of parser.push(chunk)) {
        if (isDone(data)) return yield ok(toEndStep(lastEvent));
        if (isError(data)) return yield err(toFailure(data.toString()));
        lastEvent = data;
        if (!forwardsUsage && data.includes(EMPTY_CHOICES)) continue;
        yield ok({ kind: "piece", data });
      }
    }
    yield err(toFailure("The stream ended without its closing event"));
  } catch (error) {
    // The request was sent, so it may have run, whatever the error code says.
    yield err(toFailure(toCallFailure(error).message));
  }
}

function isDone(data: Buffer): boolean {
  return data.length === DONE.length && data.equals(DONE);
}

function isError(data: Buffer): boolean {
  return data.length > ERROR_PREFIX.length &&
    ERROR_PREFIX.compare(data, 0, ERROR_PREFIX.length) === 0;
}

/** Reads the token usage from the last event before the closing one. */
function toEndStep(lastEvent: Buffer | undefined): EngineResponsePart {
  const usage = lastEvent ? parseUsage(lastEvent) : {};
  return {
    kind: "end",
    promptTokens: usage.prompt_tokens ?? 0,
    completionTokens: usage.completion_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

function parseUsage(data: Buffer): Usage {
  try {
    const event = JSON.parse(data.toString()) as { usage?: Usage | null };
    return event.usage ?? {};
  } catch {
    return {};
  }
}

function toFailure(message: string): EngineFailure {
  return { kind: "broken", message };
}
