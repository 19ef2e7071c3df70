/** Dependencies and common steps of an entry's request handlers. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import type { BranchSet } from "../config/branch_set.ts";
import type { Admission, TeamLimiter } from "../limits/mod.ts";
import { authenticate, claimedTeam, type Identity } from "./auth.ts";
import type { Dispatcher } from "./dispatch.ts";
import { notRun, type RequestFailure } from "./errors.ts";
import type { Exchange, ReceiveOptions } from "./exchange.ts";
import type { OfferRouteOptions } from "./routes.ts";

/** Options that all routes of an entry share. */
export type Routing = Pick<
  OfferRouteOptions,
  | "members"
  | "policy"
  | "budget"
  | "clock"
  | "tuning"
  | "asker"
  | "versions"
  | "demand"
>;

/** Dependencies of the request handlers. */
export interface HandlerDeps {
  clock: Clock;
  branches: BranchSet;
  limiter: TeamLimiter;
  dispatcher: Dispatcher;
  routing: Routing;
  /** Bounds of request bodies. */
  body: Pick<ReceiveOptions, "memory" | "timeoutMs">;
  /** False while branches may be missing here, so that an unknown team may still exist. */
  knowsAllTeams: () => boolean;
}

/** Delay before a retry that is sent to callers while the configuration is incomplete. */
const CONFIG_RETRY_MS = 1000;

/**
 * Authenticates a request and records its team, workspace and key id.
 *
 * @param deps Branches in force.
 * @param exchange The request.
 * @returns The owner of the request; `not_ready` if its team's branch may not have arrived yet.
 */
export function identify(
  deps: HandlerDeps,
  exchange: Exchange,
): Result<Identity, RequestFailure> {
  const { authorization } = exchange.request.headers;
  const identified = authenticate(deps.branches, authorization);
  if (identified.isErr) {
    const team = claimedTeam(authorization);
    const mayExist = team !== "" && !deps.branches.getRecord(team) &&
      !deps.knowsAllTeams();
    return mayExist ? Result.err(notReady()) : identified;
  }
  const { team, workspace, keyId } = identified.value;
  Object.assign(exchange.record, { team, workspace, keyId });
  return identified;
}

/**
 * Checks a request against the limits of its team.
 *
 * @param deps Limits.
 * @param team The team.
 * @param tokensExpected Estimated tokens of the prompt and the answer.
 * @returns The admission, which the caller must settle, or the failure to send.
 */
export function admit(
  deps: HandlerDeps,
  team: string,
  tokensExpected: number,
): Result<Admission, RequestFailure> {
  const verdict = deps.limiter.tryAdmit(team, tokensExpected);
  if (verdict.kind === "admitted") return Result.ok(verdict.admission);
  const { retryAfterMs } = verdict;
  const message = "The team's limit is reached";
  return Result.err(notRun("team_limit", message, { retryAfterMs }));
}

function notReady(): RequestFailure {
  const message = "The configuration is not complete yet";
  return notRun("not_ready", message, { retryAfterMs: CONFIG_RETRY_MS });
}
