/** Interface of a plain service as its agent uses it. `http_service.ts` implements it. */
import type { Result } from "true-myth/result";

/** An HTTP header; the same name may occur more than once. */
export interface HeaderField {
  name: string;
  value: string;
}

/** Reason why a call to a service returned no or only a partial response. */
export type ServiceFailure =
  /** The request never reached the service. */
  | { kind: "unreachable"; message: string }
  /** The request was sent, but it is unknown whether the service executed it. */
  | { kind: "broken"; message: string };

/** A request to the service. */
export interface ServiceCall {
  method: string;
  /** Path and query, starting with a slash. */
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
  /** The call must not be repeated; default: it may be. */
  atMostOnce?: boolean;
}

/** A part of a service's response. */
export type ServiceResponsePart =
  | { kind: "head"; status: number; headers: HeaderField[] }
  | { kind: "piece"; data: Uint8Array }
  /** The response is complete. */
  | { kind: "end" };

/** A plain service. */
export interface PlainService {
  /** Sends a request; aborting the signal closes its connection. */
  run(
    call: ServiceCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<ServiceResponsePart, ServiceFailure>>;
  close(): void;
}
