/** Parses and validates bodies, query parameters and headers of administration requests. */
import { Result } from "true-myth";
import { z } from "zod";
import type { BranchEdit } from "./commands.ts";
import type { AdminFailure } from "./failures.ts";

const CREATION_SCHEMA = z.strictObject({
  team: z.string(),
  branch: z.unknown(),
});
const SET_SCHEMA = z.strictObject({ path: z.string(), value: z.unknown() });
const REMOVE_SCHEMA = z.strictObject({
  path: z.string(),
  remove: z.literal(true),
});
const ETAG_PATTERN = /^(?:W\/)?"?(\d{1,18})"?$/;
const INTEGER_PATTERN = /^\d{1,15}$/;
const MAX_WRITER_LENGTH = 128;
const WRITE_ID_PATTERN = /^[A-Za-z0-9-]{8,64}$/;

/** Recorded as the writer if the request does not name one. */
export const UNNAMED_WRITER = "unnamed";

/** Name and branch of a team to create. */
export interface TeamCreation {
  team: string;
  branch: unknown;
}

/**
 * @param body Parsed JSON.
 * @returns The team to create.
 */
export function parseTeamCreation(
  body: unknown,
): Result<TeamCreation, AdminFailure> {
  const parsed = CREATION_SCHEMA.safeParse(body);
  if (parsed.success) return Result.ok(parsed.data);
  return invalidRequest("Expected an object with team and branch", "body");
}

/**
 * @param body Parsed JSON.
 * @returns The path of the value to change, and the change.
 */
export function parseBranchEdit(
  body: unknown,
): Result<BranchEdit, AdminFailure> {
  const removal = REMOVE_SCHEMA.safeParse(body);
  if (removal.success) {
    return Result.ok({ path: removal.data.path, edit: { kind: "remove" } });
  }
  const setting = SET_SCHEMA.safeParse(body);
  if (!setting.success || setting.data.value === undefined) {
    return invalidRequest(
      "Expected path with either value or remove: true",
      "body",
    );
  }
  const { path, value } = setting.data;
  return Result.ok({ path, edit: { kind: "set", value } });
}

/**
 * @param source Query parameters, or a JSON object.
 * @param name Name of the field.
 * @returns The integer, or undefined if the field is absent.
 */
export function parseInteger(
  source: unknown,
  name: string,
): Result<number | undefined, AdminFailure> {
  const rawValue = source instanceof URLSearchParams
    ? source.get(name)
    : getOwnProperty(source, name);
  if (rawValue === undefined || rawValue === null) return Result.ok(undefined);
  const text = String(rawValue);
  if (INTEGER_PATTERN.test(text)) return Result.ok(Number(text));
  return invalidRequest("Expected a whole number", name);
}

/**
 * @param header Value of the If-Match header.
 * @returns The version, or undefined if the header is absent.
 */
export function parseIfMatch(
  header: string | null,
): Result<bigint | undefined, AdminFailure> {
  if (header === null) return Result.ok(undefined);
  const version = ETAG_PATTERN.exec(header.trim())?.[1];
  if (version !== undefined) return Result.ok(BigInt(version));
  return invalidRequest('Expected one version, such as "123"', "If-Match");
}

/**
 * @param header Value of the X-Writer header.
 * @returns The writer's name, which is recorded but not authenticated.
 */
export function parseWriter(header: string | null): string {
  const printable = (header ?? "").replace(/[^\x20-\x7e]/g, "").trim();
  return printable.slice(0, MAX_WRITER_LENGTH) || UNNAMED_WRITER;
}

/**
 * @param header Value of the X-Write-Id header.
 * @returns The write id, or undefined if the header is absent.
 */
export function parseWriteId(
  header: string | null,
): Result<string | undefined, AdminFailure> {
  if (header === null) return Result.ok(undefined);
  if (WRITE_ID_PATTERN.test(header)) return Result.ok(header);
  return invalidRequest("Expected 8 to 64 letters, digits and -", "X-Write-Id");
}

function getOwnProperty(source: unknown, name: string): unknown {
  if (typeof source !== "object" || source === null) return undefined;
  return Object.hasOwn(source, name) ? Reflect.get(source, name) : undefined;
}

function invalidRequest<T>(
  message: string,
  param: string,
): Result<T, AdminFailure> {
  return Result.err({ kind: "invalid_request", message, param });
}
