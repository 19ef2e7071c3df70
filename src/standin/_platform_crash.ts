/** Requests that crash the stand-in for a backend server of the platform. */
import type { HostRequest } from "./_http_host.ts";
import type { StandinBackendServerFaults } from "./backend_server_options.ts";

/**
 * @param request A request that the server runs.
 * @param faults Faults of the server.
 * @returns Whether the server crashes when it begins to answer.
 */
export function isCrashing(
  { url, headers }: HostRequest,
  { endOnTarget, endOnPart }: StandinBackendServerFaults,
): boolean {
  if (url.pathname === endOnTarget) return true;
  const ids = String(headers["prompt-prefix"] ?? "").split(",")
    .map((part) => part.split(":")[0]!.trim());
  return endOnPart !== undefined && ids.slice(0, -1).includes(endOnPart);
}

/**
 * Sends the headers of a stream.
 *
 * @param request A request that the server runs.
 * @param seal Identifies the backend server in the response headers.
 */
export function sendStreamHead(
  { headers, response }: HostRequest,
  seal: string,
): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "server-seal": seal,
    "attempt-id": String(headers["attempt-id"]),
  });
  response.flushHeaders();
}
