/** Reads a run's answer from the engine, event by event. */
import { err, ok, type Result } from "true-myth/result";
import { toCallFailure } from "./_http_call.ts";
import { SseParser } from "./_sse.ts";
import type { EngineFailure, EngineStep } from "./engine.ts";

const DONE = Buffer.from("[DONE]");
const ERROR_HEAD = Buffer.from(`{"error"`);
/** Quotes inside a text are escaped, so these bytes stand for the field only. */
const NO_CHOICES = Buffer.from(`"choices":[]`);

interface Usage {
  prompt_tokens?: number;
  completion_tokens?: number;
  prompt_tokens_details?: { cached_tokens?: number };
}

/** How a stream is read. */
export interface EngineStreamOptions {
  /** False: the event that carries the usage alone is left out, as the caller did not ask. */
  passesUsage: boolean;
}

/**
 * @param body Body of the engine's answer.
 * @param options Whether the caller wants the usage.
 * @returns Its events; `end` only after the closing event, a failure for any other ending.
 */
export async function* readEngineStream(
  body: AsyncIterable<Buffer>,
  { passesUsage }: EngineStreamOptions,
): AsyncGenerator<Result<EngineStep, EngineFailure>> {
  const parser = SseParser.create();
  let last: Buffer | undefined;
  try {
    for await (const chunk of body) {
      for (const data of parser.push(chunk)) {
        if (isDone(data)) return yield ok(toEnd(last));
        if (isError(data)) return yield err(broken(data.toString()));
        last = data;
        if (!passesUsage && data.includes(NO_CHOICES)) continue;
        yield ok({ kind: "piece", data });
      }
    }
    yield err(broken("The stream ended without its closing event"));
  } catch (error) {
    // It was sent, so whatever the error says, it may have run.
    yield err(broken(toCallFailure(error).message));
  }
}

function isDone(data: Buffer): boolean {
  return data.length === DONE.length && data.equals(DONE);
}

function isError(data: Buffer): boolean {
  return data.length > ERROR_HEAD.length &&
    ERROR_HEAD.compare(data, 0, ERROR_HEAD.length) === 0;
}

/** The last event before the closing one carries the usage. */
function toEnd(last: Buffer | undefined): EngineStep {
  const usage = last ? parseUsage(last) : {};
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

function broken(message: string): EngineFailure {
  return { kind: "broken", message };
}
