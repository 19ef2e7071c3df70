/** HTTP calls to a fleet, with everything that the caller received. */
import { SAMPLE_CALLER_KEY, SAMPLE_MODEL } from "../cli/sample_team.ts";
import { expectedAnswerTo } from "../standin/mod.ts";
import type { EntrySlot } from "./_fleet.ts";

/** Outcome of one call, as its caller received it. */
export interface CallResult {
  /** `cut`: the connection ended or timed out before a complete answer or an error. */
  kind: "answer" | "error" | "cut";
  /** HTTP status; 0 if no response header arrived. */
  status: number;
  /** Request id that the entry assigned; empty if no response header arrived. */
  requestId: string;
  /** Text of the answer that was received, possibly incomplete. */
  text: string;
  /** Error code; empty if there was no error. */
  code: string;
  /** Whether the call ran, according to the error; empty if the error did not state it. */
  execution: string;
  /** True if the entry was stopped or restarted during the call. */
  entryDied: boolean;
}

/** Body of a chat completion request. */
export interface ChatBody extends Record<string, unknown> {
  model: string;
  messages: { role: "user"; content: string }[];
  max_tokens: number;
}

/** Options of a call besides its body. */
export interface CallOptions {
  headers?: Record<string, string>;
  /** Called for each event of a stream with its number, starting at 1. */
  onEvent?: (number: number) => void;
}

interface ErrorValue {
  code?: string;
  execution?: string;
}

/** Client timeout; longer than any call takes under any injected fault. */
const MAX_CALL_MS = 40_000;
const REQUEST_ID = "x-cicadahitch-request-id";

/**
 * @param content The prompt.
 * @param maxTokens Length of the answer in tokens.
 * @returns Body of a chat completion request.
 */
export function chatBody(content: string, maxTokens = 40): ChatBody {
  const messages = [{ role: "user" as const, content }];
  return { model: SAMPLE_MODEL, messages, max_tokens: maxTokens };
}

/** @returns The exact text of the correct answer to a request body. */
export function answerTo(body: ChatBody): string {
  return expectedAnswerTo("chat", body);
}

/** @returns Outcome of a chat completion call that does not stream. */
export function callNonStreaming(
  slot: EntrySlot,
  body: ChatBody,
  options: CallOptions = {},
): Promise<CallResult> {
  const read = async (response: Response, result: CallResult) => {
    const answer = await response.json() as {
      choices: { message: { content: string } }[];
    };
    result.text = answer.choices[0]!.message.content;
  };
  const path = "/v1/chat/completions";
  return call(slot, { path, body, read, ...options });
}

/** @returns Outcome of a chat completion call that streams. */
export function callStreaming(
  slot: EntrySlot,
  body: ChatBody,
  options: CallOptions = {},
): Promise<CallResult> {
  const read = (response: Response, result: CallResult) =>
    readStream(response, result, options.onEvent);
  const path = "/v1/chat/completions";
  return call(slot, {
    path,
    body: { ...body, stream: true },
    read,
    ...options,
  });
}

/**
 * @param slot Entry that is called.
 * @param body Body of the booking.
 * @param key Idempotency key; empty to send none.
 * @returns Outcome of the call; the text of an answer is JSON.
 */
export function callBooking(
  slot: EntrySlot,
  body: Record<string, unknown>,
  key: string,
): Promise<CallResult> {
  const path = "/services/bookings/bookings";
  const headers: Record<string, string> = key ? { "idempotency-key": key } : {};
  return call(slot, { path, body, read: readText, headers });
}

/** @returns Outcome of a call to a repeatable route, which returns the given word. */
export function callEcho(slot: EntrySlot, word: string): Promise<CallResult> {
  const path = `/services/bookings/echo?word=${word}`;
  return call(slot, { path, read: readText });
}

interface Call extends CallOptions {
  path: string;
  body?: unknown;
  read: (response: Response, result: CallResult) => Promise<void>;
}

async function call(slot: EntrySlot, options: Call): Promise<CallResult> {
  const { path, body, read, headers } = options;
  const { generation, isUp } = slot;
  const result: CallResult = {
    kind: "cut",
    status: 0,
    requestId: "",
    text: "",
    code: "",
    execution: "",
    entryDied: false,
  };
  try {
    const response = await fetch(`http://${slot.entry.httpAddress}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: {
        authorization: `Bearer ${SAMPLE_CALLER_KEY}`,
        "content-type": "application/json",
        ...headers,
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(MAX_CALL_MS),
    });
    result.status = response.status;
    result.requestId = response.headers.get(REQUEST_ID) ?? "";
    if (response.ok) {
      await read(response, result);
      if (result.code === "") result.kind = "answer";
    } else {
      const { error } = await response.json() as { error: ErrorValue };
      recordError(result, error);
    }
  } catch {
    // `result` holds what was received before the connection ended.
  }
  result.entryDied = !isUp || !slot.isUp || slot.generation !== generation;
  return result;
}

async function readText(response: Response, result: CallResult): Promise<void> {
  result.text = await response.text();
}

async function readStream(
  response: Response,
  result: CallResult,
  onEvent: CallOptions["onEvent"],
): Promise<void> {
  let buffered = "";
  let events = 0;
  const decoder = new TextDecoder();
  for await (const chunk of response.body!) {
    buffered += decoder.decode(chunk, { stream: true });
    const blocks = buffered.split("\n\n");
    buffered = blocks.pop()!;
    for (const block of blocks) {
      const data = block.slice(block.indexOf("data: ") + "data: ".length);
      if (data === "[DONE]") return;
      applyEvent(result, JSON.parse(data));
      onEvent?.(++events);
    }
  }
  throw new Error("The stream ended without its last event");
}

function applyEvent(
  result: CallResult,
  event: {
    error?: ErrorValue;
    choices?: { delta?: { content?: string } }[];
  },
): void {
  if (event.error) recordError(result, event.error);
  for (const { delta } of event.choices ?? []) {
    result.text += delta?.content ?? "";
  }
}

function recordError(result: CallResult, error: ErrorValue): void {
  result.kind = "error";
  result.code = error.code ?? "";
  result.execution = error.execution ?? "";
}
