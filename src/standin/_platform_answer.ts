/** Plain answers of the stand-in for a backend server of the platform. */
import type { HostRequest } from "./_http_host.ts";
import {
  type StandinPlatformWorkerFaults,
  take,
} from "./platform_worker_options.ts";

/** Body of every plain answer. */
export const PLAIN_BODY = "done";

/** Who answers. */
export interface AnswerOptions {
  faults: StandinPlatformWorkerFaults;
  seal: string;
}

/**
 * @param request A call that ran.
 * @param options Who answers, and what goes wrong.
 */
export function answerCall(
  { headers, response }: HostRequest,
  { faults, seal }: AnswerOptions,
): void {
  const isFailure = take(faults, "fail");
  const id = take(faults, "foreign") ? "other" : String(headers["attempt-id"]);
  if (take(faults, "unframed")) {
    response.socket?.end(
      `HTTP/1.1 200 OK\r\nserver-seal: s\r\nattempt-id: ${id}\r\n\r\n` +
        PLAIN_BODY,
    );
    return;
  }
  const { bodyLateMs } = faults;
  response.writeHead(isFailure ? 500 : 200, {
    "server-seal": seal,
    "attempt-id": id,
  });
  if (bodyLateMs === 0) return void response.end(PLAIN_BODY);
  response.flushHeaders();
  setTimeout(() => response.end(PLAIN_BODY), bodyLateMs).unref();
}
