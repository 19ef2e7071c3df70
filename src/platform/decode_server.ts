/** Decodes what a backend server says of itself: its registration and its report. */
import type { BackendServer, ServerReport } from "../router/model.ts";
import {
  asObject,
  type Json,
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

/** Ids are sent in a header: visible ASCII alone. */
const ID_PATTERN = /^[\x21-\x7e]+$/;

/**
 * Reads a registration. Others than the servers may write some, so that all fields are checked,
 * also those that nothing here uses: a value that is wrong in one field is no server's.
 *
 * @param id The server's id.
 * @param value The registration as stored.
 * @returns The server.
 */
export function readServer(id: string, value: Uint8Array): BackendServer {
  if (!ID_PATTERN.test(id)) throw new ShapeError("No id");
  const entry = parseObject(value);
  checkUnusedFields(entry);
  return {
    id,
    bornAtMs: readStart(entry),
    service: nonEmptyText(entry, "service"),
    address: socketAddress(entry, "address"),
    zone: nonEmptyText(entry, "zone"),
    draining: readDraining(entry),
    slots: readSlots(entry),
    weights: readWeights(entry),
  };
}

/**
 * Reads a report.
 *
 * @param body The report as sent.
 * @returns The server's account of its load.
 */
export function readReport(body: Json): ServerReport {
  return {
    bornAtMs: readStart(body),
    weights: readWeights(body),
    busy: body["busy"] === true,
    orderSequence: wholeNumber(body, "sequence"),
    waiting: wholeNumber(body, "queued"),
    running: wholeNumber(body, "running"),
  };
}

/** A server that doesn't say when it started may have started at any time. */
function readStart(said: Json): number | undefined {
  return optionalWholeNumber(said, "born");
}

function readDraining(entry: Json): boolean {
  const state = text(entry, "state");
  switch (state) {
    case "ready":
      return false;
    case "draining":
      return true;
    default:
      throw new ShapeError("Unknown state");
  }
}

function readSlots(entry: Json): number {
  const slots = wholeNumber(entry, "slots");
  if (slots === 0) throw new ShapeError("No slots");
  return slots;
}

/** Version of the weights by model; a plain server has none. */
function readWeights(said: Json): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  for (const row of optionalList(said, "models")) {
    const model = asObject(row, "models");
    optionalList(model, "adapters");
    weights.set(nonEmptyText(model, "name"), wholeNumber(model, "version"));
  }
  return weights;
}

function checkUnusedFields(entry: Json): void {
  optionalWholeNumber(entry, "sequence");
  if (entry["version"] !== undefined) text(entry, "version");
  if (entry["cold_left_ms"] !== undefined) number(entry, "cold_left_ms");
  if (entry["stage"] !== undefined) text(entry, "stage");
}
