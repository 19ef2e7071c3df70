/** Test client that reads a marked stream event by event, and may break off and take it up again. */
import { request as httpRequest } from "node:http";
import {
  type DeclaredEnd,
  declaredEndOf,
  type EntryAddress,
  HOST,
  KEY,
} from "./platform_client.ts";

/** An event, and the server that wrote it. */
export interface MarkedEvent {
  id: number;
  serverId: string;
  softwareVersion: string;
}

/** What one attempt brought. */
export interface StreamAttempt {
  /** HTTP status; 0 if no answer began. */
  status: number;
  retryAfter?: string;
  events: MarkedEvent[];
  isComplete: boolean;
  /** The answer is complete, and its text ends in the middle of an event. */
  endsInEvent: boolean;
  /** Absent if no answer began. */
  declaredEnd?: DeclaredEnd;
}

/** One attempt of a client. */
export interface AttemptOptions {
  path: string;
  /** Headers, with the attempt's id. */
  headers: Record<string, string>;
  /** Closes the connection after this number of events; undefined: reads to the end. */
  breakAfterEvents?: number;
  /** Called for each event. */
  onEvent?(event: MarkedEvent): void;
}

/** A client's earlier attempts at a stream that it takes up again. */
export interface ResumePoint {
  /** The attempt that brought the first event. */
  firstId: string;
  lastEventId: number;
}

/**
 * Reads a stream of a server that marks its events.
 *
 * @param entry Entry to send the request to.
 * @param options The request, and when to break off.
 * @returns What arrived; never rejects.
 */
export function readStream(
  { clientPort, ipAddress }: EntryAddress,
  { path, headers, breakAfterEvents = Infinity, onEvent }: AttemptOptions,
): Promise<StreamAttempt> {
  return new Promise((resolve) => {
    const attempt: StreamAttempt = {
      status: 0,
      events: [],
      isComplete: false,
      endsInEvent: false,
    };
    const request = httpRequest({
      host: ipAddress,
      port: clientPort,
      method: "POST",
      path,
      agent: false,
      headers: { host: HOST, authorization: `Bearer ${KEY}`, ...headers },
    }, (response) => {
      attempt.status = response.statusCode ?? 0;
      attempt.retryAfter = response.headers["retry-after"];
      const reader = MarkedEventReader.create();
      let isCut = false;
      response.on("data", (chunk) => {
        for (const event of reader.push(String(chunk))) {
          if (attempt.events.length >= breakAfterEvents) break;
          attempt.events.push(event);
          onEvent?.(event);
        }
        if (attempt.events.length < breakAfterEvents) return;
        isCut = true;
        request.destroy();
      });
      // Only the request tells that a body without a length was reset.
      request.on("error", () => isCut = true);
      response.on("error", () => {});
      response.on("close", () => {
        attempt.isComplete = response.complete && !isCut;
        attempt.endsInEvent = attempt.isComplete && reader.isInEvent;
        attempt.declaredEnd = declaredEndOf(response.headers);
        resolve(attempt);
      });
    });
    request.on("error", () => {
      if (attempt.status === 0) resolve(attempt);
    });
    request.end("payload");
  });
}

/**
 * @param point Where the client takes the stream up.
 * @returns The headers that say so.
 */
export function resumeHeaders(
  { firstId, lastEventId }: ResumePoint,
): Record<string, string> {
  return { "last-event-id": String(lastEventId), resumes: firstId };
}

/**
 * @param events Events of one answer, or of several attempts at one stream.
 * @returns The software versions that wrote them, each once.
 */
export function writersOf(events: readonly MarkedEvent[]): string[] {
  return [...new Set(events.map(({ softwareVersion }) => softwareVersion))];
}

/** Splits the text of a stream into its events. */
export class MarkedEventReader {
  #text = "";

  private constructor() {}

  /** @returns A reader at the beginning of a stream. */
  static create(): MarkedEventReader {
    return new MarkedEventReader();
  }

  /** Whether a part of an event was read. */
  get isInEvent(): boolean {
    return this.#text !== "";
  }

  /**
   * @param text The next part of the stream.
   * @returns The events that it completes.
   */
  push(text: string): MarkedEvent[] {
    this.#text += text;
    const end = this.#text.lastIndexOf("\n\n");
    if (end < 0) return [];
    const blocks = this.#text.slice(0, end).split("\n\n");
    this.#text = this.#text.slice(end + 2);
    return blocks.map(readEvent);
  }
}

/**
 * @param text Text of a stream.
 * @returns The text without the marks of the servers that wrote it.
 */
export function withoutMarks(text: string): string {
  return text.replace(/^(data: x\d+) .*$/gm, "$1");
}

/** A block that is not one whole event has the id 0, which no event has. */
function readEvent(block: string): MarkedEvent {
  const [, id = "", serverId = "", softwareVersion = ""] =
    /^id: (\d+)\ndata: x\1 (\S+) (\S+)$/.exec(block) ?? [];
  return { id: Number(id), serverId, softwareVersion };
}
