/** One attempt: reads a run at one agent and passes it on to the caller. */
import type { Refusal, RunEnd, RunStarted } from "../wire/gen/cicadahitch.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { RunLoss } from "./run_events.ts";
import type { RunStream } from "./run_stream.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  /** The agent ended the run, well or not. */
  | { kind: "ended"; end: RunEnd }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "lost"; loss: RunLoss }
  /** The agent is silent; reading may go on. */
  | { kind: "silent"; silences: number };

/** Told of an attempt's progress. */
export interface AttemptObserver {
  onStarted(started: RunStarted): void;
  onPieces(): void;
}

/**
 * @param stream The run.
 * @param sink The caller.
 * @param observer Told of progress.
 * @returns How it ended; the caller has all pieces by then.
 */
export async function passOn(
  stream: RunStream,
  sink: AnswerSink,
  observer: AttemptObserver,
): Promise<AttemptOutcome> {
  for (;;) {
    const event = await stream.next();
    switch (event.kind) {
      case "started":
        observer.onStarted(event.started);
        break;
      case "head":
        sink.head(event.head);
        break;
      case "pieces": {
        observer.onPieces();
        const room = sink.pieces(event.data);
        if (room) await room;
        stream.consumed();
        break;
      }
      case "end":
        return { kind: "ended", end: event.end };
      case "refused":
        return { kind: "refused", refusal: event.refusal };
      case "lost":
        return { kind: "lost", loss: event.loss };
      case "silent":
        return event;
    }
  }
}
