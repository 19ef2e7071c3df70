/** Tables of all settings by command; docs/OPERATING.md is generated from them. */
import { PolicyName } from "../placement/policy_name.ts";
import * as schemas from "./schemas.ts";
import type { Setting, SettingTable } from "./settings.ts";

const POLICY_NAMES = Object.values(PolicyName);

/** Security settings of listeners and of connections between processes. */
export const SECURITY_SETTINGS = {
  tlsCertificateFile: setting("Certificate of this process", {
    unit: "PEM file",
    schema: schemas.OPTIONAL_FILE,
    default: "",
  }),
  tlsKeyFile: setting("Private key of the certificate", {
    unit: "PEM file",
    schema: schemas.OPTIONAL_FILE,
    default: "",
  }),
  tlsAuthorityFile: setting("Authority that signs the other processes", {
    unit: "PEM file",
    schema: schemas.OPTIONAL_FILE,
    default: "",
  }),
  token: setting("Token shared by all processes; better as a variable", {
    unit: "text",
    schema: schemas.OPTIONAL_TOKEN,
    default: "",
    isSecret: true,
  }),
  insecure: setting("Allow plain traffic off loopback", {
    unit: "switch",
    schema: schemas.BOOLEAN,
    default: "false",
    isSwitch: true,
  }),
} satisfies SettingTable;

const INSTANCE_SETTINGS = {
  instanceId: setting("Id of the instance, as in the list of instances", {
    unit: "name",
    schema: schemas.NAME,
  }),
  zone: setting("Availability zone of the instance", {
    unit: "name",
    schema: schemas.NAME,
  }),
  storeAddress: setting("gRPC interface of the key-value service", {
    unit: "ip:port",
    schema: schemas.OPTIONAL_ADDRESS,
    default: "",
  }),
  seedAddresses: setting("Processes to ask for branches on start", {
    unit: "ip:port,…",
    schema: schemas.ADDRESSES,
    default: "",
  }),
  drainMs: setting("How long a planned stop waits for requests to end", {
    unit: "ms",
    schema: schemas.DURATION_MS,
    default: "120000",
  }),
  logLevel: setting("Lowest severity that is logged", {
    unit: "level",
    schema: schemas.LOG_LEVEL,
    default: "info",
  }),
} satisfies SettingTable;

const MEMORY_SETTINGS = {
  memoryMb: setting("Memory of the instance; bounds what callers can hold", {
    unit: "MB",
    schema: schemas.MEMORY_MB,
    default: "512",
  }),
} satisfies SettingTable;

/** Settings of `cicadahitch entry`. */
export const ENTRY_SETTINGS = {
  ...INSTANCE_SETTINGS,
  httpAddress: setting("Listener for callers", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7700",
  }),
  adminAddress: setting("Listener of the administration API", {
    unit: "ip:port",
    schema: schemas.OPTIONAL_ADDRESS,
    default: "",
  }),
  adminKeySha256: setting("SHA-256 of the administrators' bearer key", {
    unit: "64 hex digits",
    schema: schemas.OPTIONAL_SHA256,
    default: "",
  }),
  peerAddress: setting("Listener for other processes", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7701",
  }),
  instanceListUrl: setting("The platform's list of instances", {
    unit: "URL",
    schema: schemas.OPTIONAL_URL,
    default: "",
  }),
  policy: setting("How a backend server is chosen", {
    unit: POLICY_NAMES.join(", "),
    schema: schemas.oneOf(POLICY_NAMES),
    default: PolicyName.Offers,
  }),
  zoneRttMs: setting("Round trip to each availability zone", {
    unit: "zone=ms,…",
    schema: schemas.ZONE_RTT_MS,
    default: "",
  }),
  planPools: setting("Whether this entry may plan which server holds what", {
    unit: "true or false",
    schema: schemas.BOOLEAN,
    default: "true",
  }),
  unreadyMs: setting("How long /readyz fails before the listener closes", {
    unit: "ms",
    schema: schemas.DURATION_MS,
    default: "3000",
  }),
  ...MEMORY_SETTINGS,
  ...SECURITY_SETTINGS,
} satisfies SettingTable;

/** Settings of `cicadahitch agent`. */
export const AGENT_SETTINGS = {
  ...INSTANCE_SETTINGS,
  pool: setting("Pool of the backend server", {
    unit: "name",
    schema: schemas.NAME,
  }),
  listenAddress: setting("Listener for entries", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7702",
  }),
  engineUrl: setting("The model engine beside this agent", {
    unit: "URL",
    schema: schemas.OPTIONAL_URL,
    default: "",
  }),
  modelSlots: setting("Models that the engine can hold at once", {
    unit: "number",
    schema: schemas.MODEL_SLOTS,
    default: "2",
  }),
  serviceUrl: setting("The plain service beside this agent", {
    unit: "URL",
    schema: schemas.OPTIONAL_URL,
    default: "",
  }),
  ...SECURITY_SETTINGS,
} satisfies SettingTable;

/** Settings of `cicadahitch dev`. */
export const DEV_SETTINGS = {
  httpAddress: setting("Listener for callers", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7700",
  }),
  adminAddress: setting("Listener of the administration API", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7710",
  }),
  peerAddress: setting("The entry's listener for other processes", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7701",
  }),
  agentAddresses: setting("Listeners of the three agents", {
    unit: "ip:port,…",
    schema: schemas.ADDRESSES.refine((list) => list.length === 3, {
      error: "Expected three addresses",
    }),
    default: "127.0.0.1:7702,127.0.0.1:7703,127.0.0.1:7704",
  }),
  storeAddress: setting("Listener of the stand-in key-value service", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
    default: "127.0.0.1:7720",
  }),
  ...MEMORY_SETTINGS,
  logLevel: setting("Lowest severity that is logged", {
    unit: "level",
    schema: schemas.LOG_LEVEL,
    default: "warn",
  }),
} satisfies SettingTable;

/** Settings of `cicadahitch state`. */
export const STATE_SETTINGS = {
  address: setting("Listener for other processes of the one to look into", {
    unit: "ip:port",
    schema: schemas.ADDRESS,
  }),
  pretty: setting("Write it indented", {
    unit: "switch",
    schema: schemas.BOOLEAN,
    default: "false",
    isSwitch: true,
  }),
  ...SECURITY_SETTINGS,
} satisfies SettingTable;

function setting<T>(
  describe: string,
  rest: Omit<Setting<T>, "describe">,
): Setting<T> {
  return { describe, ...rest };
}
