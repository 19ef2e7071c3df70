/** Client for chat requests, whose expected answers are known in advance. */
import { SAMPLE_MODEL } from "../cli/sample_team.ts";
import { expectedAnswerTo } from "../standin/mod.ts";
import type { Fleet, RunningEntry } from "./_fleet.ts";

const DATA = "data: ";
const DONE = "[DONE]";

/** Body of a chat completion request. */
export interface ChatBody extends Record<string, unknown> {
  model: string;
  messages: { role: "user"; content: string }[];
  max_tokens: number;
}

/** Outcome of a streamed call. */
export interface StreamResult {
  text: string;
  /** True if the stream ended with `[DONE]`. */
  isDone: boolean;
  /** Number of events received, including `[DONE]`. */
  events: number;
  /** Error event, or the error that ended the connection. */
  error: unknown;
}

interface ChatAnswer {
  choices: { message: { content: string } }[];
  usage: { completion_tokens: number };
}

interface ChatEvent {
  choices?: { delta?: { content?: string } }[];
  error?: unknown;
}

/**
 * @param content The prompt.
 * @param maxTokens Length of the answer in tokens.
 * @returns Body of a chat completion request.
 */
export function chatBody(content: string, maxTokens = 16): ChatBody {
  const messages = [{ role: "user" as const, content }];
  return { model: SAMPLE_MODEL, messages, max_tokens: maxTokens };
}

/** @returns The exact text with which the stand-in engine answers. */
export function answerTo(body: ChatBody): string {
  return expectedAnswerTo("chat", body);
}

/** Client of one fleet. */
export class Client {
  readonly #fleet: Fleet;

  private constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** @param fleet Fleet whose caller key is used. */
  static create(fleet: Fleet): Client {
    return new Client(fleet);
  }

  /** @returns Text and token usage of a non-streaming answer. */
  async whole(
    entry: RunningEntry,
    body: ChatBody,
  ): Promise<{ text: string; completionTokens: number }> {
    const response = await this.post(entry, body);
    const answer = await response.json() as ChatAnswer;
    if (response.status !== 200) throw new Error(JSON.stringify(answer));
    const text = answer.choices[0]?.message.content ?? "";
    return { text, completionTokens: answer.usage.completion_tokens };
  }

  /**
   * Reads a streamed answer.
   *
   * @param entry Entry that is called.
   * @param body Request body; `stream` is added.
   * @param onEvent Called after each event with its number, starting at 1.
   * @returns Outcome of the call.
   */
  async stream(
    entry: RunningEntry,
    body: ChatBody,
    { onEvent }: { onEvent?: (number: number) => void } = {},
  ): Promise<StreamResult> {
    const response = await this.post(entry, { ...body, stream: true });
    if (response.status !== 200) throw new Error(await response.text());
    const result: StreamResult = {
      text: "",
      isDone: false,
      events: 0,
      error: undefined,
    };
    try {
      for await (const data of readEvents(response)) {
        result.events += 1;
        applyEvent(result, data);
        onEvent?.(result.events);
      }
    } catch (error) {
      result.error ??= error;
    }
    return result;
  }

  /** @returns Response whose body has not been read. */
  async post(
    entry: RunningEntry,
    body: Record<string, unknown>,
  ): Promise<Response> {
    return await fetch(`${entry.url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json", ...this.#fleet.headers },
      body: JSON.stringify(body),
    });
  }
}

function applyEvent(result: StreamResult, data: string): void {
  if (data === DONE) {
    result.isDone = true;
    return;
  }
  const event: ChatEvent = JSON.parse(data);
  result.error ??= event.error;
  for (const { delta } of event.choices ?? []) {
    result.text += delta?.content ?? "";
  }
}

async function* readEvents(response: Response): AsyncGenerator<string> {
  let buffered = "";
  const decoder = new TextDecoder();
  for await (const chunk of response.body!) {
    buffered += decoder.decode(chunk, { stream: true });
    const events = buffered.split("\n\n");
    buffered = events.pop() ?? "";
    for (const line of events.flatMap((event) => event.split("\n"))) {
      if (line.startsWith(DATA)) yield line.slice(DATA.length);
    }
  }
}
