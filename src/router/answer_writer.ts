/** Writes the response of a request's runs to its client. */
import { answerHeaders } from "../platform/mod.ts";
import type { PartialAnswer, Progress, Send } from "./attempt.ts";
import { hasDataBehindId } from "./event_splitter.ts";
import type { OpenRunsParts } from "./open_runs.ts";
import type { ProcessCheck } from "./process_check.ts";
import type { AnswerPart } from "./read_answer.ts";
import type { AnswerSink, RoutedRequest, SinkHead } from "./request.ts";
import type { SoftwareRecord } from "./software_record.ts";
import { originAt } from "./software_versions.ts";
import type { StreamOrigins } from "./stream_origins.ts";

/** Largest error response that is kept while other servers are tried: many requests may keep one. */
const MAX_KEPT_FAILURE_BYTES = 64 * 1024;

/** Dependencies of {@link AnswerWriter}. */
export interface AnswerWriterParts extends Pick<OpenRunsParts, "resends"> {
  origins: Pick<StreamOrigins, "began" | "completed">;
  versionRecord: Pick<SoftwareRecord, "untilRecorded">;
  processes: Pick<ProcessCheck, "isRegistered">;
}

/** Destination of a response and the state of its request. */
export interface AnswerWriterTask {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
}

/** Writes the response of one request. */
export class AnswerWriter {
  readonly #parts: AnswerWriterParts;
  readonly #task: AnswerWriterTask;
  /** Error response of a server, used if no run delivers a better one. */
  #failure: { send: Send; body: Buffer } | undefined;
  /** The send whose events were written last. */
  #writing: Send | undefined;
  /** A run was given up before its first event, as its process was not known. */
  #wasUncertain = false;
  /** The stream that was started declares its end. */
  #isFramed = true;

  private constructor(
    parts: AnswerWriterParts,
    task: AnswerWriterTask,
  ) {
    this.#parts = parts;
    this.#task = task;
  }

  /**
   * @param parts Record the origin of a stream.
   * @param task Destination of the response.
   * @returns A writer that has written nothing yet.
   */
  static create(
    parts: AnswerWriterParts,
    task: AnswerWriterTask,
  ): AnswerWriter {
    return new AnswerWriter(parts, task);
  }

  /**
   * @param send Send whose answer is read.
   * @param part The part that has arrived.
   * @returns Whether it may follow what the client has of its stream: the software that wrote it is known
   *   to have the same version. A stream that begins is sent elsewhere once if its software is not known.
   */
  async mayContinueWith(send: Send, { kind }: AnswerPart): Promise<boolean> {
    if (kind !== "events" && kind !== "stream_end") return true;
    if (this.#writing === send) return true;
    const { request, progress } = this.#task;
    const { processes, resends } = this.#parts;
    if (progress.origin) return await processes.isRegistered(send);
    if (this.#wasUncertain || await processes.isRegistered(send)) return true;
    this.#wasUncertain = resends.mayResendElsewhere(request, progress);
    return !this.#wasUncertain;
  }

  /**
   * @param send Send whose run produced the events.
   * @param events Complete events that follow the last one written.
   */
  async writeEvents(
    send: Send,
    { bytes, lastEventId }: Extract<AnswerPart, { kind: "events" }>,
  ): Promise<void> {
    const { sink, progress } = this.#task;
    this.#writing = send;
    if (!progress.streamStarted) await this.#recordOrigin(send);
    this.#writeHead(send);
    const isBehind = lastEventId === undefined && progress.hasEventsBehindId;
    progress.hasEventsBehindId = isBehind || hasDataBehindId(bytes);
    progress.lastEventId = lastEventId ?? progress.lastEventId;
    await sink.write(bytes);
  }

  /**
   * @param send Send whose stream has ended.
   * @returns Whether the client's stream may end with it: a stream that declares its end may not end
   *   where the server's connection merely closed.
   */
  mayEndWith({ answer }: Send): boolean {
    const isStarted = this.#task.progress.streamStarted;
    return answer!.head.isFramed || !isStarted || !this.#isFramed;
  }

  /** @param send Send whose stream is complete. */
  endStream(send: Send): void {
    this.#writeHead(send);
    this.#task.sink.end();
    this.#recordEnd(send);
    this.#parts.origins.completed(this.#task.request);
  }

  /**
   * @param send Send whose response is written.
   * @param body Its complete body.
   */
  writeWhole(send: Send, body: Buffer): void {
    this.#recordEnd(send);
    this.#task.sink.send(toSinkHead(send.answer!), body);
  }

  /**
   * @param send Send whose error response is kept, unless it is large, in case no other one arrives.
   * @param body Its complete body.
   */
  keepFailure(send: Send, body: Buffer): void {
    if (body.length > MAX_KEPT_FAILURE_BYTES) return;
    this.#failure = { send, body };
  }

  /**
   * Writes the error response that was kept, unless a stream has started.
   *
   * @returns Its status; undefined if nothing was written.
   */
  writeKeptFailure(): number | undefined {
    if (!this.#failure || this.#task.progress.streamStarted) return undefined;
    const { send, body } = this.#failure;
    this.writeWhole(send, body);
    return send.answer!.head.status;
  }

  #recordEnd({ answer }: Send): void {
    this.#task.progress.hasUndeclaredEnd = !answer!.head.isFramed || undefined;
  }

  async #recordOrigin(send: Send): Promise<void> {
    const { request, progress } = this.#task;
    const { origins, versionRecord, processes } = this.#parts;
    if (!progress.origin) {
      const origin = originAt(send.choice.server.entry);
      const isCertain = await processes.isRegistered(send);
      progress.origin = isCertain ? origin : { ...origin, isUncertain: true };
    }
    // A client that takes such a stream up is told that its origin is unknown.
    if (progress.origin.isUncertain) return;
    origins.began(request, progress.origin);
    if (!request.route.resumable) return;
    await versionRecord.untilRecorded(progress.origin);
  }

  #writeHead({ answer }: Send): void {
    const { sink, progress } = this.#task;
    if (progress.streamStarted) return;
    progress.streamStarted = true;
    this.#isFramed = answer!.head.isFramed;
    sink.begin(toSinkHead(answer!));
  }
}

/** The client's answer declares its end only if the server's does. */
function toSinkHead({ head }: PartialAnswer): SinkHead {
  const { status, headers, isFramed } = head;
  return { status, headers: answerHeaders(headers), isFramed };
}
