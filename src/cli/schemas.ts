/** Schemas that parse the text of a flag or environment variable. */
import { isIP } from "node:net";
import { z } from "zod";
import { LOG_LEVELS } from "../base/mod.ts";

const MAX_DURATION_MS = 3_600_000;
const MAX_PORT = 65_535;

/** A name of an instance, availability zone or pool. */
export const NAME = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  error: "Expected 1 to 63 letters, digits, dots, - and _",
});

/** `ip:port`; port 0 selects any free port. */
export const ADDRESS = z.string().refine(isAddress, {
  error: "Expected an IP address and a port, such as 127.0.0.1:7700",
});

/** An {@link ADDRESS}, or empty text. */
export const OPTIONAL_ADDRESS = z.string().refine(
  (text) => text === "" || isAddress(text),
  {
    error:
      "Expected an IP address and a port, such as 127.0.0.1:7700, or nothing",
  },
);

/** Comma-separated addresses. */
export const ADDRESSES = z.string().transform(splitList).refine(
  (list) => list.every(isAddress),
  { error: "Expected IP addresses with ports, separated by commas" },
);

/** An `http` or `https` URL, or empty text. */
export const OPTIONAL_URL = z.string().refine(
  (text) => text === "" || isHttpUrl(text),
  { error: "Expected a URL that starts with http:// or https://, or nothing" },
);

/** A SHA-256 digest in hex, or empty text. */
export const OPTIONAL_SHA256 = z.string().regex(/^([0-9a-f]{64})?$/, {
  error: "Expected the SHA-256 as 64 lower-case hex digits, or nothing",
});

/** A duration in whole milliseconds. */
export const DURATION_MS = z.string().regex(/^\d{1,9}$/, {
  error: `Expected a whole number of ms, 0 to ${MAX_DURATION_MS}`,
}).transform(Number).refine((ms) => ms <= MAX_DURATION_MS, {
  error: `Expected a whole number of ms, 0 to ${MAX_DURATION_MS}`,
});

/** Memory of an instance in MB. */
export const MEMORY_MB = z.string().regex(/^[1-9]\d{0,6}$/, {
  error: "Expected a whole number of MB, 1 to 9999999",
}).transform(Number);

/** Number of models that an engine holds at once. */
export const MODEL_SLOTS = z.string().regex(/^[1-9]\d{0,2}$/, {
  error: "Expected a whole number from 1 to 999",
}).transform(Number);

/** Round-trip times to availability zones in ms, such as `a=0.5,b=1`. */
export const ZONE_RTT_MS = z.string().transform((text, context) => {
  const rtts: Record<string, number> = {};
  for (const pair of splitList(text)) {
    const [zone = "", value = ""] = pair.split("=");
    const rttMs = Number(value);
    if (!NAME.safeParse(zone).success || !isRtt(value, rttMs)) {
      context.addIssue({
        code: "custom",
        message:
          "Expected zone=ms pairs separated by commas, such as a=0.5,b=1",
      });
      return z.NEVER;
    }
    rtts[zone] = rttMs;
  }
  return rtts;
});

/** A boolean; empty text is false. */
export const BOOLEAN = z.enum(["true", "false", "1", "0", ""], {
  error: "Expected true or false",
}).transform((text) => text === "true" || text === "1");

/** A log level. */
export const LOG_LEVEL = z.enum(LOG_LEVELS, {
  error: `Expected one of ${LOG_LEVELS.join(", ")}`,
});

/** A file path, or empty text. */
export const OPTIONAL_FILE = z.string();

/** A shared token, or empty text. */
export const OPTIONAL_TOKEN = z.string().regex(/^([\x21-\x7e]{16,256})?$/, {
  error: "Expected 16 to 256 printable characters without spaces, or nothing",
});

/**
 * @param values The allowed values.
 * @returns A schema that accepts only these values.
 */
export function oneOf<const T extends readonly string[]>(
  values: T,
): z.ZodType<T[number], string> {
  const schema = z.enum(values as unknown as [string, ...string[]], {
    error: `Expected one of ${values.join(", ")}`,
  });
  return schema as unknown as z.ZodType<T[number], string>;
}

/**
 * @param address `ip:port`.
 * @returns True if the IP address is a loopback address.
 */
export function isLoopback(address: string): boolean {
  const { ip } = splitAddress(address);
  return ip === "::1" || ip.startsWith("127.");
}

function isAddress(text: string): boolean {
  const { ip, port } = splitAddress(text);
  return isIP(ip) !== 0 && /^\d{1,5}$/.test(port) && Number(port) <= MAX_PORT;
}

function splitAddress(text: string): { ip: string; port: string } {
  const separatorIndex = text.lastIndexOf(":");
  const host = text.slice(0, Math.max(0, separatorIndex));
  const isBracketed = host.startsWith("[") && host.endsWith("]");
  const ip = isBracketed ? host.slice(1, -1) : host;
  const isBareIpv6 = !isBracketed && isIP(ip) === 6;
  return { ip: isBareIpv6 ? "" : ip, port: text.slice(separatorIndex + 1) };
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:\/\//.test(text);
}

function isRtt(text: string, rttMs: number): boolean {
  return text !== "" && rttMs >= 0 && rttMs <= 10_000;
}

function splitList(text: string): string[] {
  return text.split(",").map((item) => item.trim()).filter((item) => item);
}
