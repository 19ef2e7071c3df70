/** Streams of the stand-in for a backend server of the platform. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { StreamStall } from "./platform_worker_options.ts";

/** A stream under way. */
export interface RunningStream {
  response: ServerResponse;
  /** Last event that was sent. */
  last: number;
}

/** What a stream is made of. */
export interface EventsOptions {
  /** Events of the whole stream. */
  events: number;
  /** Pause between them. */
  eventMs: number;
  /** Breaks off in the middle of the event after this one; left out: not at all. */
  cutAfter?: number;
  /** Left out: it does not pause. */
  stall?: StreamStall;
}

/**
 * Work on a stream stops when the time that came with it is over.
 *
 * @param headers Headers of the request.
 * @param response Its answer.
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
 * @param stream Whose events follow its last one.
 * @param options How many, and how fast.
 */
export async function writeEvents(
  stream: RunningStream,
  { events, eventMs, cutAfter, stall }: EventsOptions,
): Promise<void> {
  const { response } = stream;
  for (let i = stream.last + 1; i <= events; i++) {
    if (stall && i === stall.afterEvent + 1) {
      if (stall.isBehindHead) response.flushHeaders();
      await sleep(stall.pauseMs, undefined, { ref: false });
      await stall.opened;
    }
    if (response.destroyed) return;
    if (cutAfter !== undefined && i > cutAfter) {
      response.write(`id: ${i}\nda`, () => response.destroy());
      return;
    }
    response.write(`id: ${i}\ndata: x${i}\n\n`);
    stream.last = i;
    if (eventMs > 0) await sleep(eventMs);
  }
  response.end();
}
