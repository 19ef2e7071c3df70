/** Stand-ins for the platform's services and clients, for tests and development. */
export {
  type AnswerInput,
  answerTokens,
  BYTES_PER_TOKEN,
  countTokens,
  DEFAULT_MAX_TOKENS,
  expectedAnswer,
  expectedAnswerTo,
  renderPrompt,
  toAnswerInput,
} from "./answer.ts";
export {
  DEFAULT_ENGINE_OPTIONS,
  type EngineExecution,
  type ExecutedOrder,
  type StandinEngineFaults,
  type StandinEngineOptions,
} from "./engine_options.ts";
export { StandinEngine } from "./engine_server.ts";
export {
  type AbortingClients,
  blockEventLoop,
  sendAndDisconnect,
} from "./aborting_clients.ts";
export {
  StandinInstanceList,
  type StandinInstanceListOptions,
} from "./instance_list_server.ts";
export {
  StandinKv,
  type StandinKvFaults,
  type StandinKvOptions,
} from "./kv_server.ts";
export {
  attemptIdOf,
  type ClientResponse,
  completeStreamBody,
  CONFIG,
  configWith,
  configWithBackups,
  DeclaredEnd,
  declaredEndOf,
  type EntryAddress,
  fetchReadinessStatus,
  HOST,
  KEY,
  MODEL_REQUEST_HEADERS,
  type RequestOverrides,
  type RouteSettings,
  sendClientRequest,
  toRequestHeaders,
} from "./platform_client.ts";
export {
  type RestoreOptions,
  StandinPlatformStore,
  type StandinPlatformStoreOptions,
} from "./platform_store_server.ts";
export { CONFIG_KEY, SERVERS_PREFIX } from "../platform/names.ts";
export { restartServer } from "./restart_server.ts";
export {
  AddressAfterEnd,
  headWithoutLength,
  type RawResponder,
  SEALED_HEAD,
  StandinRawServer,
} from "./raw_server.ts";
export {
  type AttemptOptions,
  type MarkedEvent,
  MarkedEventReader,
  readStream,
  resumeHeaders,
  type ResumePoint,
  type StreamAttempt,
  withoutMarks,
  writersOf,
} from "./stream_client.ts";
export { PLAIN_ANSWER_BODY } from "./_platform_answer.ts";
export { StandinBackendServer } from "./backend_server.ts";
export type { ExecutedRequest, ServerArrival } from "./server_records.ts";
export {
  type AnswerCut,
  CutEnding,
  NO_FAULTS,
  type StandinBackendServerFaults,
  type StandinBackendServerOptions,
} from "./backend_server_options.ts";
export type { CallRate, RateReport } from "./_rate_meter.ts";
export {
  type ServiceExecution,
  StandinService,
  type StandinServiceFaults,
  type StandinServiceOptions,
} from "./service_server.ts";
export { TcpRelay, type TcpRelayOptions } from "./tcp_relay.ts";
export {
  StandinWeightStore,
  type StandinWeightStoreOptions,
} from "./weight_store_server.ts";
export { type AcceptedOrder } from "./_platform_orders.ts";
export {
  PortRange,
  PortRangeError,
  type PortRangeOptions,
} from "./port_range.ts";
export { StandinCallServer } from "./call_server.ts";
export { headOf, type RequestHeadOptions } from "./request_head.ts";
