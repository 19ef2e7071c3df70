/** Decodes the registrations and load reports of backend servers. */
import type { BackendServer, ServerReport } from "../router/model.ts";
import {
  asObject,
  type JsonObject,
  nonEmptyText,
  number,
  optionalList,
  optionalWholeNumber,
  parseObject,
  ShapeError,
  socketAddress,
  text,
  wholeNumber,
} from "./shape.ts";

/** Server ids are sent in a header, so only visible ASCII characters are allowed. */
const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/**
 * Decodes a registration. Other writers than the backend servers may write one, so all fields are
 * checked, including unused ones: a value with any invalid field is not a server's registration.
 *
 * @param id The server's id.
 * @param value The stored registration.
 * @returns The server.
 * @throws {ShapeError} If the id or a field is invalid.
 */
export function readServer(id: string, value: Uint8Array): BackendServer {
  if (!VISIBLE_ASCII.test(id)) throw new ShapeError("Invalid server id");
  const registration = parseObject(value);
  checkUnusedFields(registration);
  return {
    id,
    bornAtMs: readStartTime(registration),
    service: nonEmptyText(registration, "service"),
    address: socketAddress(registration, "address"),
    zone: nonEmptyText(registration, "zone"),
    softwareVersion: readSoftwareVersion(registration),
    draining: readDraining(registration),
    slots: readSlots(registration),
    weights: readWeights(registration),
  };
}

/**
 * Decodes a load report.
 *
 * @param body The report as sent by the server.
 * @returns The reported load and weights.
 * @throws {ShapeError} If a field is invalid.
 */
export function readReport(body: JsonObject): ServerReport {
  return {
    bornAtMs: readStartTime(body),
    weights: readWeights(body),
    busy: body["busy"] === true,
    orderSequence: wholeNumber(body, "sequence"),
    waiting: wholeNumber(body, "queued"),
    running: wholeNumber(body, "running"),
  };
}

/** Start time of the server; undefined if the server doesn't report it. */
function readStartTime(source: JsonObject): number | undefined {
  return optionalWholeNumber(source, "born");
}

/** Version of the server's software; undefined if the server doesn't state it. */
function readSoftwareVersion(registration: JsonObject): string | undefined {
  return registration["version"] === undefined
    ? undefined
    : text(registration, "version");
}

function readDraining(registration: JsonObject): boolean {
  const state = text(registration, "state");
  switch (state) {
    case "ready":
      return false;
    case "draining":
      return true;
    default:
      throw new ShapeError("Unknown state of a server");
  }
}

function readSlots(registration: JsonObject): number {
  const slots = wholeNumber(registration, "slots");
  if (slots === 0) throw new ShapeError("Server has 0 slots");
  return slots;
}

/** Versions of the loaded weights by model; empty for a server without models. */
function readWeights(source: JsonObject): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  for (const item of optionalList(source, "models")) {
    const model = asObject(item, "models");
    optionalList(model, "adapters");
    weights.set(nonEmptyText(model, "name"), wholeNumber(model, "version"));
  }
  return weights;
}

function checkUnusedFields(fields: JsonObject): void {
  optionalWholeNumber(fields, "sequence");
  if (fields["cold_left_ms"] !== undefined) number(fields, "cold_left_ms");
  if (fields["stage"] !== undefined) text(fields, "stage");
}
