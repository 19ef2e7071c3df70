/** OpenAPI document of the administration API; a test compares it with the routes. */
import { OPENAPI_SCHEMAS } from "./openapi_schemas.ts";

/** OpenAPI Parameter Object. */
export interface OpenapiParameter {
  name: string;
  in: "path" | "query" | "header";
  required: boolean;
  description: string;
  schema: { type: string };
}

/** OpenAPI Operation Object. */
export interface OpenapiOperation {
  operationId: string;
  summary: string;
  parameters: OpenapiParameter[];
  requestBody?: unknown;
  responses: Record<string, unknown>;
}

const TEAM_PARAMETER: OpenapiParameter = {
  name: "team",
  in: "path",
  required: true,
  description: "Name of the team",
  schema: { type: "string" },
};
const WORKSPACE_PARAMETER: OpenapiParameter = {
  name: "workspace",
  in: "path",
  required: true,
  description: "Name of the workspace",
  schema: { type: "string" },
};
const WRITER_PARAMETER: OpenapiParameter = {
  name: "X-Writer",
  in: "header",
  required: false,
  description: "Who writes; kept with the version",
  schema: { type: "string" },
};
const WRITE_ID_PARAMETER: OpenapiParameter = {
  name: "X-Write-Id",
  in: "header",
  required: false,
  description:
    "Unique id of the write; a request repeated with it is done once",
  schema: { type: "string" },
};
const WRITE_HEADERS = [WRITER_PARAMETER, WRITE_ID_PARAMETER];

/** The OpenAPI document. */
export const OPENAPI_DOCUMENT = {
  openapi: "3.1.0",
  info: {
    title: "cicadahitch administration API",
    version: "1",
    description: "Changes and shows the teams' branches of the settings tree.",
  },
  security: [{ administrator: [] }],
  paths: {
    "/admin/v1/openapi.json": {
      get: withErrorResponse({
        operationId: "getOpenapi",
        summary: "This document",
        parameters: [],
        responses: { 200: jsonResponse("The document", "Document") },
      }),
    },
    "/admin/v1/teams": {
      get: withErrorResponse({
        operationId: "listTeams",
        summary: "All teams, as this process holds them, with the age of that",
        parameters: [],
        responses: { 200: jsonResponse("The teams", "TeamList") },
      }),
      post: withErrorResponse({
        operationId: "createTeam",
        summary: "Create a team that doesn't exist",
        parameters: WRITE_HEADERS,
        requestBody: jsonRequestBody("Creation"),
        responses: { 201: jsonResponse("It is kept", "AcceptedWrite") },
      }),
    },
    "/admin/v1/teams/{team}": {
      get: withErrorResponse({
        operationId: "showTeam",
        summary: "A branch, now or at a kept version",
        parameters: [
          TEAM_PARAMETER,
          queryParameter("version", "A kept version"),
        ],
        responses: { 200: jsonResponse("The branch", "TeamView") },
      }),
      put: withErrorResponse({
        operationId: "replaceTeam",
        summary: "Replace a branch",
        parameters: [TEAM_PARAMETER, ifMatchParameter(true), ...WRITE_HEADERS],
        requestBody: jsonRequestBody("Branch"),
        responses: { 200: jsonResponse("It is kept", "AcceptedWrite") },
      }),
      patch: withErrorResponse({
        operationId: "patchTeam",
        summary: "Change one place of a branch",
        parameters: [TEAM_PARAMETER, ifMatchParameter(false), ...WRITE_HEADERS],
        requestBody: jsonRequestBody("Change"),
        responses: { 200: jsonResponse("It is kept", "AcceptedWrite") },
      }),
      delete: withErrorResponse({
        operationId: "deleteTeam",
        summary: "Delete a team; its history stays",
        parameters: [TEAM_PARAMETER, ifMatchParameter(true), ...WRITE_HEADERS],
        responses: { 200: jsonResponse("It is deleted", "AcceptedWrite") },
      }),
    },
    "/admin/v1/teams/{team}/validate": {
      post: withErrorResponse({
        operationId: "validateTeam",
        summary: "Check a branch without writing it",
        parameters: [TEAM_PARAMETER],
        requestBody: jsonRequestBody("Branch"),
        responses: { 200: jsonResponse("All problems found", "Validation") },
      }),
    },
    "/admin/v1/teams/{team}/history": {
      get: withErrorResponse({
        operationId: "showHistory",
        summary: "The kept versions, latest first",
        parameters: [TEAM_PARAMETER],
        responses: { 200: jsonResponse("The versions", "History") },
      }),
    },
    "/admin/v1/teams/{team}/roll-forward": {
      post: withErrorResponse({
        operationId: "rollForward",
        summary: "Write the content of an earlier version as a new one",
        parameters: [TEAM_PARAMETER, ifMatchParameter(false), ...WRITE_HEADERS],
        requestBody: jsonRequestBody("RollForward"),
        responses: { 200: jsonResponse("It is kept", "AcceptedWrite") },
      }),
    },
    "/admin/v1/teams/{team}/in-force": {
      get: withErrorResponse({
        operationId: "showInForce",
        summary: "Which entries have a version, or a newer one, in force",
        parameters: [
          TEAM_PARAMETER,
          queryParameter("version", "The version; else the one held here"),
          queryParameter(
            "waitMs",
            "How long to wait until all have it, up to 60000",
          ),
        ],
        responses: { 200: jsonResponse("The entries", "InForce") },
      }),
    },
    "/admin/v1/teams/{team}/workspaces/{workspace}/keys": {
      post: withErrorResponse({
        operationId: "issueKey",
        summary: "Make a caller key; it is shown this once, and kept as a hash",
        parameters: [
          TEAM_PARAMETER,
          WORKSPACE_PARAMETER,
          ifMatchParameter(false),
          WRITER_PARAMETER,
        ],
        responses: { 201: jsonResponse("The key", "IssuedKey") },
      }),
    },
  },
  components: {
    securitySchemes: {
      administrator: { type: "http", scheme: "bearer" },
    },
    schemas: OPENAPI_SCHEMAS,
  },
};

function withErrorResponse(base: OpenapiOperation): OpenapiOperation {
  const responses = {
    ...base.responses,
    default: jsonResponse("Refused, or unknown as `execution` says", "Error"),
  };
  return { ...base, responses };
}

function jsonResponse(description: string, schema: string) {
  return { description, ...jsonContent(schema) };
}

function jsonRequestBody(schema: string) {
  return { required: true, ...jsonContent(schema) };
}

function jsonContent(schema: string) {
  const $ref = `#/components/schemas/${schema}`;
  return { content: { "application/json": { schema: { $ref } } } };
}

function queryParameter(name: string, description: string): OpenapiParameter {
  return {
    name,
    in: "query",
    required: false,
    description,
    schema: { type: "integer" },
  };
}

function ifMatchParameter(required: boolean): OpenapiParameter {
  return {
    name: "If-Match",
    in: "header",
    required,
    description: "The version that is changed, as its ETag",
    schema: { type: "string" },
  };
}
