/** How a stand-in backend server ends an answer, and itself. */
import type { ServerResponse } from "node:http";
import type { HostAcceptance, HttpHost } from "./_http_host.ts";
import { type AnswerCut, CutEnding } from "./backend_server_options.ts";

/** Time for which the address of a server that ended accepts connections. */
const LINGER_MS = 40;

/**
 * Ends an answer of a server that lives on.
 *
 * @param response An answer that ends with its connection.
 * @param cut How the connection ends.
 */
export function endAnswer(
  response: ServerResponse,
  { isReset }: AnswerCut,
): void {
  if (isReset) response.socket?.resetAndDestroy();
  else response.end();
}

/**
 * Ends all connections of a server that ends.
 *
 * @param host The server's listener.
 * @param cut How the connections end, and what the address does then.
 */
export function endHost(
  host: HttpHost,
  { isReset, ending }: AnswerCut,
): void {
  const acceptance = acceptanceAfter(ending);
  host.endConnections({ isReset, acceptance });
  if (acceptance !== "close") return;
  setTimeout(() => void host.down(), LINGER_MS).unref();
}

function acceptanceAfter(ending: CutEnding): HostAcceptance {
  switch (ending) {
    case CutEnding.lives:
    case CutEnding.replaced:
      return "serve";
    case CutEnding.lingers:
      return "close";
    case CutEnding.silent:
      return "silent";
  }
}
