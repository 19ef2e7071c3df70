/** Tells whether two attempts of clients are the same request. */
import { createHash } from "node:crypto";
import type { RoutedRequest } from "./request.ts";

/** Hexadecimal digits that are kept: nobody finds another request with the same 96 bits. */
const DIGITS = 24;

/**
 * @param request A request; each attempt of a client has an id of its own.
 * @returns The same text for the same method, host, path, caller and body. Callers are told apart by
 * their workspace, which stays while keys come and go.
 */
export function digestOf(
  { facts, workspace, body }: Pick<
    RoutedRequest,
    "facts" | "workspace" | "body"
  >,
): string {
  const { method, host, target } = facts;
  // Lengths keep one field's end from being taken for the next one's beginning.
  const fields = [method, host, target, workspace?.name ?? ""]
    .map((field) => `${field.length}:${field}`);
  const hash = createHash("sha256").update(fields.join(""));
  if (body) hash.update(body);
  return hash.digest("hex").slice(0, DIGITS);
}
