/** The administration API, its client and its command line. */
export {
  addAdminCommands,
  ADMIN_EXIT,
  type AdminExit,
  type AdminIo,
} from "./cli.ts";
export {
  AdminClient,
  type AdminClientFailure,
  type AdminClientOptions,
  type KeyReceipt,
  type TeamHistory,
  type WriteReceipt,
} from "./client.ts";
export type {
  AdminErrorBody,
  AdminExecution,
  AdminFailure,
  CurrentVersion,
} from "./failures.ts";
export { OPENAPI_DOCUMENT } from "./openapi.ts";
export { ADMIN_ROUTES } from "./routes.ts";
export { AdminServer, type AdminServerOptions } from "./server.ts";
