/** Routes of the administration API, each of which calls one command or query. */
import { Result } from "true-myth";
import type { AdminCommands, WriteContext } from "./commands.ts";
import type { AdminFailure } from "./failures.ts";
import type { AdminQueries } from "./queries.ts";
import {
  parseBranchEdit,
  parseInteger,
  parseTeamCreation,
} from "./requests.ts";
import { OPENAPI_DOCUMENT } from "./openapi.ts";
import type { AcceptedWrite } from "./team_store.ts";

/** A parsed request. */
export interface AdminRequest {
  team: string;
  workspace: string;
  query: URLSearchParams;
  /** Parsed JSON; undefined if the route takes no body. */
  body: unknown;
  context: WriteContext;
}

/** A successful response. */
export interface AdminResponse {
  status: number;
  body: unknown;
  /** Sent as the ETag. */
  version?: number;
}

/** Commands and queries that the routes call. */
export interface AdminServices {
  commands: AdminCommands;
  queries: AdminQueries;
}

/** A route with its handler. */
export interface AdminRoute {
  method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Path pattern with `:name` for parameters. */
  path: string;
  /** True if the request must have a JSON body. */
  takesBody?: boolean;
  handle: (
    services: AdminServices,
    request: AdminRequest,
  ) => Promise<Result<AdminResponse, AdminFailure>>;
}

const TEAMS_PATH = "/admin/v1/teams";
const TEAM_PATH = `${TEAMS_PATH}/:team`;
const MAX_WAIT_MS = 60_000;

/** All routes of the administration API. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  {
    method: "GET",
    path: "/admin/v1/openapi.json",
    handle: () => respond(OPENAPI_DOCUMENT),
  },
  {
    method: "GET",
    path: TEAMS_PATH,
    handle: ({ queries }) => respond(queries.list()),
  },
  {
    method: "POST",
    path: TEAMS_PATH,
    takesBody: true,
    handle: async ({ commands }, { body, context }) => {
      const creation = parseTeamCreation(body);
      if (creation.isErr) return Result.err(creation.error);
      const { team, branch } = creation.value;
      return toWriteResponse(await commands.create(team, branch, context), 201);
    },
  },
  {
    method: "GET",
    path: TEAM_PATH,
    handle: async ({ queries }, { team, query }) => {
      const version = parseInteger(query, "version");
      if (version.isErr) return Result.err(version.error);
      const view = version.value === undefined
        ? await queries.show(team)
        : await queries.showAt(team, BigInt(version.value));
      return view.map((body) => ({ status: 200, body, version: body.version }));
    },
  },
  {
    method: "POST",
    path: `${TEAM_PATH}/validate`,
    takesBody: true,
    handle: ({ queries }, { body }) => respond(queries.validate(body)),
  },
  {
    method: "PUT",
    path: TEAM_PATH,
    takesBody: true,
    handle: async ({ commands }, { team, body, context }) =>
      toWriteResponse(await commands.replace(team, body, context)),
  },
  {
    method: "PATCH",
    path: TEAM_PATH,
    takesBody: true,
    handle: async ({ commands }, { team, body, context }) => {
      const change = parseBranchEdit(body);
      if (change.isErr) return Result.err(change.error);
      return toWriteResponse(await commands.patch(team, change.value, context));
    },
  },
  {
    method: "DELETE",
    path: TEAM_PATH,
    handle: async ({ commands }, { team, context }) =>
      toWriteResponse(await commands.delete(team, context)),
  },
  {
    method: "GET",
    path: `${TEAM_PATH}/history`,
    handle: async ({ queries }, { team }) => {
      const versions = await queries.history(team);
      return versions.map((found) => ({
        status: 200,
        body: { team, versions: found },
      }));
    },
  },
  {
    method: "POST",
    path: `${TEAM_PATH}/roll-forward`,
    takesBody: true,
    handle: async ({ commands }, { team, body, context }) => {
      const version = parseInteger(body, "version");
      if (version.isErr) return Result.err(version.error);
      if (version.value === undefined) return missingVersion();
      const earlier = BigInt(version.value);
      return toWriteResponse(
        await commands.rollForward(team, earlier, context),
      );
    },
  },
  {
    method: "GET",
    path: `${TEAM_PATH}/in-force`,
    handle: async ({ queries }, { team, query }) => {
      const version = parseInteger(query, "version");
      if (version.isErr) return Result.err(version.error);
      const wait = parseInteger(query, "waitMs");
      if (wait.isErr) return Result.err(wait.error);
      return respond(
        await queries.inForce(team, {
          version: version.value === undefined
            ? undefined
            : BigInt(version.value),
          waitMs: Math.min(wait.value ?? 0, MAX_WAIT_MS),
        }),
      );
    },
  },
  {
    method: "POST",
    path: `${TEAM_PATH}/workspaces/:workspace/keys`,
    handle: async ({ commands }, { team, workspace, context }) => {
      const issued = await commands.issueKey(team, workspace, context);
      return issued.map(({ accepted, id, key }) => ({
        status: 201,
        body: { ...toWriteReceipt(accepted), id, key },
        version: Number(accepted.revision),
      }));
    },
  },
];

function respond(body: unknown): Promise<Result<AdminResponse, AdminFailure>> {
  return Promise.resolve(Result.ok({ status: 200, body }));
}

function toWriteResponse(
  outcome: Result<AcceptedWrite, AdminFailure>,
  status = 200,
): Result<AdminResponse, AdminFailure> {
  return outcome.map((accepted) => ({
    status,
    body: toWriteReceipt(accepted),
    version: Number(accepted.revision),
  }));
}

function toWriteReceipt({ team, revision, metadata }: AcceptedWrite) {
  const { writeId, writer, writtenAtMs, number } = metadata;
  const version = Number(revision);
  return { team, version, number, writer, writtenAtMs, writeId };
}

function missingVersion(): Result<AdminResponse, AdminFailure> {
  const message = "Expected the version whose content is wanted";
  return Result.err({ kind: "invalid_request", message, param: "version" });
}
