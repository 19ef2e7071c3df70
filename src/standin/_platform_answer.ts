/** Non-streaming answers of the stand-in for a backend server of the platform. */
import type { ServerResponse } from "node:http";
import type { HostRequest } from "./_http_host.ts";
import { type UnframedAnswers, untilArrived } from "./_unframed_answers.ts";
import {
  consumeFault,
  type StandinBackendServerFaults,
} from "./backend_server_options.ts";

/** Body of every non-streaming answer. */
export const PLAIN_ANSWER_BODY = "done";
/** Length of the part that is sent of an answer that is cut. */
const PART_LENGTH = 2;

/** Settings of {@link answerCall}. */
export interface AnswerOptions {
  faults: StandinBackendServerFaults;
  /** Identifies the backend server in the response headers. */
  seal: string;
  /** Receives an answer that has neither a length nor chunks. */
  unframed: UnframedAnswers;
  /** Cuts the answer after a part; undefined: it is sent whole. */
  onPart?: () => void;
}

/**
 * Answers a plain call, subject to the faults.
 *
 * @param request A call that was executed.
 * @param options Seal of the backend server and faults to inject.
 */
export function answerCall(
  { headers, response }: HostRequest,
  { faults, seal, unframed, onPart }: AnswerOptions,
): void {
  const isFailure = !onPart && consumeFault(faults, "fail");
  const id = consumeFault(faults, "foreign")
    ? "other"
    : String(headers["attempt-id"]);
  if (consumeFault(faults, "unframed")) {
    response.socket?.end(
      `HTTP/1.1 200 OK\r\nserver-seal: s\r\nattempt-id: ${id}\r\n\r\n` +
        PLAIN_ANSWER_BODY,
    );
    return;
  }
  const { bodyLateMs, isUnframed } = faults;
  if (isUnframed || onPart) unframed.begin(id, response);
  response.writeHead(isFailure ? 500 : 200, {
    "server-seal": seal,
    "attempt-id": id,
  });
  if (onPart) {
    response.write(PLAIN_ANSWER_BODY.slice(0, PART_LENGTH));
    return void untilArrived().then(onPart);
  }
  if (bodyLateMs === 0) return void response.end(PLAIN_ANSWER_BODY);
  response.flushHeaders();
  setTimeout(() => response.end(PLAIN_ANSWER_BODY), bodyLateMs).unref();
}

/**
 * Answers without a body.
 *
 * @param response The answer.
 * @param status HTTP status.
 * @param headers Headers of the answer.
 */
export function answerEmpty(
  response: ServerResponse,
  status: number,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, headers);
  response.end();
}
