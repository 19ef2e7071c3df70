/** Derives {@link WireSecurity} from the settings. */
import { readFileSync } from "node:fs";
import { Result } from "true-myth/result";
import type { WireSecurity } from "../wire/security.ts";
import { isLoopback } from "./schemas.ts";
import {
  flagOf,
  type InvalidSettings,
  type SettingProblem,
  type SettingValues,
} from "./settings.ts";
import type { SECURITY_SETTINGS } from "./setting_tables.ts";

/** Validated values of {@link SECURITY_SETTINGS}; invalid ones are absent. */
export type SecurityValues = Partial<SettingValues<typeof SECURITY_SETTINGS>>;

const TLS_NAMES = [
  "tlsCertificateFile",
  "tlsKeyFile",
  "tlsAuthorityFile",
] as const;

/**
 * @param values Validated settings.
 * @param address Address of the listener or peer, absent if invalid. Unencrypted traffic without a
 *   token requires `--insecure` unless this is a loopback address.
 * @returns Security of listeners and connections, or every problem found.
 */
export function readSecurity(
  values: SecurityValues,
  address: string | undefined,
): Result<WireSecurity, InvalidSettings> {
  const givenNames = TLS_NAMES.filter((name) => values[name]);
  if (givenNames.length > 0) return readTls(values);
  if (values.token) {
    return Result.ok({ kind: "token", token: values.token });
  }
  if (values.insecure || !address || isLoopback(address)) {
    return Result.ok({ kind: "plain" });
  }
  return invalid([{
    flag: "--insecure",
    value: "false",
    source: `with the address ${address}`,
    allowed:
      "Expected the --tls-… files or --token off loopback, or --insecure for plain traffic",
  }]);
}

function readTls(
  values: SecurityValues,
): Result<WireSecurity, InvalidSettings> {
  const problems: SettingProblem[] = [];
  if (values.token) {
    problems.push({
      flag: "--token",
      value: "(hidden)",
      source: "with the --tls-… files",
      allowed: "Expected either a token or TLS files",
    });
  }
  const [certificatePem, keyPem, authorityPem] = TLS_NAMES.map((name) =>
    readPem(values, { name, problems })
  );
  if (!certificatePem || !keyPem || !authorityPem || problems.length > 0) {
    return invalid(problems);
  }
  return Result.ok({ kind: "tls", certificatePem, keyPem, authorityPem });
}

function readPem(
  values: SecurityValues,
  { name, problems }: {
    name: (typeof TLS_NAMES)[number];
    problems: SettingProblem[];
  },
): Buffer | undefined {
  const path = values[name] ?? "";
  const addProblem = (allowed: string) => {
    const value = JSON.stringify(path);
    problems.push({ flag: flagOf(name), value, source: "TLS", allowed });
  };
  if (path === "") {
    addProblem("Expected all three --tls-… files or none");
    return undefined;
  }
  try {
    const pem = readFileSync(path);
    if (pem.includes("-----BEGIN ")) return pem;
    addProblem("Expected a PEM file");
  } catch (error) {
    const code = error instanceof Error && "code" in error ? error.code : error;
    addProblem(`Expected a file that can be read (${code})`);
  }
  return undefined;
}

function invalid(
  problems: SettingProblem[],
): Result<WireSecurity, InvalidSettings> {
  return Result.err({ kind: "invalid_settings", problems });
}
