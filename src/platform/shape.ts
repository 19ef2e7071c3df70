/** Reads and validates fields of JSON objects; invalid fields throw a {@link ShapeError}. */
import { isIPv4 } from "node:net";

/** A JSON object. */
export type JsonObject = Record<string, unknown>;

/** A field is missing or has an invalid value. */
export class ShapeError extends Error {
  override readonly name = "ShapeError";
}

const MAX_PORT = 65_535;

/** @returns The value as an object; `name` is used in the error message. */
export function asObject(value: unknown, name: string): JsonObject {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as JsonObject;
  }
  throw new ShapeError(`Not an object: ${name}`);
}

/** @returns The JSON object that the bytes encode. */
export function parseObject(bytes: Uint8Array): JsonObject {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    // The parser's message is not used: it quotes the value, which may hold API keys.
    throw new ShapeError("Value is not valid JSON");
  }
  return asObject(value, "value");
}

/** @returns The value of a string field. */
export function text(object: JsonObject, name: string): string {
  const value = object[name];
  if (typeof value !== "string") throw new ShapeError(`Not a string: ${name}`);
  return value;
}

/** @returns The value of a non-empty string field. */
export function nonEmptyText(object: JsonObject, name: string): string {
  const value = text(object, name);
  if (value === "") throw new ShapeError(`Empty string: ${name}`);
  return value;
}

/** @returns The value of a field with a finite number. */
export function number(object: JsonObject, name: string): number {
  const value = optionalNumber(object, name);
  if (value === undefined) throw new ShapeError(`Not a number: ${name}`);
  return value;
}

/** @returns The value of a field with a finite number; undefined for any other value. */
export function optionalNumber(
  object: JsonObject,
  name: string,
): number | undefined {
  const value = object[name];
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/** @returns The value of a field with a number of 0 or more. */
export function nonNegativeNumber(object: JsonObject, name: string): number {
  const value = number(object, name);
  if (value < 0) throw new ShapeError(`Negative number: ${name}`);
  return value;
}

/** @returns The value of a field with a number of 0 or more; undefined if it is missing. */
export function optionalNonNegativeNumber(
  object: JsonObject,
  name: string,
): number | undefined {
  return object[name] === undefined
    ? undefined
    : nonNegativeNumber(object, name);
}

/** @returns The value of a field with an integer of 0 or more. */
export function wholeNumber(object: JsonObject, name: string): number {
  const value = object[name];
  if (Number.isSafeInteger(value) && (value as number) >= 0) {
    return value as number;
  }
  throw new ShapeError(`Not a non-negative integer: ${name}`);
}

/** @returns The value of a field with an integer of 0 or more; undefined if it is missing. */
export function optionalWholeNumber(
  object: JsonObject,
  name: string,
): number | undefined {
  return object[name] === undefined ? undefined : wholeNumber(object, name);
}

/** @returns The value of an array field. */
export function list(object: JsonObject, name: string): unknown[] {
  const value = object[name];
  if (!Array.isArray(value)) throw new ShapeError(`Not an array: ${name}`);
  return value;
}

/** @returns The value of an array field; empty if it is missing. */
export function optionalList(object: JsonObject, name: string): unknown[] {
  return object[name] === undefined ? [] : list(object, name);
}

/** @returns The value of a field with an IPv4 address and port, as `ip:port`. */
export function socketAddress(object: JsonObject, name: string): string {
  const value = text(object, name);
  const [ipAddress = "", port = ""] = value.split(":");
  const isPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
  if (isIPv4(ipAddress) && isPort && value === `${ipAddress}:${port}`) {
    return value;
  }
  throw new ShapeError(`Not an IPv4 address with a port: ${name}`);
}
