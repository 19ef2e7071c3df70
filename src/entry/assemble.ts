/** Assembles a non-streamed answer from the chunks of a stream. */
import { Result } from "true-myth";
import type { PromptAPI } from "../placement/mod.ts";
import type { RunEnd } from "../wire/gen/cicadahitch.ts";

/** Why the chunks don't form a complete answer. */
export interface AssemblyFailure {
  kind: "bad_chunk";
  message: string;
}

/** A non-streamed answer in the format of the OpenAI API. */
export interface CompleteAnswer {
  id: string;
  object: string;
  created: number;
  model: string;
  choices: Record<string, unknown>[];
  usage: Record<string, unknown>;
  [field: string]: unknown;
}

interface ToolCall {
  id: string;
  type: string;
  function: { name: string; arguments: string };
}

/** A choice whose text parts are collected until the stream ends. */
interface PartialChoice {
  role: string;
  content: string[];
  hasContent: boolean;
  refusal: string[];
  reasoning: string[];
  toolCalls: ToolCall[];
  finishReason: string | null;
  logprobs: Record<string, unknown[]> | undefined;
}

interface ChunkDelta {
  role?: string;
  content?: string | null;
  refusal?: string | null;
  reasoning_content?: string | null;
  tool_calls?: (Partial<Omit<ToolCall, "function">> & {
    index: number;
    function?: Partial<ToolCall["function"]>;
  })[];
}

/** The fields of a streamed chunk that the assembler reads. */
interface Chunk {
  id?: string;
  created?: number;
  model?: string;
  system_fingerprint?: string;
  choices?: {
    index?: number;
    delta?: ChunkDelta;
    text?: string;
    finish_reason?: string | null;
    logprobs?: Record<string, unknown[] | null> | null;
  }[];
  usage?: Record<string, unknown> | null;
}

/** Bounds the choices that a server's index can make the assembler allocate. */
const MAX_CHOICES = 128;
/** Bounds the tool calls per choice that a server's index can make the assembler allocate. */
const MAX_TOOL_CALLS = 1024;

/** Collects the chunks of one answer; the first error makes {@link finish} fail. */
export class AnswerAssembler {
  readonly #api: PromptAPI;
  readonly #choices: PartialChoice[] = [];
  #firstChunk: Chunk | undefined;
  #usage: Record<string, unknown> | undefined;
  #problem: string | undefined;

  private constructor(api: PromptAPI) {
    this.#api = api;
  }

  /**
   * @param api API whose answer format to build.
   * @returns An assembler without chunks.
   */
  static create(api: PromptAPI): AnswerAssembler {
    return new AnswerAssembler(api);
  }

  /** @param piece Data of the next server-sent event. */
  add(piece: Buffer): void {
    const chunk = parseChunk(piece);
    if (!chunk) {
      this.#problem ??= "The server sent a chunk that is not a JSON object";
      return;
    }
    this.#firstChunk ??= chunk;
    if (chunk.usage) this.#usage = chunk.usage;
    for (const part of chunk.choices ?? []) this.#addChoice(part);
  }

