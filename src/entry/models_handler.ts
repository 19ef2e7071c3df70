/** Serves `GET /v1/models`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { writeFailure } from "./answer_sink.ts";
import { authenticate } from "./auth.ts";
import type { HandlerDeps } from "./handler_deps.ts";
import { modelIds } from "./model_request.ts";

/**
 * Lists the models and adapters in the branch of the caller's team.
 *
 * @param deps Branches in force.
 * @param request The request.
 * @param response The response to write.
 */
export function serveModels(
  deps: HandlerDeps,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { authorization } = request.headers;
  const identified = authenticate(deps.branches, authorization);
  if (identified.isErr) return writeFailure(response, identified.error);
  const { team, branch } = identified.value;
  const data = modelIds(branch).map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: team,
  }));
  const body = JSON.stringify({ object: "list", data });
  response.writeHead(200, {
    "content-type": "application/json; charset=utf-8",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
