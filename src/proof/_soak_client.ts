/**
 * A client of a soak. It uses one open connection to one entry until that entry's process is gone. A
 * stream that breaks off, or that it breaks off itself, it takes up at other entries.
 */
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  attemptIdOf,
  completeStreamBody,
  DeclaredEnd,
  declaredEndOf,
  HOST,
  KEY,
  type MarkedEvent,
  MarkedEventReader,
  MODEL_REQUEST_HEADERS,
  PLAIN_ANSWER_BODY,
  readStream,
  resumeHeaders,
  type StreamAttempt,
  toRequestHeaders,
  withoutMarks,
} from "../standin/mod.ts";
import type { ClientEnd, ClientRecord, StreamRecord } from "./_soak_history.ts";

/** Pause between two requests on a connection. */
const PAUSE_MS = 60;
/** Pause after a connection could not be made, and of leavers after a refusal. */
const RECONNECT_MS = 100;
const DEADLINE_MS = 4000;
/** After this, a request counts as never answered. */
const GIVE_UP_MS = DEADLINE_MS + 2000;
/** Number of events of a whole stream. */
export const EVENTS = 6;
/** Part of the streams that a client breaks off. */
const LEAVE_SHARE = 0.2;
/** Events after which it does so. */
const LEAVE_AFTER_EVENTS = 2;
/** Of this many calls, a client sends one with bytes behind it that are no request. */
const HASTY_CALLS = 12;
const NO_REQUEST = "no request\r\n\r\n";
/** Clients that break off streams at an entry and take them up at another one. */
const LEAVERS_PER_ENTRY = 2;
/** Further attempts at a stream. */
const MAX_RETURNS = 3;

const ROUTES = [
  { path: "/book/", isIdempotent: false, isResumable: false, isStream: false },
  { path: "/look/", isIdempotent: true, isResumable: false, isStream: false },
  { path: "/stream/", isIdempotent: true, isResumable: true, isStream: true },
  { path: "/once/", isIdempotent: false, isResumable: false, isStream: true },
] as const;

const RESUMABLE_ROUTES = ROUTES.filter(({ isResumable }) => isResumable);

type Route = typeof ROUTES[number];

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
  /** Entries at which a stream is taken up. */
  entries: readonly ClientTarget[];
  /**
   * The client sends streams alone, breaks off the first attempt at each, and takes it up again where
   * that is refused.
   */
  isLeaver?: boolean;
  /** Receives each request that has ended. */
  records: ClientRecord[];
  /** Receives each stream that has ended. */
  streams: StreamRecord[];
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
  options: SoakClientOptions,
  signal: AbortSignal,
): Promise<void> {
  const { name, random, isLeaver = false } = options;
  const routes = isLeaver ? RESUMABLE_ROUTES : ROUTES;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let i = 0; !signal.aborted; i++) {
    const route = routes[Math.floor(random() * routes.length)]!;
    const id = `${name}-${i}`;
    const isLeft = isLeaver || (route.isResumable && random() < LEAVE_SHARE);
    const sentAtMs = performance.now();
    const events: MarkedEvent[] = [];
    const isHasty = !route.isStream && i % HASTY_CALLS === 0;
    const end = await ask(target, {
      agent,
      id,
      route,
      isLeft,
      isHasty,
      events,
    });
    record(options, { target, id, route, sentAtMs, end, events });
    if (route.isStream) {
      await followStream(options, { target, id, route, sentAtMs, end, events });
    }
    const isDelayed = end.kind === "broken" || (isLeaver && isRefused(end));
    await sleep(isDelayed ? RECONNECT_MS : PAUSE_MS * random());
  }
  agent.destroy();
}

/**
 * Breaks off streams at entries, and takes them up elsewhere, until the signal is aborted.
 *
 * @param targets Entries at which the streams begin.
 * @param options Entries at which they are taken up, randomness and records.
 * @param signal Ends the clients after their current streams.
 */
export async function runLeavers(
  targets: readonly ClientTarget[],
  options: SoakClientOptions,
  signal: AbortSignal,
): Promise<void> {
  const clients = targets.flatMap((target) =>
    Array.from({ length: LEAVERS_PER_ENTRY }, (_, i) => {
      const name = `${options.name}-${target.index}-${i}`;
      return runClient(target, { ...options, name, isLeaver: true }, signal);
    })
  );
  await Promise.all(clients);
}

/** An attempt that has ended. */
interface EndedAttempt {
  target: ClientTarget;
  id: string;
  route: Route;
  sentAtMs: number;
  end: ClientEnd;
  events: readonly MarkedEvent[];
}

function record(
  { records }: SoakClientOptions,
  { target, id, route, sentAtMs, end, events }: EndedAttempt,
): void {
  records.push({
    id,
    entry: target.index,
    isIdempotent: route.isIdempotent,
    sentAtMs,
    deadlineMs: DEADLINE_MS,
    endedAtMs: performance.now(),
    softwareVersion: events.at(-1)?.softwareVersion,
    end,
  });
}

