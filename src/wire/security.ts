/** How the processes of cicadahitch authenticate each other. */

/** Security of the listeners and connections between processes. */
export type WireSecurity =
  /** No authentication and no encryption; must be configured explicitly. */
  | { kind: "plain" }
  /** Each call carries a shared token; the traffic is not encrypted. */
  | { kind: "token"; token: string }
  /** Mutual TLS: both sides present a certificate signed by the given authority. */
  | {
    kind: "tls";
    certificatePem: Buffer;
    keyPem: Buffer;
    authorityPem: Buffer;
  };
