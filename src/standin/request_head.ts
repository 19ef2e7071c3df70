/** Text of requests, for clients that write them piece by piece. */
import { HOST, KEY } from "./platform_client.ts";

/** Which headers a request has, beside those of a valid one. */
export interface RequestHeadOptions {
  path?: string;
  method?: string;
  headers?: string[];
}

/**
 * @param options Headers of the request.
 * @returns Head of a valid request, with the empty line.
 */
export function headOf(
  { path = "/book/a", method = "POST", headers = [] }: RequestHeadOptions,
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `authorization: Bearer ${KEY}`,
    "deadline-ms: 60000",
    ...headers,
    "",
    "",
  ].join("\r\n");
}
