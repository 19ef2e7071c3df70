/** Parses the path of a call to a plain service and decides whether the call may be repeated. */
import { createHash } from "node:crypto";
import { Result } from "true-myth";
import type { TeamBranch } from "../config/branch.ts";
import { ownProperty } from "./auth.ts";
import { notRun, type RequestFailure } from "./errors.ts";

/** Settings of a plain service in the team's branch. */
export type ServiceSettings = TeamBranch["services"][string];

/** The service and path of a call. */
export interface ServiceTarget {
  service: string;
  /** Path and query of the call to the service. */
  path: string;
  settings: ServiceSettings;
  /** Whether the branch allows the call to be repeated. */
  isRepeatable: boolean;
}

/** Path prefix of calls to services. */
export const SERVICES_PREFIX = "/services/";

const TARGET_PATTERN =
  /^\/services\/([a-z0-9][a-z0-9_-]{0,62})(\/[^?#]*)?(\?[^#]*)?$/;
/** Paths that a service may normalise to a different path; they never count as repeatable. */
const AMBIGUOUS_PATH = /%2e|%2f|%5c|%25|%00|\\|\/\/|\/\.{1,2}(\/|$)|;/i;

/**
 * @param method The HTTP method.
 * @param url Path and query as sent by the caller.
 * @param branch The team's branch.
 * @returns Target of the call, or `service_not_found`.
 */
export function readServiceTarget(
  method: string,
  url: string,
  { branch }: { branch: TeamBranch },
): Result<ServiceTarget, RequestFailure> {
  const [, service = "", path = "/", query = ""] = TARGET_PATTERN.exec(url) ??
    [];
  const settings = ownProperty(branch.services, service);
  if (!settings) {
    const message = "The service does not exist, or the team has no access";
    return Result.err(notRun("service_not_found", message));
  }
  return Result.ok({
    service,
    path: path + query,
    settings,
    isRepeatable: isRepeatable(settings, method, path),
  });
}

/**
 * @param method The HTTP method.
 * @param path Path and query of the call to the service.
 * @param body The request's body.
 * @returns Digest that distinguishes a repeat from a different call with the same idempotency key.
 */
export function requestFingerprint(
  method: string,
  path: string,
  body: Buffer,
): Buffer {
  return createHash("sha256").update(`${method} ${path}\n`).update(body)
    .digest();
}

function isRepeatable(
  { repeatable }: ServiceSettings,
  method: string,
  path: string,
): boolean {
  if (AMBIGUOUS_PATH.test(path)) return false;
  return repeatable.some((rule) =>
    rule.method === method && matchesPathPrefix(path, rule.pathPrefix)
  );
}

function matchesPathPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith("/") || path.length === prefix.length ||
    path[prefix.length] === "/";
}
