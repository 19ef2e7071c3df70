/** A client of a soak: it uses one open connection to one entry until that entry's process is gone. */
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  attemptIdOf,
  completeStreamBody,
  HOST,
  KEY,
  MODEL_REQUEST_HEADERS,
  PLAIN_ANSWER_BODY,
  toRequestHeaders,
} from "../standin/mod.ts";
import type { ClientEnd, ClientRecord } from "./_soak_oracles.ts";

/** Pause between two requests on a connection. */
const PAUSE_MS = 60;
/** Pause after a connection could not be made. */
const RECONNECT_MS = 100;
const DEADLINE_MS = 4000;
/** After this, a request counts as never answered. */
const GIVE_UP_MS = DEADLINE_MS + 2000;
const EVENTS = 6;

const ROUTES = [
  { path: "/book/", isIdempotent: false, body: PLAIN_ANSWER_BODY },
  { path: "/look/", isIdempotent: true, body: PLAIN_ANSWER_BODY },
  { path: "/stream/", isIdempotent: true, body: completeStreamBody(EVENTS) },
  { path: "/once/", isIdempotent: false, body: completeStreamBody(EVENTS) },
];

/** Address of an entry, and its number. */
export interface ClientTarget {
  index: number;
  ipAddress: string;
  clientPort: number;
}

/** Settings of a client. */
export interface SoakClientOptions {
  name: string;
  random: () => number;
  /** Receives each request that has ended. */
  records: ClientRecord[];
}

/**
 * Sends requests until the signal is aborted.
 *
 * @param target The entry.
 * @param options Name, randomness and records.
 * @param signal Ends the client after its current request.
 */
export async function runClient(
  target: ClientTarget,
  { name, random, records }: SoakClientOptions,
  signal: AbortSignal,
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let i = 0; !signal.aborted; i++) {
    const route = ROUTES[Math.floor(random() * ROUTES.length)]!;
    const id = `${name}-${i}`;
    const sentAtMs = performance.now();
    const end = await ask(target, { agent, id, route });
    records.push({
      id,
      entry: target.index,
      isIdempotent: route.isIdempotent,
      sentAtMs,
      deadlineMs: DEADLINE_MS,
      endedAtMs: performance.now(),
      end,
    });
    await sleep(end.kind === "broken" ? RECONNECT_MS : PAUSE_MS * random());
  }
  agent.destroy();
}

function ask(
  { ipAddress, clientPort }: ClientTarget,
  { agent, id, route }: {
    agent: Agent;
    id: string;
    route: typeof ROUTES[number];
  },
): Promise<ClientEnd> {
  return new Promise((resolve) => {
    const broken = (reason: string) => resolve({ kind: "broken", reason });
    const request = httpRequest({
      host: ipAddress,
      port: clientPort,
      method: "POST",
      path: route.path + id,
      agent,
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        ...MODEL_REQUEST_HEADERS,
        ...toRequestHeaders({ id, timeMs: DEADLINE_MS }),
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += chunk);
      response.on("error", () => broken("answer_cut"));
      response.on("close", () => {
        if (!response.complete) return broken("answer_cut");
        const status = response.statusCode ?? 0;
        const isOwnAnswer = attemptIdOf(response.headers) === id &&
          body === route.body;
        resolve({ kind: "answered", status, isOwnAnswer });
      });
    });
    request.setTimeout(GIVE_UP_MS, () => request.destroy(new Error("timeout")));
    request.on(
      "error",
      (error: NodeJS.ErrnoException) => broken(error.code ?? error.message),
    );
    request.end("payload");
  });
}
