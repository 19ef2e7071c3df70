/** What a stand-in backend server records of its requests. */
import type { IncomingHttpHeaders } from "node:http";

/** A request that was executed. */
export interface ExecutedRequest {
  method: string;
  target: string;
  headers: IncomingHttpHeaders;
  body: string;
}

/** A request that arrived; `serverId`: the id of the server at that time. */
export interface ServerArrival {
  atMs: number;
  requestId: string;
  serverId: string;
}
