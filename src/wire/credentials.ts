/** Channel and server credentials for each kind of {@link WireSecurity}. */
import { createHash, timingSafeEqual } from "node:crypto";
import {
  ChannelCredentials,
  InterceptingCall,
  type Interceptor,
  ServerCredentials,
  ServerInterceptingCall,
  type ServerInterceptor,
  status,
} from "@grpc/grpc-js";
import type { WireSecurity } from "./security.ts";

const TOKEN_HEADER = "authorization";

/**
 * @param security How processes authenticate each other.
 * @returns Credentials with which a channel connects.
 */
export function channelCredentials(security: WireSecurity): ChannelCredentials {
  switch (security.kind) {
    case "plain":
    case "token":
      return ChannelCredentials.createInsecure();
    case "tls":
      return ChannelCredentials.createSsl(
        security.authorityPem,
        security.keyPem,
        security.certificatePem,
        // Processes are authenticated by the authority that signed their certificates, as their
        // addresses change.
        { checkServerIdentity: () => undefined },
      );
  }
}

/**
 * @param security How processes authenticate each other.
 * @returns Credentials of a listener, and those it requires from clients.
 */
export function serverCredentials(security: WireSecurity): ServerCredentials {
  switch (security.kind) {
    case "plain":
    case "token":
      return ServerCredentials.createInsecure();
    case "tls":
      return ServerCredentials.createSsl(
        security.authorityPem,
        [{
          cert_chain: security.certificatePem,
          private_key: security.keyPem,
        }],
        true,
      );
  }
}

/**
 * @param security How processes authenticate each other.
 * @returns Interceptors that attach the token to each call.
 */
export function clientInterceptors(security: WireSecurity): Interceptor[] {
  if (security.kind !== "token") return [];
  const value = `Bearer ${security.token}`;
  return [(options, nextCall) =>
    new InterceptingCall(nextCall(options), {
      start: (metadata, listener, next) => {
        metadata.set(TOKEN_HEADER, value);
        next(metadata, listener);
      },
    })];
}

/**
 * @param security How processes authenticate each other.
 * @returns Interceptors that reject calls without the token.
 */
export function serverInterceptors(
  security: WireSecurity,
): ServerInterceptor[] {
  if (security.kind !== "token") return [];
  const expected = digest(`Bearer ${security.token}`);
  return [(_method, call) =>
    new ServerInterceptingCall(call, {
      start: (next) =>
        next({
          onReceiveMetadata: (metadata, forward) => {
            const received = digest(
              String(metadata.get(TOKEN_HEADER)[0] ?? ""),
            );
            if (timingSafeEqual(received, expected)) return forward(metadata);
            call.sendStatus({
              code: status.UNAUTHENTICATED,
              details: "The token is missing or wrong",
            });
          },
        }),
    })];
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
