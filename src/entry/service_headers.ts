/** Filters the headers that are passed between callers and plain services. */
import type { IncomingMessage } from "node:http";
import type { Header } from "../wire/gen/cicadahitch.ts";

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
/** Headers for the entry itself, or set anew for the call to the service. */
const NOT_FORWARDED = new Set([
  "authorization",
  "content-length",
  "expect",
  "host",
]);
const OWN_PREFIX = "x-cicadahitch-";

/** The owner of a call. */
export interface CallOwner {
  team: string;
  workspace: string;
}

/**
 * @param request The caller's request.
 * @param owner Sent to the service in place of the caller's key.
 * @returns The headers of the call to the service.
 */
export function serviceHeaders(
  request: IncomingMessage,
  owner: CallOwner,
): Header[] {
  const { rawHeaders } = request;
  const headers: Header[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    headers.push({ name: rawHeaders[i]!, value: rawHeaders[i + 1]! });
  }
  const forwarded = endToEndHeaders(headers).filter(({ name }) => {
    const lower = name.toLowerCase();
    return !NOT_FORWARDED.has(lower) && !lower.startsWith(OWN_PREFIX);
  });
  return [
    ...forwarded,
    { name: `${OWN_PREFIX}team`, value: owner.team },
    { name: `${OWN_PREFIX}workspace`, value: owner.workspace },
  ];
}

/**
 * @param headers Headers as received from one hop.
 * @returns The end-to-end headers, without hop-by-hop headers and those that `connection` lists.
 */
export function endToEndHeaders(headers: Header[]): Header[] {
  const connectionOptions = new Set<string>();
  for (const { name, value } of headers) {
    if (name.toLowerCase() !== "connection") continue;
    for (const option of value.split(",")) {
      connectionOptions.add(option.trim().toLowerCase());
    }
  }
  return headers.filter(({ name }) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP.has(lower) && !connectionOptions.has(lower);
  });
}
