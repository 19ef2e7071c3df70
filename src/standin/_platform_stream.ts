/** Event streams of the stand-in for a backend server of the platform. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { untilArrived } from "./_unframed_answers.ts";
import type { StreamStall } from "./backend_server_options.ts";

/** A stream in progress. */
export interface RunningStream {
  response: ServerResponse;
  /** Id of the last event that was sent; ids start at 1. */
  lastEventId: number;
}

/** Length, timing and faults of a stream. */
export interface WriteEventsOptions {
  /** Number of events in a complete stream. */
  events: number;
  /** Pause after each event. */
  eventMs: number;
  /** Number of complete events before the connection is cut mid-event; undefined: never. */
  cutAfter?: number;
  /** Ends the answer after this number of complete events; undefined: never. */
  end?: { afterEvents: number; run(): void };
  /** Stall to inject; undefined: none. */
  stall?: StreamStall;
  /** Text that marks each event as written by this server; undefined: no mark. */
  writer?: string;
}

/**
 * Closes the response when the deadline given in the request's headers expires.
 *
 * @param headers Headers of the request.
 * @param response Response to the request.
 */
export function endAtDeadline(
  headers: IncomingHttpHeaders,
  response: ServerResponse,
): void {
  const leftMs = Number(headers["deadline-ms"]);
  if (!Number.isFinite(leftMs)) return;
  const timer = setTimeout(() => response.destroy(), leftMs);
  response.once("close", () => clearTimeout(timer));
}

/**
 * Lets the end of the connection end a stream, in place of chunks.
 *
 * @param response Response whose headers were not sent yet.
 */
export function omitLength(response: ServerResponse): void {
  response.removeHeader("transfer-encoding");
}

/**
 * Writes the events after the stream's last one.
 *
 * @param stream Stream to continue.
 * @param options Length, timing and faults.
 */
export async function writeEvents(
  stream: RunningStream,
  { events, eventMs, cutAfter, end, stall, writer }: WriteEventsOptions,
): Promise<void> {
  const { response } = stream;
  const mark = writer === undefined ? "" : ` ${writer}`;
  for (let i = stream.lastEventId + 1; i <= events; i++) {
    if (stall && i === stall.afterEvent + 1) {
      if (stall.isAfterHeaders) response.flushHeaders();
      await sleep(stall.pauseMs, undefined, { ref: false });
      await stall.opened;
    }
    if (response.destroyed) return;
    if (cutAfter !== undefined && i > cutAfter) {
      response.write(`id: ${i}\nda`, () => response.destroy());
      return;
    }
    if (end && i > end.afterEvents) {
      await untilArrived();
      return end.run();
    }
    response.write(`id: ${i}\ndata: x${i}${mark}\n\n`);
    stream.lastEventId = i;
    if (eventMs > 0) await sleep(eventMs);
  }
  response.end();
}
