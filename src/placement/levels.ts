/**
 * Renders a request's prompt to bytes and finds its prefix levels: nested prefixes that other
 * requests are likely to share. Levels end at message boundaries of a chat, or at fixed positions
 * of a text.
 */
import type { PrefixChain } from "./chain.ts";

/**
 * Length in blocks of the first level of a prompt without boundaries; each further one doubles it.
 */
const FIRST_TEXT_LEVEL_BLOCKS = 4;

/** Kinds of engine API that take prompts. */
export type PromptAPI = "chat" | "text";

/** A prompt rendered to bytes, as engines see it. */
export interface RenderedPrompt {
  bytes: Uint8Array;
  /** Byte offsets of the ends of messages and of their parts. */
  boundaries: number[];
}

/**
 * Renders a request's prompt in the order of the request, so that requests with a common beginning
 * have a common prefix in bytes.
 *
 * @param api API that the body is for.
 * @param body The parsed request body.
 * @returns The prompt and its boundaries.
 */
export function renderPrompt(
  api: PromptAPI,
  body: Record<string, unknown>,
): RenderedPrompt {
  switch (api) {
    case "chat":
      return renderChat(body);
    case "text":
      return joinParts([textOf(body.prompt)]);
  }
}

/**
 * @param prompt The rendered prompt.
 * @param chain Its prefix chain.
 * @returns Lengths of the levels in blocks, ascending; each is shorter than the whole chain.
 */
export function prefixLevels(
  prompt: RenderedPrompt,
  chain: PrefixChain,
): number[] {
  const levels = boundaryLevels(prompt, chain);
  return levels.length > 0 ? levels : textLevels(chain.keys.length);
}

function renderChat(body: Record<string, unknown>): RenderedPrompt {
  const parts: string[] = [];
  if (body.tools !== undefined) {
    parts.push(`<|tools|>\n${JSON.stringify(body.tools)}\n`);
  }
  const messages = Array.isArray(body.messages) ? body.messages : [];
  for (const message of messages) renderMessage(message, parts);
  return joinParts(parts);
}

function renderMessage(message: unknown, parts: string[]): void {
  if (typeof message !== "object" || message === null) return;
  const { role, content, tool_calls: toolCalls } = message as Record<
    string,
    unknown
  >;
  let head = `<|${textOf(role)}|>\n`;
  const texts = Array.isArray(content) ? content : [content];
  for (const text of texts) {
    parts.push(head + textOf(text));
    head = "";
  }
  const calls = toolCalls === undefined ? "" : JSON.stringify(toolCalls);
  parts.push(`${head}${calls}\n`);
}

function textOf(value: unknown): string {
  if (typeof value === "string") return value;
  if (value === undefined || value === null) return "";
  const { text } = value as { text?: unknown };
  return typeof text === "string" ? text : JSON.stringify(value);
}

function joinParts(parts: string[]): RenderedPrompt {
  const boundaries: number[] = [];
  let end = 0;
  for (const part of parts) {
    end += Buffer.byteLength(part);
    boundaries.push(end);
  }
  return { bytes: Buffer.from(parts.join(""), "utf8"), boundaries };
}

function boundaryLevels(prompt: RenderedPrompt, chain: PrefixChain): number[] {
  const levels: number[] = [];
  let blocks = 0;
  for (const boundary of prompt.boundaries) {
    const before = blocks;
    while (blocks < chain.ends.length && chain.ends[blocks]! <= boundary) {
      blocks++;
    }
    if (blocks > before && blocks < chain.keys.length) levels.push(blocks);
  }
  return levels;
}

function textLevels(blockCount: number): number[] {
  const levels: number[] = [];
  let blocks = FIRST_TEXT_LEVEL_BLOCKS;
  for (; blocks < blockCount; blocks *= 2) levels.push(blocks);
  return levels;
}
