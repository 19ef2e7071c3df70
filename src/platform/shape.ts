/** Reads fields of JSON objects; each reader throws a {@link ShapeError} where one is amiss. */
import { isIPv4 } from "node:net";

/** A JSON object. */
export type Json = Record<string, unknown>;

/** A field is missing or of another type. */
export class ShapeError extends Error {
  override readonly name = "ShapeError";
}

const MAX_PORT = 65_535;

/** @returns The value, if it is an object. */
export function asObject(value: unknown, name: string): Json {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as Json;
  }
  throw new ShapeError(`No object: ${name}`);
}

/** @returns The bytes as a JSON object. */
export function parseObject(bytes: Uint8Array): Json {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    // The parser's own message quotes the value, which may hold keys.
    throw new ShapeError("No JSON");
  }
  return asObject(value, "value");
}

/** @returns A field that is text. */
export function text(object: Json, name: string): string {
  const value = object[name];
  if (typeof value !== "string") throw new ShapeError(`No text: ${name}`);
  return value;
}

/** @returns A field that is text of some length. */
export function nonEmptyText(object: Json, name: string): string {
  const value = text(object, name);
  if (value === "") throw new ShapeError(`Empty: ${name}`);
  return value;
}

/** @returns A field that is a number. */
export function number(object: Json, name: string): number {
  const value = optionalNumber(object, name);
  if (value === undefined) throw new ShapeError(`No number: ${name}`);
  return value;
}

/** @returns A field that is a number, or nothing. */
export function optionalNumber(
  object: Json,
  name: string,
): number | undefined {
  const value = object[name];
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/**
 * @param object Where it stands.
 * @param name Its name.
 * @returns A number of 0 or more.
 */
export function amount(object: Json, name: string): number {
  const value = number(object, name);
  if (value < 0) throw new ShapeError(`Below 0: ${name}`);
  return value;
}

/** @returns A field that is a number of 0 or more, if it is there at all. */
export function optionalAmount(
  object: Json,
  name: string,
): number | undefined {
  return object[name] === undefined ? undefined : amount(object, name);
}

/** @returns A field that is a count. */
export function wholeNumber(object: Json, name: string): number {
  const value = object[name];
  if (Number.isSafeInteger(value) && (value as number) >= 0) {
    return value as number;
  }
  throw new ShapeError(`No whole number: ${name}`);
}

/** @returns A field that is a count if it is there at all. */
export function optionalWholeNumber(
  object: Json,
  name: string,
): number | undefined {
  return object[name] === undefined ? undefined : wholeNumber(object, name);
}

/** @returns A field that is a list. */
export function list(object: Json, name: string): unknown[] {
  const value = object[name];
  if (!Array.isArray(value)) throw new ShapeError(`No list: ${name}`);
  return value;
}

/** @returns A field that is a list if it is there at all. */
export function optionalList(object: Json, name: string): unknown[] {
  return object[name] === undefined ? [] : list(object, name);
}

/** @returns A field that is an IPv4 address with a port, as `ip:port`. */
export function socketAddress(object: Json, name: string): string {
  const value = text(object, name);
  const [ipAddress = "", port = ""] = value.split(":");
  const isPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
  if (isIPv4(ipAddress) && isPort && value === `${ipAddress}:${port}`) {
    return value;
  }
  throw new ShapeError(`No address: ${name}`);
}