  /**
   * @param end End of the run; supplies the token usage if the stream contained none.
   * @returns The complete answer, or why the chunks don't form one.
   */
  finish(end: RunEnd): Result<CompleteAnswer, AssemblyFailure> {
    const problem = this.#problem ?? this.#incompleteReason();
    if (problem) return Result.err({ kind: "bad_chunk", message: problem });
    const first = this.#firstChunk!;
    const answer: CompleteAnswer = {
      id: first.id ?? "",
      object: this.#api === "chat" ? "chat.completion" : "text_completion",
      created: first.created ?? 0,
      model: first.model ?? "",
      choices: this.#choices.map((choice, index) =>
        this.#api === "chat"
          ? toChatChoice(choice, index)
          : toTextChoice(choice, index)
      ),
      usage: this.#usage ?? usageFromRunEnd(end),
    };
    if (first.system_fingerprint !== undefined) {
      answer.system_fingerprint = first.system_fingerprint;
    }
    return Result.ok(answer);
  }

  /** @returns Why the answer is incomplete; undefined if it is complete. */
  #incompleteReason(): string | undefined {
    if (!this.#firstChunk) return "The server sent no chunk";
    const isTruncated = this.#choices.length === 0 ||
      this.#choices.some(({ finishReason }) => finishReason === null);
    return isTruncated ? "The answer has no finish reason" : undefined;
  }

  #addChoice(part: NonNullable<Chunk["choices"]>[number]): void {
    const index = part.index ?? 0;
    if (!Number.isInteger(index) || index < 0 || index >= MAX_CHOICES) {
      this.#problem ??= "The server sent a choice with a bad index";
      return;
    }
    while (this.#choices.length <= index) this.#choices.push(newChoice());
    const choice = this.#choices[index]!;
    if (part.finish_reason) choice.finishReason = part.finish_reason;
    if (part.logprobs) addLogprobs(choice, part.logprobs);
    if (part.text) addContent(choice, part.text);
    if (part.delta) this.#addDelta(choice, part.delta);
  }

  #addDelta(choice: PartialChoice, delta: ChunkDelta): void {
    if (delta.role) choice.role = delta.role;
    if (typeof delta.content === "string") addContent(choice, delta.content);
    if (delta.refusal) choice.refusal.push(delta.refusal);
    if (delta.reasoning_content) choice.reasoning.push(delta.reasoning_content);
    for (const call of delta.tool_calls ?? []) {
      if (!(call.index >= 0 && call.index < MAX_TOOL_CALLS)) {
        this.#problem ??= "The server sent a tool call with a bad index";
        return;
      }
      addToolCall(choice, call);
    }
  }
}

function parseChunk(piece: Buffer): Chunk | undefined {
  try {
    const chunk: unknown = JSON.parse(piece.toString("utf8"));
    return typeof chunk === "object" && chunk !== null ? chunk : undefined;
  } catch {
    return undefined;
  }
}

function newChoice(): PartialChoice {
  return {
    role: "assistant",
    content: [],
    hasContent: false,
    refusal: [],
    reasoning: [],
    toolCalls: [],
    finishReason: null,
    logprobs: undefined,
  };
}

function addContent(choice: PartialChoice, text: string): void {
  choice.hasContent = true;
  choice.content.push(text);
}

function addLogprobs(
  choice: PartialChoice,
  logprobs: Record<string, unknown[] | null>,
): void {
  choice.logprobs ??= {};
  for (const [name, values] of Object.entries(logprobs)) {
    if (!Array.isArray(values)) continue;
    (choice.logprobs[name] ??= []).push(...values);
  }
}

function addToolCall(
  choice: PartialChoice,
  part: NonNullable<ChunkDelta["tool_calls"]>[number],
): void {
  while (choice.toolCalls.length <= part.index) {
    choice.toolCalls.push({
      id: "",
      type: "function",
      function: { name: "", arguments: "" },
    });
  }
  const call = choice.toolCalls[part.index]!;
  if (part.id) call.id = part.id;
  if (part.type) call.type = part.type;
  call.function.name += part.function?.name ?? "";
  call.function.arguments += part.function?.arguments ?? "";
}

function toChatChoice(
  choice: PartialChoice,
  index: number,
): Record<string, unknown> {
  const message: Record<string, unknown> = {
    role: choice.role,
    content: choice.hasContent ? choice.content.join("") : null,
    refusal: choice.refusal.length > 0 ? choice.refusal.join("") : null,
  };
  if (choice.reasoning.length > 0) {
    message.reasoning_content = choice.reasoning.join("");
  }
  if (choice.toolCalls.length > 0) message.tool_calls = choice.toolCalls;
  return {
    index,
    message,
    logprobs: choice.logprobs ?? null,
    finish_reason: choice.finishReason,
  };
}

function toTextChoice(
  choice: PartialChoice,
  index: number,
): Record<string, unknown> {
  return {
    index,
    text: choice.content.join(""),
    logprobs: choice.logprobs ?? null,
    finish_reason: choice.finishReason,
  };
}

function usageFromRunEnd(end: RunEnd): Record<string, unknown> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}
