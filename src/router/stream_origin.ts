/**
 * Which software began a stream. Servers of several software versions may serve side by side in one
 * service, and what two versions write doesn't fit together: only the version that began a stream may
 * continue it.
 */
import { type BackendServer, incarnationKey } from "./model.ts";

/** The service and the software that wrote the first event of a stream. */
export interface StreamOrigin {
  service: string;
  /** Version of the software; undefined if the server doesn't state it. */
  softwareVersion: string | undefined;
  /** The server process; it alone can continue the stream if the version is unknown. */
  incarnation: string;
}

/**
 * @param entry Registration of the server that writes the first event of a stream.
 * @returns The stream's origin.
 */
export function originAt(entry: BackendServer): StreamOrigin {
  const { service, softwareVersion } = entry;
  return { service, softwareVersion, incarnation: incarnationKey(entry) };
}

/**
 * @param origin Origin of a stream; undefined if nothing of it has reached its client.
 * @param entry Registration of a server.
 * @returns Whether the server may continue the stream.
 */
export function canContinue(
  origin: StreamOrigin | undefined,
  entry: BackendServer,
): boolean {
  if (!origin) return true;
  if (origin.service !== entry.service) return false;
  return origin.softwareVersion === undefined
    ? origin.incarnation === incarnationKey(entry)
    : origin.softwareVersion === entry.softwareVersion;
}
