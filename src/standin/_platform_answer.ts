/** Non-streaming answers of the stand-in for a backend server of the platform. */
import type { HostRequest } from "./_http_host.ts";
import {
  consumeFault,
  type StandinBackendServerFaults,
} from "./backend_server_options.ts";

/** Body of every non-streaming answer. */
export const PLAIN_ANSWER_BODY = "done";

/** Settings of {@link answerCall}. */
export interface AnswerOptions {
  faults: StandinBackendServerFaults;
  /** Identifies the backend server in the response headers. */
  seal: string;
}

/**
 * Answers a plain call, subject to the faults.
 *
 * @param request A call that was executed.
 * @param options Seal of the backend server and faults to inject.
 */
export function answerCall(
  { headers, response }: HostRequest,
  { faults, seal }: AnswerOptions,
): void {
  const isFailure = consumeFault(faults, "fail");
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
  const { bodyLateMs } = faults;
  response.writeHead(isFailure ? 500 : 200, {
    "server-seal": seal,
    "attempt-id": id,
  });
  if (bodyLateMs === 0) return void response.end(PLAIN_ANSWER_BODY);
  response.flushHeaders();
  setTimeout(() => response.end(PLAIN_ANSWER_BODY), bodyLateMs).unref();
}
