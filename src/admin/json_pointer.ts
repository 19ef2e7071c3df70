/** Edits one value in a JSON document, addressed by a JSON pointer (RFC 6901). */
import { Result } from "true-myth";

/** A change of the value at a pointer. */
export type Edit =
  | { kind: "set"; value: unknown }
  | { kind: "remove" };

/** A pointer that is malformed or does not resolve in the document. */
export interface InvalidPointer {
  kind: "bad_pointer";
  message: string;
}

type Container = Record<string, unknown> | unknown[];

const ARRAY_INDEX = /^(0|[1-9]\d*)$/;

/**
 * @param document The document, which is not modified.
 * @param pointer Such as `/models/small/pool`, with `~1` for `/` and `~0` for `~`.
 * @param edit The change; `-` as the last token appends to an array.
 * @returns A changed copy, or why the pointer is invalid.
 */
export function applyEdit(
  document: unknown,
  pointer: string,
  edit: Edit,
): Result<unknown, InvalidPointer> {
  if (!pointer.startsWith("/")) {
    return fail(
      `Expected a JSON pointer that starts with /, found ${pointer}`,
    );
  }
  const tokens = pointer.slice(1).split("/").map(unescapeToken);
  const lastToken = tokens.pop() ?? "";
  const copy = structuredClone(document);
  let parent: unknown = copy;
  for (const token of tokens) {
    if (!isContainer(parent) || !Object.hasOwn(parent, token)) {
      return fail(`There is nothing at step ${token} of ${pointer}`);
    }
    parent = Reflect.get(parent, token);
  }
  if (!isContainer(parent)) return fail(`Nothing can be put below ${pointer}`);
  const changed = edit.kind === "set"
    ? setMember(parent, lastToken, edit.value)
    : removeMember(parent, lastToken);
  return changed ? Result.ok(copy) : fail(`There is nothing at ${pointer}`);
}

function setMember(
  parent: Container,
  token: string,
  value: unknown,
): boolean {
  if (!Array.isArray(parent)) return defineMember(parent, token, value);
  if (token === "-") return parent.push(value) > 0;
  if (!ARRAY_INDEX.test(token) || Number(token) >= parent.length) return false;
  parent[Number(token)] = value;
  return true;
}

/** Defines the property, since an assignment to `__proto__` would change the prototype. */
function defineMember(target: object, name: string, value: unknown): boolean {
  return Reflect.defineProperty(target, name, {
    value,
    writable: true,
    enumerable: true,
    configurable: true,
  });
}

function removeMember(parent: Container, token: string): boolean {
  if (!Object.hasOwn(parent, token)) return false;
  if (!Array.isArray(parent)) return Reflect.deleteProperty(parent, token);
  if (!ARRAY_INDEX.test(token)) return false;
  return parent.splice(Number(token), 1).length === 1;
}

function isContainer(value: unknown): value is Container {
  return typeof value === "object" && value !== null;
}

function unescapeToken(token: string): string {
  return token.replaceAll("~1", "/").replaceAll("~0", "~");
}

function fail<T>(message: string): Result<T, InvalidPointer> {
  return Result.err({ kind: "bad_pointer", message });
}
