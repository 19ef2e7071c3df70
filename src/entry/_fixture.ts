/** Test fixture: an entry with scripted agents, requests to send and helpers to read answers. */
import { ClientMemory } from "../base/client_memory.ts";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import type { ErrorBody } from "./errors.ts";
import { Entry, type EntryTuning } from "./mod.ts";
import { closeAtEnd } from "./_cleanup.ts";
import { KEY } from "./_fake_agent.ts";

/** Short timeouts, so that tests of silent agents finish quickly. */
export const TEST_TUNING: Partial<EntryTuning> = {
  progressMs: 100,
  cancelTimeoutMs: 200,
};

/** @returns A budget that no test uses up. */
export function testClientMemory(): ClientMemory {
  return ClientMemory.create({ clock: systemClock, maxBytes: 2 ** 26 });
}

/**
 * @param agents Seed addresses of the entry.
 * @param tuning Overrides of {@link TEST_TUNING}.
 * @param options How long `/readyz` fails before a graceful shutdown closes the listener, in ms.
 * @returns A running entry that has discovered all of the agents.
 */
export async function startEntry(
  agents: { address: string }[],
  tuning: Partial<EntryTuning> = {},
  { unreadyMs = 0 }: { unreadyMs?: number } = {},
): Promise<Entry> {
  const entry = await Entry.create({
    instanceId: "entry-1",
    zone: "a",
    httpAddress: "127.0.0.1:0",
    adminAddress: "",
    adminKeySha256: "",
    peerAddress: "127.0.0.1:0",
    storeAddress: "",
    instanceListUrl: "",
    seedAddresses: agents.map(({ address }) => address),
    security: { kind: "plain" },
    policy: "offers",
    zoneRttMs: { a: 0 },
    drainMs: 5000,
    unreadyMs,
    log: createSilentLogger(),
    clock: systemClock,
    tuning: { ...TEST_TUNING, ...tuning },
  });
  closeAtEnd(() => entry.stop());
  while (entry.dumpState().instances.length < agents.length) {
    await systemClock.sleep(5);
  }
  return entry;
}

/** A request to send; the defaults make it a chat request. */
export interface Call {
  path?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: unknown;
  signal?: AbortSignal;
}

/**
 * @param entry The entry to send to.
 * @param call The request; each field that is left out has the value of a plain chat request.
 * @returns The HTTP response.
 */
export function send(entry: Entry, call: Call = {}): Promise<Response> {
  const { path = "/v1/chat/completions", method = "POST" } = call;
  const body = call.body ?? CHAT;
  return fetch(`http://${entry.httpAddress}${path}`, {
    method,
    headers: { authorization: `Bearer ${KEY}`, ...call.headers },
    body: method === "GET"
      ? undefined
      : typeof body === "string"
      ? body
      : JSON.stringify(body),
    signal: call.signal,
  });
}

/** Body of a chat request. */
export const CHAT = { model: "m", messages: [{ role: "user", content: "hi" }] };
/** Body of a chat request that asks for a streamed answer. */
export const STREAM = { ...CHAT, stream: true };

/**
 * @param text Content of the chunk.
 * @param finishReason Set on the last chunk of an answer.
 * @returns A chunk of a streamed chat answer, as JSON.
 */
export function chunk(
  text: string,
  finishReason: string | null = null,
): string {
  const delta = { content: text };
  return JSON.stringify({
    id: "c1",
    object: "chat.completion.chunk",
    created: 1,
    model: "m",
    choices: [{ index: 0, delta, finish_reason: finishReason }],
  });
}

/** Chunks of a chat answer with the content "abc". */
export const ABC = [chunk("a"), chunk("b"), chunk("c", "stop")];

/**
 * @param sse Body of a streamed answer.
 * @returns The data of each server-sent event.
 */
export function eventsOf(sse: string): string[] {
  return sse.split("\n\n").filter((event) => event !== "")
    .map((event) => event.replace(/^data: /, ""));
}

/**
 * @param answer An error response.
 * @returns The error object of its body.
 */
export async function errorOf(answer: Response): Promise<ErrorBody["error"]> {
  const { error } = await answer.json() as ErrorBody;
  return error;
}