/** Takes a resumable stream up until it is whole, refused, or too many attempts were made. */
async function followStream(
  options: SoakClientOptions,
  first: EndedAttempt,
): Promise<void> {
  const { entries, random, streams, isLeaver = false } = options;
  const { id, route, events } = first;
  const stream: StreamRecord = {
    id,
    isWhole: isWholeStream(first.end),
    events: [...events],
    attempts: [{
      entry: first.target.index,
      atMs: first.sentAtMs,
      endedAtMs: performance.now(),
      isTakenUp: false,
      hasBegun: events.length > 0,
    }],
  };
  streams.push(stream);
  let lastEnd = first.end;
  for (let i = 0; i < MAX_RETURNS && route.isResumable; i++) {
    const isOver = isFinal(lastEnd) && !(isLeaver && isRefused(lastEnd));
    if (isOver || stream.events.length === 0) return;
    if (isRefused(lastEnd)) await sleep(RECONNECT_MS);
    const target = entries[Math.floor(random() * entries.length)]!;
    const again = `${id}-${i}`;
    const sentAtMs = performance.now();
    const lastEventId = stream.events.at(-1)!.id;
    const isLeft = random() < LEAVE_SHARE;
    const attempt = await readStream(target, {
      path: route.path + again,
      headers: {
        ...MODEL_REQUEST_HEADERS,
        ...toRequestHeaders({ id: again, timeMs: DEADLINE_MS }),
        ...resumeHeaders({ firstId: id, lastEventId }),
      },
      breakAfterEvents: isLeft ? LEAVE_AFTER_EVENTS : undefined,
    });
    lastEnd = endOf(attempt, { isLeft, lastEventId });
    stream.events.push(...attempt.events);
    stream.isWhole = isWholeStream(lastEnd);
    stream.attempts.push({
      entry: target.index,
      atMs: sentAtMs,
      endedAtMs: performance.now(),
      isTakenUp: true,
      hasBegun: attempt.status === 200,
    });
    const { events } = attempt;
    record(options, {
      target,
      id: again,
      route,
      sentAtMs,
      end: lastEnd,
      events,
    });
  }
}

/** The end of a connection alone does not tell the client that a stream is whole; its last event does. */
function isFinal(end: ClientEnd): boolean {
  if (end.kind !== "answered") return false;
  return end.declaredEnd !== DeclaredEnd.connection || end.isOwnAnswer;
}

function isRefused(end: ClientEnd): boolean {
  return end.kind === "answered" && end.status === 503;
}

function isWholeStream(end: ClientEnd): boolean {
  return isFinal(end) && end.kind === "answered" && end.status === 200;
}

function endOf(
  { status, isComplete, endsInEvent, declaredEnd, events }: StreamAttempt,
  { isLeft, lastEventId }: { isLeft: boolean; lastEventId: number },
): ClientEnd {
  if (isComplete && declaredEnd) {
    const isAtEnd = (events.at(-1)?.id ?? lastEventId) === EVENTS;
    const isOwnAnswer = isAtEnd && !endsInEvent;
    return { kind: "answered", status, isOwnAnswer, declaredEnd };
  }
  if (isLeft && events.length === LEAVE_AFTER_EVENTS) return { kind: "left" };
  const reason = status === 0 ? "no_answer" : "answer_cut";
  return { kind: "broken", reason, declaredEnd };
}

function ask(
  { ipAddress, clientPort }: ClientTarget,
  { agent, id, route, isLeft, isHasty, events }: {
    agent: Agent;
    id: string;
    route: Route;
    isLeft: boolean;
    /** Bytes that are no request follow it at once. */
    isHasty: boolean;
    /** Receives the events of a stream. */
    events: MarkedEvent[];
  },
): Promise<ClientEnd> {
  return new Promise((resolve) => {
    let declaredEnd: DeclaredEnd | undefined;
    const broken = (reason: string) =>
      resolve({ kind: "broken", reason, declaredEnd });
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
      const end = declaredEndOf(response.headers);
      declaredEnd = end;
      const reader = MarkedEventReader.create();
      let body = "";
      response.on("data", (chunk) => {
        body += chunk;
        if (!route.isStream) return;
        events.push(...reader.push(String(chunk)));
        if (!isLeft || events.length < LEAVE_AFTER_EVENTS) return;
        events.length = LEAVE_AFTER_EVENTS;
        resolve({ kind: "left" });
        request.destroy();
      });
      response.on("error", () => broken("answer_cut"));
      response.on("close", () => {
        if (!response.complete) return broken("answer_cut");
        const status = response.statusCode ?? 0;
        const isWhole = route.isStream
          ? withoutMarks(body) === completeStreamBody(EVENTS)
          : body === PLAIN_ANSWER_BODY;
        const isOwnAnswer = attemptIdOf(response.headers) === id && isWhole;
        resolve({ kind: "answered", status, isOwnAnswer, declaredEnd: end });
      });
    });
    request.setTimeout(GIVE_UP_MS, () => request.destroy(new Error("timeout")));
    request.on(
      "error",
      (error: NodeJS.ErrnoException) => broken(error.code ?? error.message),
    );
    request.end("payload", () => {
      if (isHasty) request.socket?.write(NO_REQUEST);
    });
  });
}
