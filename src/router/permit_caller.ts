/** Who asks for the permit of a request. */
import type { Progress } from "./attempt.ts";
import { type Caller, CallerKind } from "./permit_bucket.ts";
import type { RoutedRequest } from "./request.ts";
import { digestOf } from "./request_digest.ts";

/**
 * @param request A request.
 * @param progress Its state.
 * @returns Who asks for its permit. The request's digest is the same in all attempts of its client, and
 *   in nobody else's but for equal requests of one workspace.
 */
export function callerOf(
  request: RoutedRequest,
  { streamStarted }: Pick<Progress, "streamStarted">,
): Caller {
  return {
    kind: streamStarted ? CallerKind.stream : CallerKind.attempt,
    // Computed only where a server takes a limited rate.
    get holder() {
      return digestOf(request);
    },
  };
}

/**
 * @param request A request whose run is continued at another server, or not at all.
 * @returns Who asks for its permit; none is reserved for it.
 */
export function moveCaller(request: RoutedRequest): Caller {
  return callerOf(request, { streamStarted: false });
}
