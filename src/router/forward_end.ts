/** How the forwarding of a request can end. */
import type { ResendRefusal } from "./request.ts";

/** Result of serving a request. */
export type ForwardEnd =
  | { kind: "answered"; status: number }
  | { kind: "client_gone" }
  /** The client has received no complete response and no server will deliver one. */
  | { kind: "given_up"; reason: string; refusal: ResendRefusal };
