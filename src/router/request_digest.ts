/** Tells whether two attempts of clients are the same request. */
import { createHash } from "node:crypto";
import type { RoutedRequest } from "./request.ts";

/** Hexadecimal digits that are kept: nobody finds another request with the same 96 bits. */
const DIGITS = 24;

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
  // Lengths keep one field's end from being taken for the next one's beginning.
  const fields = [method, host, target, workspace?.name ?? ""]
    .map((field) => `${field.length}:${field}`);
  const sha = createHash("sha256").update(fields.join(""));
  if (body) sha.update(body);
  return sha.digest("hex").slice(0, DIGITS);
}
