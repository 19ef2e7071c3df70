/** gRPC communication between the processes of cicadahitch. */
export {
  type CallFailure,
  callUnary,
  failureOf,
  isConnectionRefused,
  type UnaryMethod,
  type UnaryOptions,
} from "./calls.ts";
export {
  type ChannelLease,
  ChannelPool,
  type ChannelPoolOptions,
} from "./channels.ts";
export {
  GrpcListener,
  type ListenFailure,
  MAX_MESSAGE_BYTES,
} from "./listener.ts";
export type { WireSecurity } from "./security.ts";
