/** A plain service as the agent beside it meets it. The adapter is `http_service.ts`. */
import type { Result } from "true-myth/result";

/** A header field; a name may come more than once. */
export interface HeaderField {
  name: string;
  value: string;
}

/** Why a service gave no answer, or not all of it. */
export type ServiceFailure =
  /** The request never reached the service. */
  | { kind: "unreachable"; message: string }
  /** The request was sent; whether it was carried out can't be known. */
  | { kind: "broken"; message: string };

/** A request as passed to the service. */
export interface ServiceCall {
  method: string;
  /** Path and query, starting with a slash. */
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
}

/** One part of a service's answer. */
export type ServiceStep =
  | { kind: "head"; status: number; headers: HeaderField[] }
  | { kind: "piece"; data: Uint8Array }
  /** The whole answer has come. */
  | { kind: "end" };

/** A plain service. */
export interface PlainService {
  /** Passes a request on; aborting the signal closes its connection. */
  run(
    call: ServiceCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<ServiceStep, ServiceFailure>>;
  close(): void;
}
