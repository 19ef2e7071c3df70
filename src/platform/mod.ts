/** Names, formats and calls of the users' platform, without any routing logic. */
export {
  type DecodedDeletion as RemovedFact,
  decodeDeletion,
  type DecodedValue as StoreFact,
  decodeValue,
  type MalformedValue,
} from "./decode.ts";
export {
  answerHeaders,
  type ClientRequest,
  echoHeaders,
  forwardHeaders,
  readAnswer,
  readRequest,
  retryHeaders,
} from "./headers.ts";
export { type CallFailure, HttpCaller } from "./http_call.ts";
export { READINESS_PATH } from "./names.ts";
export {
  dropCopy,
  fetchReport,
  type MoveAnswer,
  moveRun,
  type OrderAnswer,
  sendOrder,
  type WeightsOrder,
} from "./server_calls.ts";
export { PlatformStore, type PlatformStoreOptions } from "./store.ts";
