/** Digests of requests, which identify attempts of the same request. */
import { hashRequest } from "../suspects/mod.ts";
import type { RoutedRequest } from "./request.ts";

/** Fields of a request that its digest covers. */
type HashedRequest = Pick<RoutedRequest, "facts" | "workspace" | "body">;

/** Cache of digests, by request object. */
const digests = new WeakMap<object, string>();

/**
 * @param request A request; its id is not covered, as each attempt of a client has its own.
 * @returns A digest of the method, host, path, workspace and body. The workspace identifies the
 * caller instead of the key, because keys are rotated.
 */
export function digestOf(request: HashedRequest): string {
  const digest = digests.get(request) ?? hash(request);
  digests.set(request, digest);
  return digest;
}

function hash({ facts, workspace, body }: HashedRequest): string {
  const { method, host, target } = facts;
  return hashRequest([method, host, target, workspace?.name ?? ""], body);
}
