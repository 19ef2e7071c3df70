/** Schemas of the administration API's OpenAPI document. */
import { z } from "zod";
import { TEAM_BRANCH } from "../config/mod.ts";

const STRING = { type: "string" };
const INTEGER = { type: "integer" };
const BOOLEAN = { type: "boolean" };

const WRITE_METADATA = {
  version: INTEGER,
  number: INTEGER,
  writer: STRING,
  writtenAtMs: INTEGER,
  writeId: STRING,
};

const PROBLEMS = arrayOf(objectOf({
  path: STRING,
  message: STRING,
  value: STRING,
}));

const CURRENT = objectOf({
  version: INTEGER,
  writer: STRING,
  writtenAtMs: INTEGER,
  deleted: BOOLEAN,
});

const ERROR = objectOf({
  message: STRING,
  type: STRING,
  code: STRING,
  param: { type: ["string", "null"] },
  execution: { enum: ["not_run", "unknown"] },
  problems: PROBLEMS,
  current: CURRENT,
  writeId: STRING,
});
const REQUIRED_ERROR_FIELDS = ["message", "type", "code", "param", "execution"];

/** Schemas by name, referenced from the OpenAPI document. */
export const OPENAPI_SCHEMAS = {
  Document: { type: "object" },
  Branch: z.toJSONSchema(TEAM_BRANCH, { io: "input" }),
  Creation: objectOf({ team: STRING, branch: schemaRef("Branch") }),
  Change: {
    oneOf: [
      objectOf({ path: STRING, value: {} }),
      objectOf({ path: STRING, remove: { const: true } }),
    ],
  },
  RollForward: objectOf({ version: INTEGER }),
  AcceptedWrite: objectOf({ team: STRING, ...WRITE_METADATA }),
  IssuedKey: objectOf({
    team: STRING,
    ...WRITE_METADATA,
    id: STRING,
    key: STRING,
  }),
  TeamList: objectOf({
    teams: arrayOf(
      objectOf({ team: STRING, ...WRITE_METADATA, inForceHere: BOOLEAN }),
    ),
    ageMs: INTEGER,
    complete: BOOLEAN,
  }),
  TeamView: objectOf({
    team: STRING,
    ...WRITE_METADATA,
    branch: {},
    ageMs: INTEGER,
    source: { enum: ["store", "memory"] },
  }),
  Validation: objectOf({ valid: BOOLEAN, problems: PROBLEMS }),
  History: objectOf({
    team: STRING,
    versions: arrayOf(objectOf({ ...WRITE_METADATA, deleted: BOOLEAN })),
  }),
  InForce: objectOf({
    team: STRING,
    version: INTEGER,
    inForceEverywhere: BOOLEAN,
    processes: arrayOf(objectOf({
      processId: STRING,
      address: STRING,
      inForce: { enum: ["yes", "no", "unknown"] },
    })),
  }),
  Error: objectOf({ error: { ...ERROR, required: REQUIRED_ERROR_FIELDS } }),
};

function objectOf(properties: Record<string, unknown>) {
  return { type: "object", properties, required: Object.keys(properties) };
}

function arrayOf(items: unknown) {
  return { type: "array", items };
}

function schemaRef(schema: string) {
  return { $ref: `#/components/schemas/${schema}` };
}
