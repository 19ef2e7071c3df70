/** Tells whether two attempts of clients are the same request. */
import { hashRequest } from "../suspects/mod.ts";
import type { RoutedRequest } from "./request.ts";

/** What a digest covers. */
type HashedRequest = Pick<RoutedRequest, "facts" | "workspace" | "body">;

/** Digests of requests under way. */
const known = new WeakMap<object, string>();

/**
 * @param request A request; each attempt of a client has an id of its own.
 * @returns The same text for the same method, host, path, caller and body. Callers are told apart by
 * their workspace, which stays while keys come and go.
 */
export function digestOf(request: HashedRequest): string {
  const digest = known.get(request) ?? hash(request);
  known.set(request, digest);
  return digest;
}

function hash({ facts, workspace, body }: HashedRequest): string {
  const { method, host, target } = facts;
  return hashRequest([method, host, target, workspace?.name ?? ""], body);
}
