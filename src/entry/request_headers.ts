/** Request headers that set the class, priority, deadline and idempotency key of a request. */
import type { IncomingHttpHeaders } from "node:http";
import { Result } from "true-myth";
import type { PriorityName, TeamBranch } from "../config/branch.ts";
import { Priority } from "../wire/gen/cicadahitch.ts";
import { type Identity, ownProperty } from "./auth.ts";
import { notRun, type RequestFailure } from "./errors.ts";

/** Names of these headers. */
export const HeaderName = {
  Class: "x-cicadahitch-class",
  Priority: "x-cicadahitch-priority",
  DeadlineMs: "x-cicadahitch-deadline-ms",
  IdempotencyKey: "idempotency-key",
} as const;

/** Settings of a request, from its headers or its class. */
export interface RequestSettings {
  className: string;
  priority: Priority;
  deadlineMs: number;
  recomputePriceMs: number;
  /** Empty if the caller sent none. */
  idempotencyKey: string;
}

const PRIORITIES: Record<PriorityName, Priority> = {
  urgent: Priority.URGENT,
  normal: Priority.NORMAL,
  batch: Priority.BATCH,
};
const MAX_DEADLINE_MS = 3_600_000;
const IDEMPOTENCY_KEY_PATTERN =
  /^[\x21-\x7e](?:[\x20-\x7e]{0,253}[\x21-\x7e])?$/;
const POSITIVE_INTEGER_PATTERN = /^[1-9]\d{0,6}$/;

/**
 * @param headers The request's headers.
 * @param identity The owner of the request.
 * @returns The settings, or which header is invalid.
 */
export function readSettings(
  headers: IncomingHttpHeaders,
  identity: Identity,
): Result<RequestSettings, RequestFailure> {
  const { branch } = identity;
  const className = headerOf(headers, HeaderName.Class) ??
    ownProperty(branch.workspaces, identity.workspace)!.defaultClass;
  const requestClass = ownProperty(branch.classes, className);
  if (!requestClass) {
    return invalidHeader(
      HeaderName.Class,
      `Expected one of ${classNames(branch)}`,
    );
  }
  const priority = headerOf(headers, HeaderName.Priority) ??
    requestClass.priority;
  if (!isPriority(priority)) {
    return invalidHeader(
      HeaderName.Priority,
      "Expected urgent, normal or batch",
    );
  }
  const deadline = headerOf(headers, HeaderName.DeadlineMs) ??
    String(requestClass.deadlineMs);
  if (
    !POSITIVE_INTEGER_PATTERN.test(deadline) ||
    Number(deadline) > MAX_DEADLINE_MS
  ) {
    const message = `Expected a whole number from 1 to ${MAX_DEADLINE_MS}`;
    return invalidHeader(HeaderName.DeadlineMs, message);
  }
  const idempotencyKey = headerOf(headers, HeaderName.IdempotencyKey);
  if (
    idempotencyKey !== undefined &&
    !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey)
  ) {
    const message = "Expected 1 to 255 printable ASCII characters";
    return invalidHeader(HeaderName.IdempotencyKey, message);
  }
  return Result.ok({
    className,
    priority: PRIORITIES[priority],
    deadlineMs: Number(deadline),
    recomputePriceMs: requestClass.recomputePriceMs,
    idempotencyKey: idempotencyKey ?? "",
  });
}

function headerOf(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

function isPriority(name: string): name is PriorityName {
  return Object.hasOwn(PRIORITIES, name);
}

function classNames(branch: TeamBranch): string {
  return Object.keys(branch.classes).join(", ");
}

function invalidHeader(
  param: string,
  message: string,
): Result<RequestSettings, RequestFailure> {
  return Result.err(notRun("invalid_header", message, { param }));
}
